package doghttp

import (
	"sync"
	"time"

	"dogwoodford"
)

// keyAge is how long an owner keeps records. Keys beyond it are refused, so a
// guard need not remember them longer.
const keyAge = 10 * time.Minute

// givenKeys are the keys that a guard was given. The zero value is ready. Two
// generations, each of them as long as keyAge, bound the memory without a
// timer per key.
type givenKeys struct {
	mu       sync.Mutex
	since    time.Time
	now, old map[dogwoodford.Key]struct{}
}

// give records the key and reports whether it is new.
func (g *givenKeys) give(now time.Time, k dogwoodford.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.now == nil || now.Sub(g.since) > keyAge {
		g.old, g.now, g.since = g.now, make(map[dogwoodford.Key]struct{}), now
	}
	if _, ok := g.now[k]; ok {
		return false
	}
	if _, ok := g.old[k]; ok {
		return false
	}
	g.now[k] = struct{}{}
	return true
}

// forget removes a key whose request did not run, so that it may be given
// again.
func (g *givenKeys) forget(k dogwoodford.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.now, k)
	delete(g.old, k)
}
