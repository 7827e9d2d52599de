package dogreplay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Policy is the overload control that the nodes use in a run.
type Policy int

const (
	// Ours uses the decision logic of production: dogadmit, dogpressure and
	// dogroute.
	Ours Policy = iota
	// None has no overload control: unbounded FIFO queues and up to three tries
	// per hop.
	None
	// Fixed has fixed concurrency limits with FIFO queues of 1,000 places and up
	// to three tries per hop.
	Fixed
	// Paced is Ours with the options of the sidecar: targets that start take a
	// growing share, and targets are compared by expected completion.
	Paced
)

// ParsePolicy parses the name of a policy: ours, none, fixed or paced.
func ParsePolicy(s string) (Policy, error) {
	for _, p := range []Policy{Ours, None, Fixed, Paced} {
		if p.String() == s {
			return p, nil
		}
	}
	return 0, errorf("unknown policy %q: want ours, none, fixed or paced", s)
}

// String returns the name of the policy.
func (p Policy) String() string { return [...]string{"ours", "none", "fixed", "paced"}[p] }

// decides reports whether the nodes use the decision logic of production.
func (p Policy) decides() bool { return p == Ours || p == Paced }

// Delays until membership changes reach the other nodes (docs/design.md, 5.6),
// and until a connection reports that a data centre is cut off.
const (
	gossipDelay     = time.Second     // Drain, crash and restart of a target.
	failureDelay    = 5 * time.Second // A node that does not answer: a probe and the suspicion time.
	linkLossTimeout = 300 * time.Millisecond
)

// tail is the time that a run continues after the last arrival, so that requests
// in progress can end.
const tail = 10 * time.Second

// epoch is the wall-clock time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to call at a simulated time.
type event struct {
	at  time.Duration
	seq uint64 // Orders events with the same time.
	run func()
}

// events is a heap of events, ordered by time and then by seq.
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

// sim is the state of one run.
type sim struct {
	t      *Trace
	policy Policy
	now    time.Duration
	seq    uint64
	events events

	// Separate random sources, so that the arrivals are the same under every
	// policy.
	arrivals, services, choices *rand.Rand

	nodes     []*node
	byService [][]*node
	// views holds, by data centre, the state of all targets as the nodes there
	// see it, in the order of nodes.
	views [][]dogwoodford.Target

	requests []*request // All customer requests, without their resends.
	attempts int        // Dispatches to targets.
	ids      int
}

// request is a customer request with its resends.
type request struct {
	class   int
	arrived time.Duration
	tries   int
	root    string
	content uint64
	ok      bool
	endedAt time.Duration // Time of the answer, if ok.
	ended   bool
	spent   time.Duration // Service time over all targets and attempts.
}

// Run replays a trace under a policy. The result depends only on the arguments.
// Runs of the same trace may be concurrent.
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
				State: dogwoodford.StateReady, Slots: svc.announced,
				ReadySince: epoch.Add(-time.Hour), LastSeen: epoch,
			}
			for d := range s.views {
				s.views[d] = append(s.views[d], target)
			}
		}
	}
}

// arrive schedules the next request of class c. Arrivals are a Poisson process
// whose rate changes in steps. The interarrival times are memoryless, so if one
// extends past a change of rate, another is drawn at that time.
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

// send calls onDelivery after the delay of the link between two data centres. If
// the link is cut, it calls onLost instead, after linkLossTimeout or at the
// deadline, whichever is earlier.
func (s *sim) send(from, to int, deadline time.Duration, onDelivery, onLost func()) {
	if !s.t.linked(from, to, s.now) {
		s.after(max(0, min(linkLossTimeout, deadline-s.now)), onLost)
		return
	}
	d := s.t.local
	if from != to {
		d = s.t.between
	}
	s.after(d, onDelivery)
}

// entry returns a random node, to which a client sends its next try.
func (s *sim) entry() *node { return s.nodes[s.choices.IntN(len(s.nodes))] }

// setState sets the state of a target, as seen now, in the views of the data
// centres for which in returns true.
func (s *sim) setState(n *node, state dogwoodford.State, in func(d int) bool) {
	for d := range s.views {
		if in(d) {
			t := &s.views[d][n.number]
			t.State, t.LastSeen = state, s.time()
		}
	}
}

// markRestarted marks a restarted target as ready from now on in all views.
func (s *sim) markRestarted(n *node) {
	for d := range s.views {
		t := &s.views[d][n.number]
		t.State, t.LastSeen, t.ReadySince = dogwoodford.StateReady, s.time(), s.time()
	}
}

func allDataCentres(int) bool { return true }
