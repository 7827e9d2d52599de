package dogrecord

import (
	"time"

	"dogwoodford"
)

// Given holds the keys that a guard was given, so that it runs none twice. It
// is safe for concurrent use.
type Given struct{ r *Records }

// NewGiven returns an empty memory. Only Retention, Records and Shards of the
// options count; Records is 200,000 by default.
func NewGiven(o Options) *Given {
	if o.Records == 0 {
		// A worker of the two-year size is given 271 keys a second at most,
		// 163,000 within the retention.
		o.Records = 200_000
	}
	return &Given{r: New(Options{Retention: o.Retention, Records: o.Records, Shards: o.Shards})}
}

// Take records that the guard is about to start the key. The reason is empty
// if the guard may start it. Else the outcome is Unknown, as the key was given
// before (ReasonDuplicate) or is too old to tell (ReasonKeyAge), or NotRun, as
// the memory is full (ReasonOverload).
func (g *Given) Take(now time.Time, key dogwoodford.Key) (dogwoodford.Outcome, dogwoodford.Reason) {
	// Every dispatch counts as a first attempt: a refusal concerns this
	// dispatch alone, and the owner decides what it means for the key.
	d := g.r.Begin(now, Attempt{Key: key, Number: key.Range(), Epoch: 1, Attempt: 1})
	return d.Outcome(), d.Reason
}

// Return forgets a key that Take accepted and that the guard then certainly
// did not start.
func (g *Given) Return(key dogwoodford.Key) {
	s := g.r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remove(key) {
		g.r.count.Add(-1)
	}
}

// Expire forgets keys beyond the retention; see Records.Expire.
func (g *Given) Expire(now time.Time) { g.r.Expire(now) }

// Len returns the number of keys held.
func (g *Given) Len() int { return int(g.r.count.Load()) }
