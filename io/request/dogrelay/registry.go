package dogrelay

import (
	"strings"
	"sync"
	"time"
)

// idSeparator separates the ID of a parent request from the suffix that its child
// call adds. A request is a child call only if its parent is in progress;
// otherwise it comes from a caller.
const idSeparator = "."

// registry holds the requests in progress at the local target. It distinguishes
// child calls, which the target makes for these requests, from requests of
// callers, and lets them inherit the importance of their parent. It is safe for
// concurrent use.
type registry struct {
	mu      sync.Mutex
	running map[string]*run
}

// run is a request in progress at the local target. Its lineage does not change.
type run struct {
	lineage lineage

	mu           sync.Mutex
	childCalls   int // Child calls in progress.
	waitingSince time.Time
	waited       time.Duration // Time with a child call in progress, without the current period.
	childFailed  bool          // A child call failed.
}

// lineage is the part of a request that its child calls inherit.
type lineage struct {
	root     string // ID of the caller's request at the root of the call tree.
	class    string // Name of the route of the root request.
	priority int    // Priority of the workspace, or else of that route; 0 is the most important.
	hop      int    // Depth in the call tree; 0 for requests of callers.
	retried  bool   // This request or an ancestor was sent to a target before.
	// workspace is the name of the caller's workspace, empty if it needs none.
	workspace string
	// fairRank is the rank of its requests within their importance, plus 1; 0 if there
	// is no workspace.
	fairRank int
}

func newRegistry() *registry { return &registry{running: make(map[string]*run)} }

// add records that c is sent to the local target.
func (g *registry) add(c *call) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &run{lineage: c.lineage}
	r.lineage.retried = c.lineage.retried || c.attempt > 1
	g.running[c.id] = r
	return r
}

// remove records the end of r. It has no effect if another request with the same
// ID was added since.
func (g *registry) remove(id string, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[id] == r {
		delete(g.running, id)
	}
}

// parent returns the request that makes the child call with this ID, nil if there
// is none.
func (g *registry) parent(id string) *run {
	i := strings.LastIndex(id, idSeparator)
	if i < 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[id[:i]]
}

// beginChild records the start of a child call.
func (r *run) beginChild(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.childCalls == 0 {
		r.waitingSince = now
	}
	r.childCalls++
}

// endChild records the end of a child call.
func (r *run) endChild(now time.Time, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.childFailed = r.childFailed || failed
	r.childCalls--
	if r.childCalls == 0 {
		r.waited += now.Sub(r.waitingSince)
	}
}

// childStats returns the time with at least one child call in progress, and
// whether one of them failed.
func (r *run) childStats(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.childCalls > 0 {
		return r.waited + now.Sub(r.waitingSince), r.childFailed
	}
	return r.waited, r.childFailed
}
