package dogreplay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Result is the result of one run. Times are in seconds.
type Result struct {
	Trace        string        `json:"trace"`
	Policy       string        `json:"policy"`
	Seed         uint64        `json:"seed"`
	Classes      []ClassResult `json:"classes"`
	Requests     int           `json:"requests"`
	Tries        int           `json:"tries"`    // Sent by clients.
	Attempts     int           `json:"attempts"` // Dispatches to targets.
	WorkSeconds  float64       `json:"work_seconds"`
	WastedShare  float64       `json:"wasted_share"` // Share of WorkSeconds spent on requests that failed.
	Recoveries   []Recovery    `json:"recoveries"`
	Expectations []Check       `json:"expectations"`
}

// ClassResult is the goodput of a class, in requests over the whole run: those
// that arrived, those that completed and those that the targets could complete.
type ClassResult struct {
	Class     string  `json:"class"`
	Demand    int     `json:"demand"`
	Completed int     `json:"completed"`
	Possible  float64 `json:"possible"`
}

// Recovery is the time from the end of a fault until the goodput stays at 95% of
// the possible goodput or above; -1 if it does not before the next fault or the
// end of the run.
type Recovery struct {
	After   float64 `json:"after"`
	Seconds float64 `json:"seconds"`
}

// Check is the outcome of one expectation.
type Check struct {
	Line     int     `json:"line"`
	Text     string  `json:"text"`
	Measured float64 `json:"measured"` // Percent, or seconds for a recovery.
	Pass     bool    `json:"pass"`
}

// Pass reports whether every expectation was met.
func (r *Result) Pass() bool {
	for _, c := range r.Expectations {
		if !c.Pass {
			return false
		}
	}
	return true
}

// tally holds the requests that arrived, completed and could complete, by class
// and bucket.
type tally struct{ demand, completed, possible [][]float64 }

func (s *sim) tally() tally {
	n := int((s.t.length + bucket - 1) / bucket)
	var t tally
	for range s.t.classes {
		t.demand = append(t.demand, make([]float64, n))
		t.completed = append(t.completed, make([]float64, n))
		t.possible = append(t.possible, make([]float64, n))
	}
	for _, r := range s.requests {
		b := int(r.arrived / bucket)
		t.demand[r.class][b]++
		if r.ok {
			t.completed[r.class][b]++
		}
	}
	demand := make([]float64, len(s.t.classes))
	for b := range n {
		for c := range demand {
			demand[c] = t.demand[c][b]
		}
		for c, x := range s.possible(b, demand) {
			t.possible[c][b] = x
		}
	}
	return t
}

// sum returns the sum over the buckets [from, to) for one class, or for all if
// class is negative.
func sum(x [][]float64, class, from, to int) float64 {
	total := 0.0
	for c := range x {
		if class >= 0 && c != class {
			continue
		}
		for b := from; b < min(to, len(x[c])); b++ {
			total += x[c][b]
		}
	}
	return total
}

func (s *sim) result(seed uint64) *Result {
	res := &Result{
		Trace: s.t.name, Policy: s.policy.String(), Seed: seed,
		Requests: len(s.requests), Attempts: s.attempts,
		Recoveries: []Recovery{}, Expectations: []Check{},
	}
	wasted := 0.0
	for _, r := range s.requests {
		res.Tries += r.tries
		res.WorkSeconds += r.spent.Seconds()
		if !r.ok {
			wasted += r.spent.Seconds()
		}
	}
	if res.WorkSeconds > 0 {
		res.WastedShare = wasted / res.WorkSeconds
	}
	t := s.tally()
	all := len(t.demand[0])
	for c, class := range s.t.classes {
		res.Classes = append(res.Classes, ClassResult{
			Class: class.name, Demand: int(sum(t.demand, c, 0, all)),
			Completed: int(sum(t.completed, c, 0, all)), Possible: sum(t.possible, c, 0, all),
		})
	}
	seen := map[time.Duration]bool{}
	for _, f := range s.t.faults {
		end := f.at + f.length
		if f.kind != platformDown && end < s.t.length && !seen[end] {
			seen[end] = true
			res.Recoveries = append(res.Recoveries, Recovery{After: end.Seconds(), Seconds: s.recovery(t, end)})
		}
	}
	for _, e := range s.t.expectations {
		if e.policy == s.policy || e.policy == Ours && s.policy == Paced {
			res.Expectations = append(res.Expectations, s.check(t, e))
		}
	}
	return res
}

// recovery returns the seconds from the end of a fault until the first bucket
// from which every bucket up to the next fault has at least 95% of the possible
// goodput; -1 if there is none.
func (s *sim) recovery(t tally, end time.Duration) float64 {
	stop := s.t.length
	for _, f := range s.t.faults {
		if f.at > end {
			stop = min(stop, f.at)
		}
	}
	first, last := int((end+bucket-1)/bucket), int(stop/bucket)
	from := last
	for from > first && sum(t.completed, -1, from-1, from) >= 0.95*sum(t.possible, -1, from-1, from) {
		from--
	}
	if from >= last {
		return -1
	}
	return (time.Duration(from)*bucket - end).Seconds()
}

func (s *sim) check(t tally, e expectation) Check {
	c := Check{Line: e.line, Text: e.text}
	if e.recovery {
		c.Measured = s.recovery(t, e.from)
		c.Pass = c.Measured >= 0 && c.Measured <= e.within.Seconds()
	} else {
		from, to := int(e.from/bucket), int(e.to/bucket)
		of := t.possible
		if e.ofDemand {
			of = t.demand
		}
		// Without demand, the goodput counts as complete.
		c.Measured = 100
		if base := sum(of, e.class, from, to); base > 0 {
			c.Measured = 100 * sum(t.completed, e.class, from, to) / base
		}
		c.Pass = c.Measured >= e.percent
	}
	if e.below {
		c.Pass = !c.Pass
	}
	return c
}

// WriteTable writes the result to out as a text table.
func (r *Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s  policy %s  seed %d\n", r.Trace, r.Policy, r.Seed)
	fmt.Fprintf(w, "class\tdemand\tcompleted\tpossible\tof possible\n")
	for _, c := range r.Classes {
		share := 100.0
		if c.Possible > 0 {
			share = 100 * float64(c.Completed) / c.Possible
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.1f%%\n", c.Class, c.Demand, c.Completed, c.Possible, share)
	}
	fmt.Fprintf(w, "requests %d, tries %d, attempts %d, work %.0f s, wasted %.1f%%\n",
		r.Requests, r.Tries, r.Attempts, r.WorkSeconds, 100*r.WastedShare)
	for _, x := range r.Recoveries {
		took := "never"
		if x.Seconds >= 0 {
			took = fmt.Sprintf("%.1f s", x.Seconds)
		}
		fmt.Fprintf(w, "recovery after %.1f s: %s\n", x.After, took)
	}
	for _, c := range r.Expectations {
		verdict := "FAIL"
		if c.Pass {
			verdict = "pass"
		}
		fmt.Fprintf(w, "%s  line %d: %s (measured %.1f)\n", verdict, c.Line, c.Text, c.Measured)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
