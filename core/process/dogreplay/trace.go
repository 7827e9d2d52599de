package dogreplay

import "time"

// Trace is a parsed trace file.
type Trace struct {
	name         string
	length       time.Duration
	dataCentres  []string
	between      time.Duration // One-way delay between data centres.
	local        time.Duration // One-way delay within a data centre.
	client       time.Duration // One-way delay between clients and nodes.
	services     []service
	classes      []class
	clients      clients
	faults       []fault
	expectations []expectation
}

// Name returns the name under which the trace was parsed.
func (t *Trace) Name() string { return t.name }

// Length returns the time over which requests arrive.
func (t *Trace) Length() time.Duration { return t.length }

type service struct {
	name       string
	workers    int
	slots      int // Requests that a worker runs at full speed.
	announced  int // Slots that it claims.
	mean       time.Duration
	spread     float64       // Standard deviation over mean; the distribution is log-normal.
	cold       time.Duration // Time after a start over which service times fall to normal.
	coldFactor float64       // Factor on service times at the start.
}

type class struct {
	name       string
	line       int
	importance int
	deadline   time.Duration
	retries    int
	idempotent bool
	contents   int // Different contents; 0 means that each request has its own.
	tree       *call
	rates      []step
}

// call is a node of a call tree. Children run in order after the service time.
type call struct {
	service  int
	children []*call
}

// step is a rate that holds from a time on.
type step struct {
	from   time.Duration
	perSec float64
}

type clients struct {
	resends       int // Further tries after a failure.
	backoff       time.Duration
	honour        bool // Whether Retry-After lengthens the backoff.
	resendPercent float64
	resendBurst   float64
}

type faultKind int

const (
	slowService faultKind = iota
	surge
	cutDataCentre
	drainWorkers
	crashWorker
	platformDown
)

// fault is a change for some time. Which fields count depends on the kind.
type fault struct {
	kind       faultKind
	at, length time.Duration
	factor     float64 // slow, surge
	service    int     // slow, drain, crash
	class      int     // surge; -1 for all
	dataCentre int     // cut
	workers    int     // drain: how many; crash: which one
}

func (f fault) active(at time.Duration) bool { return at >= f.at && at < f.at+f.length }

// expectation is one bound that a run under its policy is checked against.
type expectation struct {
	text     string
	line     int
	policy   Policy
	recovery bool // Recovery time; else goodput.
	class    int  // -1 for all
	below    bool // The bound is an upper one for goodput, a lower one for recovery.
	ofDemand bool // Relative to demand; else to what was possible.
	percent  float64
	from, to time.Duration // Goodput: window. Recovery: from is the end of the cause.
	within   time.Duration // Recovery.
}

// rate returns the arrival rate of class c at a time, and the next time at
// which it may change.
func (t *Trace) rate(c int, at time.Duration) (float64, time.Duration) {
	rate, next := 0.0, t.length
	for _, s := range t.classes[c].rates {
		if s.from <= at {
			rate = s.perSec
		} else {
			next = min(next, s.from)
		}
	}
	for _, f := range t.faults {
		if f.kind != surge || f.class >= 0 && f.class != c {
			continue
		}
		if f.active(at) {
			rate *= f.factor
		}
		for _, edge := range []time.Duration{f.at, f.at + f.length} {
			if edge > at {
				next = min(next, edge)
			}
		}
	}
	return rate, next
}

// slowness returns the factor on the service times of service s.
func (t *Trace) slowness(s int, at time.Duration) float64 {
	factor := 1.0
	for _, f := range t.faults {
		if f.kind == slowService && f.service == s && f.active(at) {
			factor *= f.factor
		}
	}
	return factor
}

// isCut reports whether data centre d has no links to the others.
func (t *Trace) isCut(d int, at time.Duration) bool {
	for _, f := range t.faults {
		if f.kind == cutDataCentre && f.dataCentre == d && f.active(at) {
			return true
		}
	}
	return false
}

// linked reports whether data centres a and b reach each other.
func (t *Trace) linked(a, b int, at time.Duration) bool {
	return a == b || !t.isCut(a, at) && !t.isCut(b, at)
}

// home returns the data centre of worker w of a service.
func (t *Trace) home(w int) int { return w % len(t.dataCentres) }
