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

// fixedQueueLength is the capacity of the queue of a target under Fixed.
const fixedQueueLength = 1000

// node is a worker: a simulated target with the decision logic of its node.
type node struct {
	s       *sim
	name    string
	service int
	index   int // Index among the workers of the service.
	number  int // Index among all nodes.
	dc      int

	// The simulated target.
	up       bool
	draining bool
	started  time.Duration // Time of the last restart within the run; zero if none.
	busy     int
	speed    func() float64 // Factor of the service time; nil for 1.
	jobs     []*job         // In progress, in no particular order.
	waiting  []*job         // Queued in the target because its slots are busy.

	// The decision logic; unset under the baselines.
	adm             dogwoodford.Admission
	router          dogwoodford.Router
	table           *dogpressure.Table
	pending         map[string]*incoming
	expireScheduled bool
	tokens          float64 // Tokens in the resend budget.
}

// job is one request in a simulated target.
type job struct {
	r         *request
	deadline  time.Duration // Zero if the target does not know it.
	call      *callTree
	index     int // In node.jobs.
	child     func(c *callTree, done func(ok bool))
	done      func(jobEnd)
	childTime time.Duration // Time in child calls.
	ended     bool
}

// jobEnd is the way in which a job, a try or a call ended.
type jobEnd int

const (
	answered jobEnd = iota // Complete response.
	failed                 // Response that reports a failure.
	lost                   // No response: the target crashed, the link was cut or the try timed out.
	refused                // Did not run.
)

func newNode(s *sim, service, worker int) *node {
	svc := s.t.services[service]
	n := &node{
		s: s, name: fmt.Sprintf("%s-%d", svc.name, worker),
		service: service, index: worker, dc: s.t.dataCentreOf(worker), up: true,
	}
	if !s.policy.decides() {
		return n
	}
	seed := s.choices.Uint64()
	source := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, k)) }
	n.adm = dogadmit.New(dogadmit.Options{Slots: svc.announced, Rand: source(1), Ramp: s.policy == Paced})
	n.router = dogroute.New(dogroute.Options{
		DataCentre: s.t.dataCentres[n.dc], Rand: source(2), ByCompletion: s.policy == Paced,
	})
	n.table = dogpressure.New(dogpressure.Options{Rand: source(3)})
	n.pending = make(map[string]*incoming)
	n.tokens = s.t.clients.resendBurst
	return n
}

// submit passes a job to the target. If all slots are busy, the job waits in the
// FIFO queue of the target; under Fixed it is refused if the queue is full.
func (n *node) submit(j *job) {
	if n.busy >= n.s.t.services[n.service].slots {
		if n.s.policy == Fixed && len(n.waiting) >= fixedQueueLength {
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
	d, pastDeadline := n.drawServiceTime(), false
	if j.deadline > 0 && n.s.now+d > j.deadline {
		d, pastDeadline = max(0, j.deadline-n.s.now), true
	}
	n.s.after(d, func() {
		if j.ended {
			return
		}
		j.r.spent += d
		if pastDeadline {
			n.finish(j, failed)
			return
		}
		n.children(j, j.call.children)
	})
}

// children makes the child calls of a job one after the other and then ends the
// job. The first child call that fails ends it as failed.
func (n *node) children(j *job, rest []*callTree) {
	if len(rest) == 0 {
		n.finish(j, answered)
		return
	}
	begin := n.s.now
	j.child(rest[0], func(ok bool) {
		j.childTime += n.s.now - begin
		switch {
		case j.ended:
		case !ok:
			n.finish(j, failed)
		default:
			n.children(j, rest[1:])
		}
	})
}

// finish ends a job and starts the next one in the queue of the target.
func (n *node) finish(j *job, end jobEnd) {
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

// drawServiceTime draws a log-normal service time, scaled by the slowdown of the
// service and by the cold start.
func (n *node) drawServiceTime() time.Duration {
	svc := n.s.t.services[n.service]
	x := 1.0
	if svc.spread > 0 {
		variance := math.Log(1 + svc.spread*svc.spread)
		x = math.Exp(n.s.services.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	x *= n.s.t.slowdown(n.service, n.s.now)
	if age := n.s.now - n.started; n.started > 0 && age < svc.cold {
		warm := float64(age) / float64(svc.cold)
		x *= svc.coldFactor + (1-svc.coldFactor)*warm
	}
	if n.speed != nil {
		x *= n.speed()
	}
	return time.Duration(x * float64(svc.mean))
}

// crash stops the target. All its jobs, running and queued, end as lost.
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

// scheduleFaults schedules the events of cuts, drains and crashes. The other
// faults are evaluated as functions of time by the methods of Trace.
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
	setStates := func(state dogwoodford.State) {
		for _, n := range s.nodes {
			if n.up && !n.draining {
				s.setState(n, state, func(d int) bool { return (n.dc == f.dataCentre) != (d == f.dataCentre) })
			}
		}
	}
	if f.length > failureDelay {
		s.after(f.at+failureDelay, func() { setStates(dogwoodford.StateFailed) })
		s.after(f.at+f.length+gossipDelay, func() { setStates(dogwoodford.StateReady) })
	}
}

func (s *sim) scheduleDrain(f fault, n *node) {
	s.after(f.at, func() { n.draining = true })
	s.after(f.at+gossipDelay, func() { s.setState(n, dogwoodford.StateDraining, allDataCentres) })
	s.scheduleRestart(f, n)
}

func (s *sim) scheduleCrash(f fault, n *node) {
	s.after(f.at, n.crash)
	s.after(f.at+gossipDelay, func() { s.setState(n, dogwoodford.StateFailed, allDataCentres) })
	s.scheduleRestart(f, n)
}

// start describes the start of a target, which is alone if all others of its
// service are down or have started a short time ago.
func (s *sim) start(n *node) dogwoodford.Start {
	st := dogwoodford.Start{Fresh: true, Alone: true}
	for _, other := range s.byService[n.service] {
		running := other.up && !other.draining && (other.started == 0 || s.now-other.started > aloneWindow)
		if other != n && running {
			st.Alone = false
		}
	}
	return st
}

// aloneWindow is the time after the start of a target in which it does not count
// as one that could take the place of another.
const aloneWindow = 5 * time.Second

// scheduleRestart schedules the restart of a target after a fault. The fault lasts
// at least two gossip delays, the time in which the other nodes learn of its end.
func (s *sim) scheduleRestart(f fault, n *node) {
	restartAt := f.at + max(f.length, 2*gossipDelay)
	s.after(restartAt, func() {
		n.up, n.draining, n.started = true, false, s.now
		if n.adm != nil {
			n.adm.Restart(s.time(), s.start(n))
		}
	})
	s.after(restartAt+gossipDelay, func() { s.markRestarted(n) })
}
