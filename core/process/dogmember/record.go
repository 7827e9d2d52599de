package dogmember

import (
	"hash/fnv"
	"math/bits"
	"time"

	"dogwoodford"
)

// entry holds what this node knows about another node or itself.
type entry struct {
	rec       Member            // Join of all records that this node acts on; this is what it sends.
	effective dogwoodford.State // State that this node acts on.
	claim     Member            // Failure that others claim and this node does not act on yet; none if Node is empty.

	failAt   time.Time // When the member will be declared failed; zero if it is neither suspected nor claimed to have failed.
	failedAt time.Time // When it was last declared failed.
	since    time.Time // When it was first seen ready.
	endedAt  time.Time // When it was declared failed or left; zero if present.

	nameHash uint64
	hash     uint64 // Contribution of rec to the summary.
	index    int    // Position in Membership.present, -1 if not there.
}

// disputed returns the record that the member may have to refute, and whether
// there is one: the member is suspected, is claimed to have failed, or failed or
// left.
func (e *entry) disputed() (Member, bool) {
	if e.claim.Node != "" {
		return e.claim, true
	}
	return e.rec, e.rec.Suspected || !e.rec.Present()
}

// rank orders the states within one incarnation. Leaving outranks a failure, as
// it needs no failover.
func rank(s dogwoodford.State) int {
	switch s {
	case dogwoodford.StateDraining:
		return 1
	case dogwoodford.StateFailed:
		return 2
	case dogwoodford.StateLeft:
		return 3
	}
	return 0
}

// join returns the least upper bound of two records of a node.
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

// recordHash returns the contribution of a record to the summary. It is 0 for
// members that failed or left: nodes remove them at different times, and their
// summaries would otherwise differ although the present members agree.
func recordHash(nameHash uint64, m Member) uint64 {
	if !m.Present() {
		return 0
	}
	x := nameHash ^ m.Incarnation*0x9e3779b97f4a7c15
	x ^= uint64(rank(m.State))<<1 | 1
	if m.Suspected {
		x ^= 1 << 40
	}
	// The finalizer of SplitMix64 makes the exclusive or of many contributions
	// depend on every bit.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// part returns which of count partial hashes covers a node.
func part(nameHash uint64, count int) int {
	return int((nameHash * 0x9e3779b97f4a7c15) >> 32 % uint64(count))
}

// partCount returns the number of partial hashes that a node with n known members
// sends. With one to two per member, an answer holds little beyond the records
// that differ.
func partCount(n int) int { return min(MaxParts, 1<<bits.Len(uint(n))) }
