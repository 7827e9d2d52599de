package dogfleet

import "time"

// suspectAfter is the time without an answer from a node, while requests to it
// are in progress, after which the node is probed. It is far above the
// round-trip time within a region and well below the latency objectives of
// callers.
const suspectAfter = 150 * time.Millisecond

// SilenceDetector detects nodes that have stopped answering while requests to
// them are in progress. Nodes that answer steadily are not probed. It is not
// safe for concurrent use.
type SilenceDetector struct {
	nodes map[string]*pendingNode
}

// pendingNode is the state of a node with requests in progress.
type pendingNode struct {
	pending    int       // Requests in progress.
	lastAnswer time.Time // Last answer or end of a probe, or the start of the first request in progress.
	probing    bool      // A probe of the node is in progress.
}

// NewSilenceDetector returns a detector without requests in progress.
func NewSilenceDetector() *SilenceDetector {
	return &SilenceDetector{nodes: make(map[string]*pendingNode)}
}

// RequestSent records the start of a request to a node.
func (s *SilenceDetector) RequestSent(now time.Time, node string) {
	n := s.nodes[node]
	if n == nil {
		n = &pendingNode{}
		s.nodes[node] = n
	}
	if n.pending == 0 {
		n.lastAnswer = now
	}
	n.pending++
}

// RequestEnded records the end of a request to a node. answered tells whether
// the node answered it.
func (s *SilenceDetector) RequestEnded(now time.Time, node string, answered bool) {
	n := s.nodes[node]
	if n == nil {
		return
	}
	if answered {
		n.lastAnswer = now
	}
	if n.pending--; n.pending <= 0 {
		delete(s.nodes, node)
	}
}

// Check returns the time until a node is to be checked again, and whether it is
// to be probed now. The time is zero if no request to the node is in progress.
func (s *SilenceDetector) Check(now time.Time, node string) (time.Duration, bool) {
	n := s.nodes[node]
	if n == nil {
		return 0, false
	}
	if remaining := suspectAfter - now.Sub(n.lastAnswer); remaining > 0 {
		return remaining, false
	}
	if n.probing {
		return suspectAfter, false
	}
	n.probing = true
	return suspectAfter, true
}

// Due returns the nodes that are to be probed now, and whether any request is
// in progress. The caller reports the end of each probe with ProbeEnded.
func (s *SilenceDetector) Due(now time.Time) (nodes []string, pending bool) {
	for node := range s.nodes {
		if _, probe := s.Check(now, node); probe {
			nodes = append(nodes, node)
		}
	}
	return nodes, len(s.nodes) > 0
}

// ProbeEnded records the end of a probe. Whatever its result, the node is not
// probed again before suspectAfter has passed.
func (s *SilenceDetector) ProbeEnded(now time.Time, node string) {
	n := s.nodes[node]
	if n == nil {
		return
	}
	n.probing, n.lastAnswer = false, now
}
