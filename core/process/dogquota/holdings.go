package dogquota

import "time"

// holdingsSweep is the least time between two sweeps for expired tokens.
const holdingsSweep = 100 * time.Millisecond

// holdings are the tokens that nodes hold in advance. The zero value is ready for use.
type holdings struct {
	byNode map[string]lot
	total  int
	swept  time.Time
}

// add records that a node holds n tokens from now until they expire.
func (h *holdings) add(node string, n int, now time.Time) {
	if n <= 0 {
		return
	}
	if h.byNode == nil {
		h.byNode = make(map[string]lot)
	}
	h.used(node)
	h.byNode[node] = lot{n: n, expiry: now.Add(TokenLifetime + lotSpacing)}
	h.total += n
}

// used records that a node has used all its tokens.
func (h *holdings) used(node string) {
	h.total -= h.byNode[node].n
	delete(h.byNode, node)
}

// count returns the number of tokens that are held at now. Those that have expired less
// than holdingsSweep ago may still count.
func (h *holdings) count(now time.Time) int {
	if h.total > 0 && now.Sub(h.swept) >= holdingsSweep {
		h.swept = now
		for node, held := range h.byNode {
			if !now.Before(held.expiry) {
				h.used(node)
			}
		}
	}
	return h.total
}
