package dogsuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodford"
)

// isolatedRetryAfter is the retry hint to callers of a suspect that is refused
// because another one is in progress.
const isolatedRetryAfter = time.Second

// Gate decides which suspects one target runs. It is not safe for concurrent
// use; the guard calls it with its own lock held.
type Gate struct {
	running map[string]dispatch
	started int // Requests started so far.
}

// dispatch is one request that was sent to the target.
type dispatch struct {
	digest uint64
	order  int // Position among all requests that were started.
}

// NewGate returns a gate with nothing in progress.
func NewGate() *Gate { return &Gate{running: map[string]dispatch{}} }

// Start decides on the start of a request: Run, or Refuse for
// ReasonQuarantined or ReasonIsolated. A zero digest always runs. On Run the
// request is in progress until Done or RecordDeath.
func (g *Gate) Start(now time.Time, v *View, id string, digest uint64) dogwoodford.Verdict {
	if digest == 0 {
		return dogwoodford.RunVerdict()
	}
	switch e := v.Lookup(now, digest); e.Standing {
	case Quarantined:
		return dogwoodford.RefuseVerdict(dogwoodford.ReasonQuarantined, e.Until.Sub(now))
	case Suspected:
		// Digests may have become suspects while they ran, so the view is
		// consulted for all that are in progress.
		for _, d := range g.running {
			if v.Lookup(now, d.digest).Standing != Clean {
				return dogwoodford.RefuseVerdict(dogwoodford.ReasonIsolated, isolatedRetryAfter)
			}
		}
	}
	g.started++
	g.running[id] = dispatch{digest: digest, order: g.started}
	return dogwoodford.RunVerdict()
}

// Done ends a request; completed reports whether the target answered it. It
// returns the digest, and whether this was a suspect that completed and is to be
// passed on in Completed.
func (g *Gate) Done(now time.Time, v *View, id string, completed bool) (digest uint64, cleared bool) {
	digest = g.running[id].digest
	delete(g.running, id)
	return digest, completed && digest != 0 && v.Lookup(now, digest).Standing == Suspected
}

// RecordDeath ends all requests in progress at the death of the target and returns
// their distinct digests. If there are more than MaxDigests, those of the requests that
// started last are returned: a request crashes its target when it begins to run.
func (g *Gate) RecordDeath() []uint64 {
	running := slices.SortedFunc(maps.Values(g.running), func(a, b dispatch) int { return cmp.Compare(b.order, a.order) })
	clear(g.running)
	var digests []uint64
	seen := make(map[uint64]bool)
	for _, d := range running {
		if !seen[d.digest] && len(digests) < MaxDigests {
			seen[d.digest] = true
			digests = append(digests, d.digest)
		}
	}
	return normalise(digests)
}
