package dogtable

import "sync"

// Split distributes the requests of each route among its backends by smooth
// weighted round robin, so that each backend gets its share within a few
// requests. It is safe for concurrent use. The zero value is not usable; call
// NewSplit.
type Split struct {
	mu     sync.Mutex
	routes map[*Route][]int // Current weight of each backend.
}

// NewSplit returns a Split in which all current weights are 0.
func NewSplit() *Split { return &Split{routes: make(map[*Route][]int)} }

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
	currentWeights := s.routes[r]
	if currentWeights == nil {
		currentWeights = make([]int, len(backends))
		s.routes[r] = currentWeights
	}
	best, total := 0, 0
	for i, b := range backends {
		currentWeights[i] += b.Weight
		total += b.Weight
		if currentWeights[i] > currentWeights[best] {
			best = i
		}
	}
	currentWeights[best] -= total
	return backends[best].Service
}
