package dogsidecar

import (
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogpressure"
)

// pressure is a dogpressure.Table guarded by a mutex. It implements
// dogrelay.Pressure.
type pressure struct {
	mu    sync.Mutex
	table *dogpressure.Table
}

// Admit implements dogrelay.Pressure.
func (p *pressure) Admit(r dogwoodford.Request) dogwoodford.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Admit(time.Now(), r)
}

// AddReport implements dogrelay.Pressure.
func (p *pressure) AddReport(r dogwoodford.Request, node string, own, downstream dogwoodford.Priority) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.AddReport(time.Now(), r, node, dogpressure.Report{Own: own, Downstream: downstream})
}

// DownstreamCutoff implements dogrelay.Pressure.
func (p *pressure) DownstreamCutoff(r dogwoodford.Request, own dogwoodford.Priority) dogwoodford.Priority {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.UpstreamReport(time.Now(), r, own).Downstream
}

// inspect returns what Admit would decide; see dogpressure.Table.Inspect.
func (p *pressure) inspect(now time.Time, r dogwoodford.Request) (cutoff dogwoodford.Priority, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Inspect(now, r)
}
