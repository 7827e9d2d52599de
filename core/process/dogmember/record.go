package dogmember

import (
	"hash/fnv"
	"math/bits"
	"time"

	"dogwoodford"
)

// entry is what this node knows of another node, or of itself.
type entry struct {
	rec   Member            // The join of all records that this node acts on and tells.
	held  dogwoodford.State // State that this node acts on.
	claim Member            // Failure claimed by others and not yet acted on; none if Node is empty.

	failAt   time.Time // When the member is held for failed; zero if neither suspected nor claimed.
	failedAt time.Time // When it was last held for failed.
	since    time.Time // When it was first seen ready.
	endedAt  time.Time // When it was held for failed or left; zero if present.

	nameHash uint64
	hash     uint64 // Share of rec in the summary.
	index    int    // Position in Membership.present, -1 if not there.
}

// doubt returns the record against a member that is suspected, claimed to have
// failed or ended, for it to refute.
func (e *entry) doubt() (Member, bool) {
	if e.claim.Node != "" {
		return e.claim, true
	}
	return e.rec, e.rec.Suspected || !e.rec.Present()
}

// rank orders the states within one incarnation. A planned end outranks a
// failure, as it needs no failover.
func rank(s dogwoodford.State) int {
	switch s {
	case dogwoodford.Draining:
		return 1
	case dogwoodford.Failed:
		return 2
	case dogwoodford.Left:
		return 3
	}
	return 0
}

// join returns the least record that holds what both say.
func join(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	suspected := a.Suspected || b.Suspected
	if rank(b.State) > rank(a.State) {
		a.State = b.State
	}
	a.Suspected = suspected && a.Present()
	return a
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// recordHash returns the share of a record in the summary. Ended members have
// none: nodes forget them at different times, and would differ for no use.
func recordHash(nameHash uint64, m Member) uint64 {
	if !m.Present() {
		return 0
	}
	x := nameHash ^ m.Incarnation*0x9e3779b97f4a7c15
	x ^= uint64(rank(m.State))<<1 | 1
	if m.Suspected {
		x ^= 1 << 40
	}
	// The finalizer of SplitMix64 makes the exclusive or of many shares
	// depend on every bit.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// part returns the index of the partial hash that a node belongs to, of count.
func part(nameHash uint64, count int) int {
	return int((nameHash * 0x9e3779b97f4a7c15) >> 32 % uint64(count))
}

// partCount returns how many partial hashes a node that knows n members sends:
// one for two to four members. With more, the request outweighs what the answer,
// which is compressed, holds beyond the differing records.
func partCount(n int) int { return min(MaxParts, 1<<max(0, bits.Len(uint(n))-2)) }
