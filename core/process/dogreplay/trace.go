package dogreplay

import "time"

// Trace is a parsed trace file. Run does not change it.
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
	slots      int           // Requests that a worker runs concurrently.
	announced  int           // Slots that it announces to admission control and routing.
	mean       time.Duration // Mean service time.
	spread     float64       // Coefficient of variation of the service time, which is log-normal.
	cold       time.Duration // Time after a restart until service times are back to normal.
	coldFactor float64       // Factor on service times just after a restart.
}

type class struct {
	name       string
	line       int // Line in the trace file.
	importance int
	deadline   time.Duration
	retries    int // Retry budget of a request.
	idempotent bool
	contents   int // Number of distinct request contents; 0 if each request has its own.
	tree       *callTree
	rates      []rateStep
}

// callTree is a call with its child calls, which are made one after the other
// once the service time of the call has passed.
type callTree struct {
	service  int
	children []*callTree
}

// rateStep is an arrival rate in requests per second that applies from a time on.
type rateStep struct {
	from   time.Duration
	perSec float64
}

type clients struct {
	resends          int // Maximum number of resends of a request.
	backoff          time.Duration
	honourRetryAfter bool // Whether clients wait at least as long as Retry-After says.
	resendPercent    float64
	resendBurst      float64
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

// fault is a fault or a surge of demand from at to at+length. The comments name
// the kinds that use a field.
type fault struct {
	kind       faultKind
	at, length time.Duration
	factor     float64 // slow, surge
	service    int     // slow, drain, crash
	class      int     // surge; -1 for all
	dataCentre int     // cut
	workers    int     // drain: number of workers; crash: index of the worker
}

func (f fault) active(at time.Duration) bool { return at >= f.at && at < f.at+f.length }

// expectation is a bound on the result of a run under its policy.
type expectation struct {
	text     string
	line     int
	policy   Policy
	recovery bool // Bounds the recovery time instead of the goodput.
	class    int  // -1 for all
	below    bool // The goodput must be below the bound, or the recovery time above it.
	ofDemand bool // Relative to the demand instead of the possible goodput.
	percent  float64
	from, to time.Duration // Goodput: window. Recovery: from is the end of the fault.
	within   time.Duration // Recovery: bound on the time.
}

// rate returns the arrival rate of class c at a time, in requests per second, and
// the next time at which it may change.
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

// slowdown returns the factor on the service times of service s at a time.
func (t *Trace) slowdown(s int, at time.Duration) float64 {
	factor := 1.0
	for _, f := range t.faults {
		if f.kind == slowService && f.service == s && f.active(at) {
			factor *= f.factor
		}
	}
	return factor
}

// isCut reports whether data centre d is cut off from the others at a time.
func (t *Trace) isCut(d int, at time.Duration) bool {
	for _, f := range t.faults {
		if f.kind == cutDataCentre && f.dataCentre == d && f.active(at) {
			return true
		}
	}
	return false
}

// linked reports whether data centres a and b can reach each other at a time.
func (t *Trace) linked(a, b int, at time.Duration) bool {
	return a == b || !t.isCut(a, at) && !t.isCut(b, at)
}

// dataCentreOf returns the index of the data centre of worker w of a service.
// Workers are assigned to the data centres round-robin.
func (t *Trace) dataCentreOf(w int) int { return w % len(t.dataCentres) }
