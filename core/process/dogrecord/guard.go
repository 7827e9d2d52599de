package dogrecord

import (
	"time"

	"dogwoodford"
)

// GuardKeys holds the keys that a guard has received, so that it starts none of
// them twice. It is safe for concurrent use.
type GuardKeys struct{ r *Records }

// NewGuardKeys returns an empty GuardKeys. Only Retention, Records and Shards of
// the options are used; Records is 200,000 by default.
func NewGuardKeys(o Options) *GuardKeys {
	if o.Records == 0 {
		// At the size planned for two years ahead, a worker receives up to 271
		// keys per second, which is 163,000 within the retention.
		o.Records = 200_000
	}
	return &GuardKeys{r: New(Options{Retention: o.Retention, Records: o.Records, Shards: o.Shards})}
}

// Claim records that the guard is about to start the key. The reason is empty if
// the guard may start it. Otherwise the outcome is OutcomeUnknown if the key was
// claimed before (ReasonDuplicate) or is too old to tell (ReasonKeyAge), and
// OutcomeNotRun if the number of keys has reached its bound (ReasonOverload).
func (g *GuardKeys) Claim(now time.Time, key dogwoodford.Key) (dogwoodford.Outcome, dogwoodford.Reason) {
	// Every dispatch counts as a first attempt: a refusal applies to this
	// dispatch only, and the owner decides what it means for the key.
	d := g.r.Begin(now, Attempt{Key: key, Number: key.Range(), Epoch: 1, Attempt: 1})
	return d.Outcome(), d.Reason
}

// Release removes a key that Claim accepted and that the guard certainly did not
// start.
func (g *GuardKeys) Release(key dogwoodford.Key) {
	s := g.r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remove(key) {
		g.r.count.Add(-1)
	}
}

// Expire removes keys older than the retention; see Records.Expire.
func (g *GuardKeys) Expire(now time.Time) { g.r.Expire(now) }

// Len returns the number of keys held.
func (g *GuardKeys) Len() int { return int(g.r.count.Load()) }
