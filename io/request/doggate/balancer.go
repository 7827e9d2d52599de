package doggate

import (
	"sync"
	"time"

	"dogwoodford"
)

// Balancer is a Router with the lock around it. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	router dogwoodford.Router
}

// NewBalancer returns a balancer around r, which must not be used elsewhere.
func NewBalancer(r dogwoodford.Router) *Balancer { return &Balancer{router: r} }

// Pick chooses a target and records the dispatch. The target on the node
// named prefer is taken if the router permits it.
func (b *Balancer) Pick(r dogwoodford.Request, targets []dogwoodford.Target, tried []string, prefer string) (dogwoodford.Target, dogwoodford.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if prefer != "" {
		// The router sees all targets, as the two that unknown content may go
		// to are chosen among them.
		others := append([]string(nil), tried...)
		for _, t := range targets {
			if t.Node != prefer {
				others = append(others, t.Node)
			}
		}
		if t, reason := b.router.Pick(now, r, targets, others); reason == dogwoodford.ReasonNone {
			b.router.Sent(now, t.Node)
			return t, reason
		}
	}
	t, reason := b.router.Pick(now, r, targets, tried)
	if reason == dogwoodford.ReasonNone {
		b.router.Sent(now, t.Node)
	}
	return t, reason
}

// Answered records the end of a dispatch.
func (b *Balancer) Answered(node string, latency time.Duration, failed bool, load *dogwoodford.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Answered(time.Now(), node, latency, failed, load)
}

// Completed records that the content with this digest completed somewhere.
func (b *Balancer) Completed(digest uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Completed(digest)
}
