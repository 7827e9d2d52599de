package dogfleet

import "time"

// suspectAfter is the time without an answer of a node, while one is due,
// after which it is asked whether it lives. It is far above the round trip
// within a region and well below the objectives of callers.
const suspectAfter = 150 * time.Millisecond

// Silence finds nodes that have gone silent while requests to them are in
// progress. It costs nothing between nodes that answer each other all the time.
// It is not safe for concurrent use.
type Silence struct {
	nodes map[string]*silence
}

type silence struct {
	pending int
	heard   time.Time // Last answer, or the start of the first request in progress.
	asked   bool      // The node is being asked whether it lives.
}

// NewSilence returns a Silence without requests in progress.
func NewSilence() *Silence { return &Silence{nodes: make(map[string]*silence)} }

// Sent records a request to a node.
func (s *Silence) Sent(now time.Time, node string) {
	n := s.nodes[node]
	if n == nil {
		n = &silence{}
		s.nodes[node] = n
	}
	if n.pending == 0 {
		n.heard = now
	}
	n.pending++
}

// Heard records the end of a request. answered tells whether the node gave an
// answer.
func (s *Silence) Heard(now time.Time, node string, answered bool) {
	n := s.nodes[node]
	if n == nil {
		return
	}
	if answered {
		n.heard = now
	}
	if n.pending--; n.pending <= 0 {
		delete(s.nodes, node)
	}
}

// Check returns when a node is to be checked again, and whether it is to be
// asked now. It returns zero if no request to it is in progress.
func (s *Silence) Check(now time.Time, node string) (time.Duration, bool) {
	n := s.nodes[node]
	if n == nil {
		return 0, false
	}
	if left := suspectAfter - now.Sub(n.heard); left > 0 {
		return left, false
	}
	if n.asked {
		return suspectAfter, false
	}
	n.asked = true
	return suspectAfter, true
}

// Due returns the nodes that are to be asked now, and whether any request is in
// progress.
func (s *Silence) Due(now time.Time) (nodes []string, pending bool) {
	for node := range s.nodes {
		if _, ask := s.Check(now, node); ask {
			nodes = append(nodes, node)
		}
	}
	return nodes, len(s.nodes) > 0
}

// Asked records the end of the question whether a node lives. Whatever the
// answer, the node is asked again only after the same time.
func (s *Silence) Asked(now time.Time, node string) {
	n := s.nodes[node]
	if n == nil {
		return
	}
	n.asked, n.heard = false, now
}
