package dogreplay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/process/dogpressure"
	"dogwoodford/core/request/dogroute"
)

// fixedQueue is the number of places in a queue of the Fixed baseline.
const fixedQueue = 1000

// node is a worker: a fake target with the decisions beside it.
type node struct {
	s       *sim
	name    string
	service int
	index   int // Among the workers of the service.
	number  int // Among all nodes.
	dc      int

	// The fake target.
	up       bool
	draining bool
	started  time.Duration // Of the last start within the run; zero if none.
	busy     int
	jobs     []*job // In progress, in no particular order.
	waiting  []*job // Inside the target, beyond its slots.

	// The decisions; nil under the baselines.
	adm     dogwoodford.Admission
	router  dogwoodford.Router
	table   *dogpressure.Table
	pending map[string]*incoming
	ticking bool
	tokens  float64 // Resend budget.
}

// job is one request inside a fake target.
type job struct {
	r        *request
	deadline time.Duration // Zero: the target is not told.
	run      *call
	index    int
	child    func(c *call, done func(ok bool))
	done     func(jobEnd)
	waited   time.Duration // Time in child calls.
	ended    bool
}

// jobEnd says how a job ended.
type jobEnd int

const (
	answered jobEnd = iota // Whole answer.
	failed                 // An answer that says failure.
	lost                   // No answer: the target died.
	refused                // Not run.
)

func newNode(s *sim, service, worker int) *node {
	svc := s.t.services[service]
	n := &node{
		s: s, name: fmt.Sprintf("%s-%d", svc.name, worker),
		service: service, index: worker, dc: s.t.home(worker), up: true,
	}
	if s.policy != Ours {
		return n
	}
	seed := s.choices.Uint64()
	source := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, k)) }
	n.adm = dogadmit.New(dogadmit.Options{Slots: svc.announced, Rand: source(1)})
	n.router = dogroute.New(dogroute.Options{DataCentre: s.t.dataCentres[n.dc], Rand: source(2)})
	n.table = dogpressure.New(dogpressure.Options{Rand: source(3)})
	n.pending = make(map[string]*incoming)
	n.tokens = s.t.clients.resendBurst
	return n
}

// enter gives a job to the target. Jobs beyond the slots wait inside, in order
// of arrival.
func (n *node) enter(j *job) {
	if n.busy >= n.s.t.services[n.service].slots {
		if n.s.policy == Fixed && len(n.waiting) >= fixedQueue {
			j.done(refused)
			return
		}
		n.waiting = append(n.waiting, j)
		return
	}
	n.start(j)
}

func (n *node) start(j *job) {
	n.busy++
	j.index = len(n.jobs)
	n.jobs = append(n.jobs, j)
	d, cut := n.draw(), false
	if j.deadline > 0 && n.s.now+d > j.deadline {
		d, cut = max(0, j.deadline-n.s.now), true
	}
	n.s.after(d, func() {
		if j.ended {
			return
		}
		j.r.spent += d
		if cut {
			n.leave(j, failed)
			return
		}
		n.children(j, j.run.children)
	})
}

// children runs the child calls in order and then ends the job.
func (n *node) children(j *job, rest []*call) {
	if len(rest) == 0 {
		n.leave(j, answered)
		return
	}
	begin := n.s.now
	j.child(rest[0], func(ok bool) {
		j.waited += n.s.now - begin
		switch {
		case j.ended:
		case !ok:
			n.leave(j, failed)
		default:
			n.children(j, rest[1:])
		}
	})
}

// leave ends a job and starts the next one that waits inside.
func (n *node) leave(j *job, end jobEnd) {
	j.ended = true
	n.busy--
	last := n.jobs[len(n.jobs)-1]
	n.jobs[j.index], last.index = last, j.index
	n.jobs = n.jobs[:len(n.jobs)-1]
	if len(n.waiting) > 0 {
		next := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.start(next)
	}
	j.done(end)
}

// draw returns a service time: log-normal, scaled by slowness and cold start.
func (n *node) draw() time.Duration {
	svc := n.s.t.services[n.service]
	x := 1.0
	if svc.spread > 0 {
		variance := math.Log(1 + svc.spread*svc.spread)
		x = math.Exp(n.s.services.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	x *= n.s.t.slowness(n.service, n.s.now)
	if age := n.s.now - n.started; n.started > 0 && age < svc.cold {
		warm := float64(age) / float64(svc.cold)
		x *= svc.coldFactor + (1-svc.coldFactor)*warm
	}
	return time.Duration(x * float64(svc.mean))
}

// crash kills the target with all that it holds.
func (n *node) crash() {
	n.up = false
	all := append(append([]*job(nil), n.jobs...), n.waiting...)
	n.jobs, n.waiting, n.busy = nil, nil, 0
	for _, j := range all {
		j.ended = true
	}
	for _, j := range all {
		j.done(lost)
	}
}

// scheduleFaults schedules what the trace does not express as a function of
// time.
func (s *sim) scheduleFaults() {
	for _, f := range s.t.faults {
		switch f.kind {
		case cutDataCentre:
			s.scheduleCut(f)
		case drainWorkers:
			for _, n := range s.byService[f.service][:f.workers] {
				s.scheduleDrain(f, n)
			}
		case crashWorker:
			s.scheduleCrash(f, s.byService[f.service][f.workers])
		}
	}
}

func (s *sim) scheduleCut(f fault) {
	across := func(state dogwoodford.State) {
		for _, n := range s.nodes {
			if n.up && !n.draining {
				s.setState(n, state, func(d int) bool { return (n.dc == f.dataCentre) != (d == f.dataCentre) })
			}
		}
	}
	if f.length > failureDelay {
		s.after(f.at+failureDelay, func() { across(dogwoodford.Failed) })
		s.after(f.at+f.length+gossipDelay, func() { across(dogwoodford.Ready) })
	}
}

func (s *sim) scheduleDrain(f fault, n *node) {
	s.after(f.at, func() { n.draining = true })
	s.after(f.at+gossipDelay, func() { s.setState(n, dogwoodford.Draining, everywhere) })
	s.scheduleReturn(f, n)
}

func (s *sim) scheduleCrash(f fault, n *node) {
	s.after(f.at, n.crash)
	s.after(f.at+gossipDelay, func() { s.setState(n, dogwoodford.Failed, everywhere) })
	s.scheduleReturn(f, n)
}

// scheduleReturn starts a target again after a fault of at least the time in
// which its end is known.
func (s *sim) scheduleReturn(f fault, n *node) {
	back := f.at + max(f.length, 2*gossipDelay)
	s.after(back, func() {
		n.up, n.draining, n.started = true, false, s.now
	})
	s.after(back+gossipDelay, func() { s.returned(n) })
}
