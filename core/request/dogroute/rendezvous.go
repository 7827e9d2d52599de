package dogroute

import (
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogdigest"
)

// minUnreachableNodes is the number of nodes of a data centre that must fail,
// without a response from any other, before the data centre counts as
// unreachable. A single node may have been crashed by content.
const minUnreachableNodes = 2

// dcFailures counts the nodes of a data centre that failed to respond since the
// last response from any of its nodes.
type dcFailures struct {
	nodes       int
	lastFailure time.Time // Time of the last missing response.
}

// recordResponse records whether a dispatch to n got a response. A response
// marks all nodes of the data centre as responsive.
func (rt *Router) recordResponse(now time.Time, n *node, unresponsive bool) {
	s := rt.dcFailures[n.dc]
	if s == nil {
		s = &dcFailures{}
		rt.dcFailures[n.dc] = s
	}
	if !unresponsive {
		if s.nodes > 0 {
			s.nodes = 0
			for _, other := range rt.nodes {
				if other.dc == n.dc {
					other.unresponsive = false
				}
			}
		}
		return
	}
	s.lastFailure = now
	if !n.unresponsive {
		n.unresponsive = true
		s.nodes++
	}
}

// unreachableDC reports whether a data centre appears to be unreachable, by the
// missing responses that this node observed. These expire after maxReportAge,
// so that the data centre is tried again.
func (rt *Router) unreachableDC(now time.Time, dc string) bool {
	s := rt.dcFailures[dc]
	return dc != rt.opts.DataCentre && s != nil && s.nodes >= minUnreachableNodes && now.Sub(s.lastFailure) < maxReportAge
}

// unreachableDCs returns which data centres are unreachable: those for which
// unreachableDC holds, and those that have at least minUnreachableNodes targets,
// all of them failed.
func (rt *Router) unreachableDCs(now time.Time, targets []dogwoodford.Target) map[string]bool {
	type count struct{ all, failed int }
	counts := make(map[string]count)
	for i := range targets {
		t := &targets[i]
		c := counts[t.DataCentre]
		c.all++
		if t.State == dogwoodford.StateFailed {
			c.failed++
		}
		counts[t.DataCentre] = c
	}
	out := make(map[string]bool)
	for dc, c := range counts {
		out[dc] = c.all >= minUnreachableNodes && c.failed == c.all || rt.unreachableDC(now, dc)
	}
	return out
}

// rendezvous returns the two nodes that the digest of r hashes to among the
// present targets of its service. Failed targets count while they are present,
// so that content that crashed a target does not move on to a third one.
// Targets that leave do not count: they shut down as planned, not because of
// content. Nor do those of an unreachable data centre: content does not crash a
// whole data centre, and on the smaller side of a network partition half of the
// content would find no target until PresenceTimeout has passed.
func (rt *Router) rendezvous(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target) [2]string {
	var names [2]string
	var scores [2]uint64
	unreachable := rt.unreachableDCs(now, targets)
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service() || unreachable[t.DataCentre] || !rt.present(now, t) {
			continue
		}
		s := dogdigest.Score(r.Digest(), t.Node)
		switch {
		case names[0] == "" || s > scores[0]:
			names[1], scores[1] = names[0], scores[0]
			names[0], scores[0] = t.Node, s
		case names[1] == "" || s > scores[1]:
			names[1], scores[1] = t.Node, s
		}
	}
	return names
}

// present reports whether a target takes part in rendezvous hashing.
func (rt *Router) present(now time.Time, t *dogwoodford.Target) bool {
	switch t.State {
	case dogwoodford.StateDraining, dogwoodford.StateLeft:
		return false
	case dogwoodford.StateReady:
		return !rt.nodes[t.Node].declined(now)
	default:
		return now.Sub(t.LastSeen) <= rt.opts.PresenceTimeout
	}
}
