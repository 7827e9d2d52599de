package dogsuspect

import (
	"time"

	"dogwoodford"
)

// isolatedRetryAfter is the retry hint to callers of a suspect that is refused
// because another one is in progress.
const isolatedRetryAfter = time.Second

// Gate decides which suspects one target runs. It is not safe for concurrent
// use; the guard calls it with its own lock held.
type Gate struct{ running map[string]uint64 }

// NewGate returns a gate with nothing in progress.
func NewGate() *Gate { return &Gate{running: map[string]uint64{}} }

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
			if v.Lookup(now, d).Standing != Clean {
				return dogwoodford.RefuseVerdict(dogwoodford.ReasonIsolated, isolatedRetryAfter)
			}
		}
	}
	g.running[id] = digest
	return dogwoodford.RunVerdict()
}

// Done ends a request; completed reports whether the target answered it. It
// returns the digest, and whether this was a suspect that completed and is to be
// passed on in Completed.
func (g *Gate) Done(now time.Time, v *View, id string, completed bool) (digest uint64, cleared bool) {
	digest = g.running[id]
	delete(g.running, id)
	return digest, completed && digest != 0 && v.Lookup(now, digest).Standing == Suspected
}

// RecordDeath ends all requests in progress at the death of the target and returns
// their distinct digests, at most MaxDigests.
func (g *Gate) RecordDeath() []uint64 {
	digests := make([]uint64, 0, len(g.running))
	for _, d := range g.running {
		digests = append(digests, d)
	}
	clear(g.running)
	return normalise(digests)
}
