package doggate

import (
	"sync"
	"time"

	"dogwoodford"
)

// Balancer wraps a dogwoodford.Router with a lock. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	router dogwoodford.Router
}

// NewBalancer returns a balancer that wraps r. The caller must not use r
// afterwards.
func NewBalancer(r dogwoodford.Router) *Balancer { return &Balancer{router: r} }

// Pick chooses a target on none of the nodes in tried and records the dispatch;
// RecordDispatchEnd must follow. The target on the node named prefer, if not empty, is
// chosen if the router permits it. If there is no target, the reason is not
// ReasonNone.
func (b *Balancer) Pick(r dogwoodford.Request, targets []dogwoodford.Target, tried []string, prefer string) (dogwoodford.Target, dogwoodford.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if prefer != "" {
		// All targets are passed to the router, because it chooses from them the
		// two to which content may be sent that is not known to have completed.
		excluded := append([]string(nil), tried...)
		for _, t := range targets {
			if t.Node != prefer {
				excluded = append(excluded, t.Node)
			}
		}
		if t, reason := b.router.Pick(now, r, targets, excluded); reason == dogwoodford.ReasonNone {
			b.router.RecordDispatch(now, t.Node)
			return t, reason
		}
	}
	t, reason := b.router.Pick(now, r, targets, tried)
	if reason == dogwoodford.ReasonNone {
		b.router.RecordDispatch(now, t.Node)
	}
	return t, reason
}

// RecordDispatchEnd records the end of a dispatch to the target on a node. load is the
// load that its guard reported, nil if there is none.
func (b *Balancer) RecordDispatchEnd(node string, latency time.Duration, failed bool, load *dogwoodford.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.RecordDispatchEnd(time.Now(), node, latency, failed, load)
}

// RecordCompletion records that some target completed the content with this digest.
func (b *Balancer) RecordCompletion(digest uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.RecordCompletion(digest)
}

// Inspect calls f, which must not change the router, while nothing else uses it.
func (b *Balancer) Inspect(f func(now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(time.Now())
}
