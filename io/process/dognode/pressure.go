package dognode

import (
	"context"
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogpressure"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/doghttp"
)

type object = dogwoodford.Object

// pressure is a dogpressure.Table guarded by a mutex. It implements
// doghttp.Pressure.
type pressure struct {
	mu      sync.Mutex
	table   *dogpressure.Table
	metrics *dogmetric.Set
}

func newPressure(t *dogpressure.Table, metrics *dogmetric.Set) *pressure {
	return &pressure{table: t, metrics: metrics}
}

// Refuse reports whether a request is to be refused early, and after what time
// the caller may retry.
func (p *pressure) Refuse(now time.Time, r dogwoodford.Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.table.Admit(now, r)
	refuse := v.Action() == dogwoodford.Refuse
	if refuse {
		p.metrics.Add(dogmetric.EarlyRefusals, 1)
	}
	return v.RetryAfter(), refuse
}

// AddReport records a report of a guard.
func (p *pressure) AddReport(now time.Time, r dogwoodford.Request, node string, rep dogcall.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.AddReport(now, r, node, dogpressure.Report{Own: rep.Load.Cutoff, Downstream: rep.DownstreamCutoff})
}

// DownstreamCutoff returns the highest cutoff of the services that requests of
// the class of r call downstream of the node's target.
func (p *pressure) DownstreamCutoff(now time.Time, r dogwoodford.Request) dogwoodford.Priority {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.UpstreamReport(now, r, 0).Downstream
}

// suspects implements doghttp.Suspects.
type suspects struct{ n *node }

// Enter decides whether a request may start at the target.
func (s suspects) Enter(now time.Time, id string, digest uint64) dogwoodford.Verdict {
	return s.n.suspectGate.Enter(now, id, digest)
}

// Leave ends a request that Enter allowed to start. A request that broke off
// stays in progress until the health of the target has been checked, so that it
// is reported as in progress if the target died.
func (s suspects) Leave(id string, end doghttp.End) {
	switch end {
	case doghttp.EndCompleted:
		s.n.target.recordCompletion(time.Now())
		s.n.suspectGate.Leave(id, true)
	case doghttp.EndBroken:
		s.n.async(func(context.Context) {
			s.n.target.checkNow()
			s.n.suspectGate.Leave(id, false)
		})
	default:
		s.n.suspectGate.Leave(id, false)
	}
}
