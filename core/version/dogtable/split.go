package dogtable

import (
	"math/rand/v2"
	"sync"
)

// Split distributes the requests of each route among its backends by smooth
// weighted round robin, so that each backend gets its share within a few
// requests. Each route starts at a random point of the round, so that many nodes
// that get few requests each keep to the shares together. It is safe for concurrent
// use. The zero value is not usable; call NewSplit.
type Split struct {
	mu     sync.Mutex
	rand   *rand.Rand
	routes map[*Route][]int // Current weight of each backend.
}

// NewSplit returns a Split that draws its starting points from rnd, which the caller
// must not use afterwards.
func NewSplit(rnd *rand.Rand) *Split { return &Split{rand: rnd, routes: make(map[*Route][]int)} }

// Reset drops the state of all routes. It is called for a new table, which has
// new Routes.
func (s *Split) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.routes)
}

// Choose returns the service for the next request of r.
func (s *Split) Choose(r *Route) string {
	backends := r.spec.Backends
	if len(backends) == 1 {
		return backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.routes[r]
	if current == nil {
		current = make([]int, len(backends))
		s.routes[r] = current
		for range s.rand.IntN(roundLen(backends)) {
			next(backends, current)
		}
	}
	return backends[next(backends, current)].Service
}

// maxStart bounds the starting point in a round, and the time to reach it.
const maxStart = 1000

// roundLen returns the number of choices after which they repeat, or maxStart if it is
// lower.
func roundLen(backends []Backend) int {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	return max(1, min(total, maxStart))
}

// next returns the index of the next backend and updates the current weights.
func next(backends []Backend, current []int) int {
	best, total := 0, 0
	for i, b := range backends {
		current[i] += b.Weight
		total += b.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return best
}
