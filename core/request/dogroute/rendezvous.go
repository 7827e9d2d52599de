package dogroute

import (
	"time"

	"dogwoodford"
)

// cutNodes is the number of nodes of a data centre that must fail, with no
// other heard from, before it counts as cut off. One node may have died of
// content.
const cutNodes = 2

// silence counts the nodes of a data centre that gave no answer since one of
// its nodes last did.
type silence struct {
	nodes int
	at    time.Time // Of the last missing answer.
}

// heard records whether a dispatch got an answer.
func (rt *Router) heard(now time.Time, n *node, silent bool) {
	s := rt.silence[n.dc]
	if s == nil {
		s = &silence{}
		rt.silence[n.dc] = s
	}
	if !silent {
		if s.nodes > 0 {
			s.nodes = 0
			for _, other := range rt.nodes {
				if other.dc == n.dc {
					other.silent = false
				}
			}
		}
		return
	}
	s.at = now
	if !n.silent {
		n.silent = true
		s.nodes++
	}
}

// silentDC reports whether a data centre seems cut off by what this node
// observed. The mark ends with the age of reports, so that the data centre is
// tried again.
func (rt *Router) silentDC(now time.Time, dc string) bool {
	s := rt.silence[dc]
	return dc != rt.opts.DataCentre && s != nil && s.nodes >= cutNodes && now.Sub(s.at) < reportAge
}

// cutOff returns the data centres that are out of reach: silent ones, and those
// of which all of at least cutNodes targets failed.
func (rt *Router) cutOff(now time.Time, targets []dogwoodford.Target) map[string]bool {
	type count struct{ all, failed int }
	counts := make(map[string]count)
	for i := range targets {
		t := &targets[i]
		c := counts[t.DataCentre]
		c.all++
		if t.State == dogwoodford.Failed {
			c.failed++
		}
		counts[t.DataCentre] = c
	}
	out := make(map[string]bool)
	for dc, c := range counts {
		out[dc] = c.all >= cutNodes && c.failed == c.all || rt.silentDC(now, dc)
	}
	return out
}

// rendezvous returns the two nodes that the digest of r hashes to among the
// present targets of its service. Failed targets count while present, so that
// the death of a target does not pass its content on to a third one. Targets
// that leave do not count: they leave by plan, not because of content. Nor do
// those of a data centre that is out of reach: content does not fell a whole
// data centre, and half of the content would find no target on the smaller side
// of a cut until the presence time has passed.
func (rt *Router) rendezvous(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target) [2]string {
	var names [2]string
	var scores [2]uint64
	cut := rt.cutOff(now, targets)
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service() || cut[t.DataCentre] || !rt.present(now, t) {
			continue
		}
		s := score(r.Digest(), t.Node)
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

// present reports whether a target counts for the two-target rule.
func (rt *Router) present(now time.Time, t *dogwoodford.Target) bool {
	switch t.State {
	case dogwoodford.Draining, dogwoodford.Left:
		return false
	case dogwoodford.Ready:
		return !rt.declined(now, t.Node)
	default:
		return now.Sub(t.Seen) <= rt.opts.Present
	}
}
