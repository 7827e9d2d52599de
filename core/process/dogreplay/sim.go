package dogreplay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Policy says how the nodes of a run decide.
type Policy int

const (
	// Ours runs the decision packages.
	Ours Policy = iota
	// None has no control: unbounded FIFO queues and three tries a hop.
	None
	// Fixed has fixed concurrency limits with FIFO queues of 1,000 places and
	// three tries a hop.
	Fixed
)

// ParsePolicy parses the name of a policy.
func ParsePolicy(s string) (Policy, error) {
	for _, p := range []Policy{Ours, None, Fixed} {
		if p.String() == s {
			return p, nil
		}
	}
	return 0, bad("%q is none of ours, none, fixed", s)
}

// String returns the name of the policy.
func (p Policy) String() string { return [...]string{"ours", "none", "fixed"}[p] }

// Delays with which changes of membership reach other nodes (docs/design.md,
// 5.6), and connections report that a data centre is cut off.
const (
	gossipDelay  = time.Second     // Drain, death and return of a target.
	failureDelay = 5 * time.Second // A node that does not answer: a probe and the suspicion time.
	lostAfter    = 300 * time.Millisecond
)

// tail is the time after the last arrival in which requests may still end.
const tail = 10 * time.Second

// epoch is the time of the start of every run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to call at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // Keeps the order of events of one time.
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// sim is one run.
type sim struct {
	t      *Trace
	policy Policy
	now    time.Duration
	seq    uint64
	events events

	// Separate sources keep the arrivals the same under every policy.
	arrivals, services, choices *rand.Rand

	nodes     []*node
	byService [][]*node
	// views holds all targets as the nodes of a data centre see them, in the
	// order of nodes.
	views [][]dogwoodford.Target

	requests []*request // Every customer request.
	attempts int        // Dispatches to targets.
	ids      int
}

// request is one customer request with its resends.
type request struct {
	class   int
	arrived time.Duration
	tries   int
	root    string
	content uint64
	ok      bool
	ended   bool
	spent   time.Duration // Service time at all targets.
}

// Run replays a trace under a policy.
func Run(t *Trace, p Policy, seed uint64) *Result {
	s := newSim(t, p, seed)
	s.runUntil(t.length + tail)
	return s.result(seed)
}

func newSim(t *Trace, p Policy, seed uint64) *sim {
	s := &sim{
		t: t, policy: p,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		services: rand.New(rand.NewPCG(seed, 2)),
		choices:  rand.New(rand.NewPCG(seed, 3)),
	}
	s.build()
	for c := range t.classes {
		s.arrive(c)
	}
	s.scheduleFaults()
	return s
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) id() string {
	s.ids++
	return fmt.Sprintf("r%d", s.ids)
}

func (s *sim) build() {
	t := s.t
	s.views = make([][]dogwoodford.Target, len(t.dataCentres))
	s.byService = make([][]*node, len(t.services))
	for i, svc := range t.services {
		for w := range svc.workers {
			n := newNode(s, i, w)
			n.number = len(s.nodes)
			s.nodes = append(s.nodes, n)
			s.byService[i] = append(s.byService[i], n)
			target := dogwoodford.Target{
				Node: n.name, Service: svc.name, DataCentre: t.dataCentres[n.dc],
				State: dogwoodford.Ready, Slots: svc.announced,
				ReadySince: epoch.Add(-time.Hour), LastSeen: epoch,
			}
			for d := range s.views {
				s.views[d] = append(s.views[d], target)
			}
		}
	}
}

// arrive schedules the next request of a class. Within a constant rate the
// gaps are exponential, so a draw that crosses a change of rate starts again
// there.
func (s *sim) arrive(c int) {
	rate, next := s.t.rate(c, s.now)
	gap := time.Duration(math.MaxInt64)
	if rate > 0 {
		gap = time.Duration(s.arrivals.ExpFloat64() / rate * float64(time.Second))
	}
	if gap >= next-s.now {
		if next < s.t.length {
			s.after(next-s.now, func() { s.arrive(c) })
		}
		return
	}
	s.after(gap, func() {
		r := &request{class: c, arrived: s.now, root: s.id(), content: s.arrivals.Uint64()}
		if n := s.t.classes[c].contents; n > 0 {
			r.content = r.content % uint64(n) << 8
		}
		s.requests = append(s.requests, r)
		s.try(r)
		s.arrive(c)
	})
}

// send delivers a message between data centres. If the link is cut, lost runs
// after the time in which a connection notices, but not after the deadline.
func (s *sim) send(from, to int, deadline time.Duration, deliver, lost func()) {
	if !s.t.linked(from, to, s.now) {
		s.after(max(0, min(lostAfter, deadline-s.now)), lost)
		return
	}
	d := s.t.local
	if from != to {
		d = s.t.between
	}
	s.after(d, deliver)
}

// entry returns the node that a client sends its next try to.
func (s *sim) entry() *node { return s.nodes[s.choices.IntN(len(s.nodes))] }

// setState changes a target in the views of the data centres for which in is
// true.
func (s *sim) setState(n *node, state dogwoodford.State, in func(d int) bool) {
	for d := range s.views {
		if in(d) {
			t := &s.views[d][n.number]
			t.State, t.LastSeen = state, s.time()
		}
	}
}

// returned shows a restarted target as new to all nodes.
func (s *sim) returned(n *node) {
	for d := range s.views {
		t := &s.views[d][n.number]
		t.State, t.LastSeen, t.ReadySince = dogwoodford.Ready, s.time(), s.time()
	}
}

func everywhere(int) bool { return true }
