package dogtree

import "time"

// Inspection tells what Estimator.Admit would decide.
type Inspection struct {
	Runs       Runs          // Recent runs of the class.
	Refuses    bool          // Requests are refused but for a few probes.
	RetryAfter time.Duration // Longest hint of a refusal.
}

// Inspect returns what Admit would decide on a request. It changes nothing.
func (e *Estimator) Inspect(now time.Time, r Request) Inspection {
	known := e.classes[r.Class]
	if known == nil {
		return Inspection{}
	}
	var out Inspection
	for _, rep := range known.reports {
		if now.Sub(rep.at) < reportExpiry {
			out.Runs.Total += rep.runs.Total
			out.Runs.Failed += rep.runs.Failed
		}
	}
	c := *known
	c.recordLeft(now, r.Left)
	if !c.weighs(r) || c.completes(r, out.Runs) {
		return out
	}
	out.Refuses, out.RetryAfter = true, time.Duration(maxHintShare*float64(r.Left))
	return out
}
