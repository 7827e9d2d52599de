package doghttp

import (
	"sync"
	"time"

	"dogwoodford"
)

// keyRetention is how long an owner keeps records. Older keys are refused, so a
// guard need not remember them longer.
const keyRetention = 10 * time.Minute

// recentKeys is the set of keys that a guard received recently. The zero value
// is ready to use. Two generations, each as long as keyRetention, limit the
// memory without a timer per key. It is safe for concurrent use.
type recentKeys struct {
	mu                sync.Mutex
	started           time.Time
	current, previous map[dogwoodford.Key]struct{}
}

// add adds the key and reports whether it is new.
func (g *recentKeys) add(now time.Time, k dogwoodford.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || now.Sub(g.started) > keyRetention {
		g.previous, g.current, g.started = g.current, make(map[dogwoodford.Key]struct{}), now
	}
	if _, ok := g.current[k]; ok {
		return false
	}
	if _, ok := g.previous[k]; ok {
		return false
	}
	g.current[k] = struct{}{}
	return true
}

// remove removes a key whose request did not run, so that it may be dispatched
// again.
func (g *recentKeys) remove(k dogwoodford.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.current, k)
	delete(g.previous, k)
}
