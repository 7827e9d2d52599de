package dogtable

import "sync"

// Split distributes the requests of routes among their backends by smooth
// weighted round robin, so that each backend gets its share within a few
// requests. It is safe for concurrent use; the zero value is not valid.
type Split struct {
	mu     sync.Mutex
	routes map[*Route][]int
}

// NewSplit returns a Split without history.
func NewSplit() *Split { return &Split{routes: make(map[*Route][]int)} }

// Reset forgets the history, for a new table.
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
	credit := s.routes[r]
	if credit == nil {
		credit = make([]int, len(backends))
		s.routes[r] = credit
	}
	best, total := 0, 0
	for i, b := range backends {
		credit[i] += b.Weight
		total += b.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return backends[best].Service
}
