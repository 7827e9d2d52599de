package dogtree

import (
	"math/rand/v2"
	"time"
)

const (
	// reportExpiry is the age at which a report no longer counts.
	reportExpiry = 2 * time.Second
	// minRuns is the number of reported runs below which nothing is concluded.
	minRuns = 6
	// minChance is the share of completed trees below which requests that must not run
	// twice are refused. A failure is final for them.
	minChance = 0.4
	// minRepeatableChance is that for requests that callers send again after a failure.
	minRepeatableChance = 0.15
	// firstShare is the share of the longest time that callers of the class give their
	// requests above which a request counts as one that has not come back yet.
	firstShare = 0.9
	// probeShare is the share of the other requests that is started all the same.
	probeShare = 0.15
	// maxHintShare and minHintShare bound the hint by the time that the request has
	// left. Callers wait no longer than a third of it.
	maxHintShare = 0.32
	minHintShare = 0.2
	// limitTime is the time for which the longest time of a class is kept at least.
	limitTime = 30 * time.Second
)

// Request is what decides whether a request is started.
type Request struct {
	Class      string
	Repeatable bool
	Left       time.Duration // Time that the caller waits for the response; 0 if unknown.
}

// Estimator holds the reports on the runs of classes. It is not safe for concurrent use.
type Estimator struct {
	rand    *rand.Rand
	classes map[string]*class
}

// class holds the reports on one class.
type class struct {
	reports map[string]report // By node; empty while no node reports failures.
	// The longest times that callers have given requests in the present period of
	// limitTime and in the one before.
	longest, longestBefore time.Duration
	periodStart            time.Time
}

type report struct {
	at   time.Time
	runs Runs
}

// NewEstimator returns an Estimator without reports. r is its source of chance.
func NewEstimator(r *rand.Rand) *Estimator {
	return &Estimator{rand: r, classes: make(map[string]*class)}
}

func (e *Estimator) class(name string) *class {
	c := e.classes[name]
	if c == nil {
		c = &class{reports: make(map[string]report)}
		e.classes[name] = c
	}
	return c
}

// AddReport records what the node beside a target reported with its answer to a request
// of a class. A node without failures need not send its runs; it counts with one.
func (e *Estimator) AddReport(now time.Time, name, node string, r Runs) {
	c := e.class(name)
	if r.Failed == 0 {
		if len(c.reports) == 0 {
			return
		}
		r = Runs{Total: 1}
	}
	c.reports[node] = report{at: now, runs: r}
}

// Admit reports whether a request is to be started. If not, it returns when the caller
// should come back.
func (e *Estimator) Admit(now time.Time, r Request) (retryAfter time.Duration, ok bool) {
	c := e.class(r.Class)
	c.recordLeft(now, r.Left)
	if !c.weighs(r) || c.completes(r, c.recent(now)) || e.rand.Float64() < probeShare {
		return 0, true
	}
	share := minHintShare + (maxHintShare-minHintShare)*e.rand.Float64()
	return time.Duration(share * float64(r.Left)), false
}

// weighs reports whether the runs of the class decide on a request.
func (c *class) weighs(r Request) bool {
	return len(c.reports) > 0 && r.Left > 0 && float64(r.Left) >= firstShare*float64(max(c.longest, c.longestBefore))
}

// completes reports whether a request most probably completes, by the recent runs.
func (c *class) completes(r Request, runs Runs) bool {
	limit := minChance
	if r.Repeatable {
		limit = minRepeatableChance
	}
	return runs.Total < minRuns || float64(runs.Total-runs.Failed) >= limit*float64(runs.Total)
}

// recent returns the sum of the reports that still count, and drops the others.
func (c *class) recent(now time.Time) Runs {
	var sum Runs
	for node, r := range c.reports {
		if now.Sub(r.at) >= reportExpiry {
			delete(c.reports, node)
			continue
		}
		sum.Total += r.runs.Total
		sum.Failed += r.runs.Failed
	}
	if sum.Failed == 0 {
		clear(c.reports)
	}
	return sum
}

func (c *class) recordLeft(now time.Time, left time.Duration) {
	if now.Sub(c.periodStart) >= limitTime {
		c.periodStart, c.longestBefore, c.longest = now, c.longest, 0
	}
	c.longest = max(c.longest, left)
}
