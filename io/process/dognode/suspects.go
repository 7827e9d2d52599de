package dognode

import (
	"fmt"
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

func (c *control) onSuspects(now time.Time, ev dogsuspect.Event) {
	for _, a := range c.suspects.OnEvent(now, ev) {
		switch a := a.(type) {
		case dogsuspect.Changed:
			c.publish(now)
			c.updateStateHash(now)
		case dogsuspect.PublishReport:
			c.gossipUpdate(now, dogsuspect.ReportUpdate(a.Report), true)
		case dogsuspect.QuarantineBegun:
			c.n.log(doglog.DigestQuarantined, attr("digest", fmt.Sprintf("%016x", a.Entry.Digest)),
				attr("service", a.Entry.Service), attr("until", a.Entry.Until))
		}
	}
}

// suspectGate is the dogsuspect.Gate of the node's target, guarded by a mutex.
type suspectGate struct {
	c      *control
	mu     sync.Mutex
	gate   *dogsuspect.Gate
	deaths int
}

func newSuspectGate(c *control) *suspectGate {
	return &suspectGate{c: c, gate: dogsuspect.NewGate()}
}

// Enter decides whether a request may start.
func (g *suspectGate) Enter(now time.Time, id string, digest uint64) dogwoodford.Verdict {
	v := g.c.snap.Load().suspects
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Start(now, v, id, digest)
}

// Leave ends a request that Enter allowed to start.
func (g *suspectGate) Leave(id string, completed bool) {
	v := g.c.snap.Load().suspects
	g.mu.Lock()
	digest, cleared := g.gate.Done(time.Now(), v, id, completed)
	g.mu.Unlock()
	if cleared {
		g.c.post(func(now time.Time) {
			g.c.onSuspects(now, dogsuspect.Completed{Digest: digest})
		})
	}
}

// targetDied reports the digests of the requests that were in progress when the
// target died.
func (g *suspectGate) targetDied() {
	g.mu.Lock()
	g.deaths++
	self := g.c.n.settings.Node
	id := fmt.Sprintf("%s/%d/%d", self.Name, g.c.n.started.UnixMilli(), g.deaths)
	digests := g.gate.RecordDeath()
	g.mu.Unlock()
	g.c.n.metrics.Add(dogmetric.TargetDeaths, 1)
	g.c.n.log(doglog.TargetDied, attr("in_progress", len(digests)))
	if len(digests) == 0 {
		return
	}
	names := make([]string, len(digests))
	for i, d := range digests {
		names[i] = fmt.Sprintf("%016x", d)
	}
	g.c.n.log(doglog.SuspectReported, attr("death", id), attr("digests", names))
	g.c.post(func(now time.Time) {
		g.c.onSuspects(now, dogsuspect.TargetDied{ID: id, Service: self.Service, Digests: digests})
	})
}
