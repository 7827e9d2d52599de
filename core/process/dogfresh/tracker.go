package dogfresh

import (
	"math/rand/v2"
	"time"
)

// Options configure a Tracker. All fields are required.
type Options struct {
	Lifetime time.Duration // Time for which the keys of a version are trusted after a proved moment.
	Rand     *rand.Rand    // Source of jitter.
}

// proof is a version and the latest moment at which it is known to have been the newest.
type proof struct {
	version int64
	moment  time.Duration
	known   bool // There is such a moment.
}

// renew takes a later moment of the version.
func (p *proof) renew(moment time.Duration) {
	if !p.known || moment > p.moment {
		p.moment, p.known = moment, true
	}
}

// Tracker keeps until when the keys of the version in force are trusted. Moments are
// readings of one clock, as the time since its start. It is not safe for concurrent use.
type Tracker struct {
	opts     Options
	current  proof // The version in force; its version is 0 before the first.
	previous proof // The version in force before, for requests that are routed by it.
	next     proof // The newest version that was observed and is not in force yet.
}

// New returns a Tracker without a version. It panics if an option is missing.
func New(o Options) *Tracker {
	if o.Lifetime <= 0 || o.Rand == nil {
		panic("dogfresh: Options need Lifetime and Rand")
	}
	return &Tracker{opts: o}
}

// Observe records that version was the newest at a moment. It has no effect on other
// versions.
func (t *Tracker) Observe(version int64, moment time.Duration) {
	switch {
	case version == t.current.version && version > 0:
		t.current.renew(moment)
	case version > t.current.version && version == t.next.version:
		t.next.renew(moment)
	case version > t.current.version && version > t.next.version:
		t.next = proof{version: version, moment: moment, known: true}
	}
}

// Adopt records that version is put in force. It takes over the moment that was observed
// for this version before; without one, the version is not trusted until the next
// observation. Versions that are not newer than the one in force have no effect.
func (t *Tracker) Adopt(version int64) {
	if version <= t.current.version {
		return
	}
	t.previous, t.current = t.current, proof{version: version}
	if t.next.version == version {
		t.current = t.next
	}
	if t.next.version <= version {
		t.next = proof{}
	}
}

// Trusted reports whether a request that is routed by version may run now by its key.
func (t *Tracker) Trusted(version int64, now time.Duration) bool {
	switch version {
	case t.current.version:
		return t.fresh(t.current, now)
	case t.previous.version:
		return t.fresh(t.previous, now)
	}
	return false
}

func (t *Tracker) fresh(p proof, now time.Duration) bool {
	return p.version > 0 && p.known && now-p.moment < t.opts.Lifetime
}

// Age returns the version in force and how long ago it is known to have been the newest,
// false if no such moment is known.
func (t *Tracker) Age(now time.Duration) (version int64, age time.Duration, ok bool) {
	return t.current.version, max(0, now-t.current.moment), t.current.known
}
