package dogrelay

import (
	"strings"
	"sync"
	"time"
)

// idSeparator parts the id of a call from that of the request that makes it.
// An id that extends that of no request in progress belongs to a request of a
// caller.
const idSeparator = "."

// registry holds the requests that run at the target beside the node, so that
// the calls that the target makes meanwhile can be told from requests of
// callers and take over their importance. It is safe for concurrent use.
type registry struct {
	mu      sync.Mutex
	running map[string]*run
}

// run is one request at the target. Its lineage does not change.
type run struct {
	lineage lineage

	mu       sync.Mutex
	calls    int // In progress.
	since    time.Time
	waited   time.Duration // Time with at least one call in progress.
	rejected bool          // A call failed.
}

// lineage is what the calls of a request take over from it.
type lineage struct {
	root     string // Id of the request of a caller that all began with.
	class    string // Route of that request.
	priority int    // Priority of that route.
	hop      int    // Depth in the call tree; 0 at the caller.
	repeated bool   // This request or one above it was sent to a target before.
}

func newRegistry() *registry { return &registry{running: make(map[string]*run)} }

// add records that c runs at the target.
func (g *registry) add(c *call) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &run{lineage: c.lineage}
	r.lineage.repeated = c.lineage.repeated || c.attempt > 1
	g.running[c.id] = r
	return r
}

// remove records that the request with this id has ended.
func (g *registry) remove(id string, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[id] == r {
		delete(g.running, id)
	}
}

// parent returns the request that makes the call with this id, nil if there is
// none.
func (g *registry) parent(id string) *run {
	i := strings.LastIndex(id, idSeparator)
	if i < 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[id[:i]]
}

// begin records that the request makes a call.
func (r *run) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == 0 {
		r.since = now
	}
	r.calls++
}

// end records the end of a call.
func (r *run) end(now time.Time, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected = r.rejected || failed
	r.calls--
	if r.calls == 0 {
		r.waited += now.Sub(r.since)
	}
}

// children returns the time spent in calls, and whether one of them failed.
func (r *run) children(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls > 0 {
		return r.waited + now.Sub(r.since), r.rejected
	}
	return r.waited, r.rejected
}
