package dogroute

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Options are the settings of a Router. Zero fields take the defaults.
type Options struct {
	DataCentre string        // Data centre of this node.
	SlowStart  time.Duration // Time over which a new target gets its full share; default 10 s.
	Present    time.Duration // Age of Target.Seen up to which a target counts as present; default 30 s.
	Known      int           // Digests of completed content that are kept; default 65,536.
	Rand       *rand.Rand    // Chooses candidates; required.
}

// Router implements dogwoodford.Router for one node.
type Router struct {
	opts Options
}

var _ dogwoodford.Router = (*Router)(nil)

// New returns a router. It panics if Rand is nil.
func New(o Options) *Router {
	if o.Rand == nil {
		panic("dogroute: Options need Rand")
	}
	return &Router{opts: o}
}

// Pick chooses a target; see dogwoodford.Router. Requests with a zero digest
// are unrestricted.
func (rt *Router) Pick(_ time.Time, _ dogwoodford.Request, _ []dogwoodford.Target, _ []string) (dogwoodford.Target, dogwoodford.Reason) {
	return dogwoodford.Target{}, dogwoodford.ReasonNoTarget
}

// Sent records a dispatch.
func (rt *Router) Sent(_ time.Time, _ string) {}

// Answered records the end of a dispatch; see dogwoodford.Router.
func (rt *Router) Answered(_ time.Time, _ string, _ time.Duration, _ bool, _ *dogwoodford.Load) {
}

// Completed records that the content with this digest completed somewhere.
func (rt *Router) Completed(_ uint64) {}
