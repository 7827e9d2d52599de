package dogroute

import (
	"cmp"
	"slices"
	"time"

	"dogwoodford"
)

// Exclusion is the reason for which a target is not considered for a request.
type Exclusion string

// Exclusions.
const (
	Considered Exclusion = ""
	NotReady   Exclusion = "not ready"
	// Declined targets reported lately that they accept no requests.
	Declined Exclusion = "accepts no requests"
	// BelowCutoff targets refuse the priority, while others of the service admit it.
	BelowCutoff Exclusion = "refuses the priority"
)

// Choice is the view of a Router on one target for a request.
type Choice struct {
	Target   dogwoodford.Target
	Excluded Exclusion
	Local    bool // Whether the target is in the data centre of the router.
	InFlight int  // Requests from this node.
	// Load is the last reported load, and LoadAge its age. Known is false without a
	// report that still counts.
	Load    dogwoodford.Load
	LoadAge time.Duration
	Known   bool
	// Weight is the chance to be compared with others, relative to the heaviest.
	Weight      float64
	Utilisation float64
	Cost        float64 // Lower is better; see Options.ByCompletion.
}

// Explain returns the view on the targets of the service of r, which has no digest: the
// considered ones first, local ones before others, and those of lower cost first. It
// changes nothing.
func (rt *Router) Explain(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target) []Choice {
	var list []candidate
	var excluded []Choice
	for i := range targets {
		t := &targets[i]
		n := rt.nodes[t.Node]
		switch {
		case t.Service != r.Service():
		case t.State != dogwoodford.StateReady:
			excluded = append(excluded, rt.choice(now, rt.candidate(now, t, n), NotReady))
		case n.declined(now):
			excluded = append(excluded, rt.choice(now, rt.candidate(now, t, n), Declined))
		default:
			list = append(list, rt.candidate(now, t, n))
		}
	}
	admitting := rt.admitting(now, r.Priority(), list)
	rt.estimate(admitting)
	var out []Choice
	for _, c := range admitting {
		out = append(out, rt.choice(now, c, Considered))
	}
	slices.SortStableFunc(out, func(a, b Choice) int {
		if a.Local != b.Local {
			if a.Local {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	for _, c := range list[len(admitting):] {
		out = append(out, rt.choice(now, c, BelowCutoff))
	}
	return append(out, excluded...)
}

func (rt *Router) choice(now time.Time, c candidate, e Exclusion) Choice {
	out := Choice{
		Target: *c.target, Excluded: e, Local: c.target.DataCentre == rt.opts.DataCentre,
		Weight: c.weight, Utilisation: c.utilisation, Cost: c.cost,
	}
	if c.node != nil {
		out.InFlight = c.node.inFlight
		if c.node.fresh(now) {
			out.Load, out.LoadAge, out.Known = c.node.load, now.Sub(c.node.loadAt), true
		}
	}
	return out
}
