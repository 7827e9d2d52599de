package dogrange

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogrecord"
)

// The simulation steps the nodes of one service against a fake object service and
// checks that no key runs twice, that no attempt runs after its caller was told
// "not run", and that windows of successive epochs do not overlap. Unless
// sim.steady is set it drives range 0 only; the other ranges never become due.

const (
	simNodes = 4
	simMs    = 45_000
	simEpoch = int64(1_750_000_000_000)
)

type simNode struct {
	id, inc                int
	peer                   string
	up                     bool
	pausedUntil, downSince int64
	skew, maxSkew          int64 // Error of its clock in milliseconds, present and largest.
	rs                     *Ranges
	table                  *Table
	recs                   *dogrecord.Records
}

type sim struct {
	t             int64
	slots         [][]func() // Ring of functions to run, by millisecond.
	bytes         []byte     // First choices of the schedule; later ones come from rnd.
	rnd           *rand.Rand
	steady        bool // Delays are even, nothing is lost, and all ranges are driven.
	broken        brokenRules
	skip          string // Duty of the shell that is omitted.
	nodes         [simNodes]*simNode
	objs          map[string]dogwoodford.Object
	downUntil     int64
	cutUntil      [simNodes][simNodes]int64
	starts, ends  map[int64]int64 // Windows by epoch: start as written, end as its owner believes.
	ran, notRun   map[dogwoodford.Key]int
	violation     string
	runs, refused int
	retention     time.Duration // Of the records.
	reads, writes int           // Of the platform.
}

// draw returns a number below n that decides about delays and losses.
func (s *sim) draw(n int) int {
	if s.steady {
		return n / 2
	}
	return s.rnd.IntN(n)
}

// pick returns a number below n that decides about faults.
func (s *sim) pick(n int) int {
	if len(s.bytes) > 0 {
		b := s.bytes[0]
		s.bytes = s.bytes[1:]
		return int(b) * n / 256
	}
	return s.rnd.IntN(n)
}

// rarely returns ms in one of n draws on average, otherwise 0.
func (s *sim) rarely(n, ms int) int { return ms * (s.draw(n) / (n - 1)) }

// after runs f in d milliseconds.
func (s *sim) after(d int, f func()) {
	if d >= len(s.slots) {
		panic("delay longer than the ring of slots")
	}
	i := (s.t + int64(max(d, 1))) % int64(len(s.slots))
	s.slots[i] = append(s.slots[i], f)
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %d ms: ", s.t) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) clock(n *simNode) time.Time  { return time.UnixMilli(simEpoch + s.t + n.skew) }
func (n *simNode) name() string            { return fmt.Sprint("n", n.id) }
func (s *sim) byName(node string) *simNode { return s.nodes[node[1]-'0'] }

// schedule runs f in the present process of n in d milliseconds, or after the end
// of a pause that lasts longer. f does not run if that process has ended.
func (s *sim) schedule(n *simNode, d int, f func()) {
	inc := n.inc
	s.after(d, func() {
		switch {
		case !n.up || n.inc != inc:
		case n.pausedUntil > s.t:
			s.schedule(n, int(n.pausedUntil-s.t)+s.draw(20), f)
		default:
			f()
		}
	})
}

// start starts a process of n. Its clock is not behind that of the previous
// process, because a restart on the same address relies on that.
func (s *sim) start(n *simNode, peer string) {
	n.inc, n.peer, n.up, n.pausedUntil, n.skew = n.inc+1, peer, true, 0, n.maxSkew
	n.rs = New(Config{
		Node: n.name(), Incarnation: uint64(n.inc), Service: "s", DataCentre: fmt.Sprint(n.id % 2), Peer: peer,
	}, rand.New(rand.NewPCG(uint64(n.id), uint64(n.inc))))
	n.rs.broken = s.broken
	for i := 1; i < len(n.rs.ranges) && !s.steady; i++ {
		n.rs.ranges[i].due = maxKeyMs
	}
	n.table, n.recs = n.rs.Table(), dogrecord.New(dogrecord.Options{Shards: 1, Retention: s.retention})
	var tick func()
	tick = func() {
		s.event(n, Tick{})
		if s.t%1000 < 250 {
			s.event(n, Members{Members: s.view(n)})
		}
		s.schedule(n, 250, tick)
	}
	s.schedule(n, s.draw(250), tick)
}

func (s *sim) reachable(a, b *simNode) bool { return a.up && b.up && s.cutUntil[a.id][b.id] <= s.t }

// view returns the membership as seen by n. Nodes that were unreachable for a
// while are listed as failed, and now and then a healthy node is as well.
func (s *sim) view(n *simNode) (out []Member) {
	for _, o := range s.nodes {
		m := Member{Node: o.name(), Incarnation: uint64(o.inc), Service: "s", DataCentre: fmt.Sprint(o.id % 2), Peer: o.peer, State: dogwoodford.StateReady}
		cut := s.cutUntil[n.id][o.id] > s.t+1000 || !o.up && s.t-o.downSince > 4000 || o.pausedUntil > s.t+1000
		if o != n && (cut || s.draw(40) == 0) {
			m.State = dogwoodford.StateFailed
		}
		out = append(out, m)
	}
	return out
}

func (s *sim) event(n *simNode, ev Event) {
	for _, a := range n.rs.OnEvent(s.clock(n), ev) {
		s.perform(n, a)
	}
	for _, sp := range n.rs.ranges[0].windows {
		s.ends[sp.epoch] = sp.end
	}
	for e, end := range s.ends {
		for later, start := range s.starts {
			if later > e && start < end {
				s.fail("window of epoch %d ends %d ms after the start of epoch %d", e, end-start, later)
			}
		}
	}
}

func (s *sim) perform(n *simNode, a Action) {
	reply := func(d int, ev Event) { s.schedule(n, d, func() { s.event(n, ev) }) }
	switch a := a.(type) {
	case Publish:
		n.table = a.Table
	case ReadObject:
		s.get(a, reply)
	case WriteObject:
		s.put(a, reply)
	case AskPromise:
		s.promise(n, a, reply)
	case CapWindow:
		end := a.At
		if s.skip != "cap" {
			end = n.recs.Cap(a.Number, a.Epoch, end)
		}
		reply(s.draw(20), WindowCapped{Number: a.Number, Epoch: a.Epoch, End: end})
	case LiftCap:
		n.recs.LiftCap(a.Number, a.Epoch)
	case SendRecords:
		s.schedule(n, s.draw(1500), func() { s.send(n, a, reply) })
	case Gossip:
		for _, o := range s.nodes {
			if o != n && s.reachable(n, o) && s.draw(4) > 0 {
				s.schedule(o, s.draw(800), func() { s.event(o, a.OwnershipUpdate) })
			}
		}
	}
}

func (s *sim) get(a ReadObject, reply func(int, Event)) {
	s.after(s.draw(30), func() {
		s.reads++
		ev := ObjectRead{Op: a.Op, Object: s.objs[a.Name]}
		if s.downUntil > s.t || s.draw(20) == 0 {
			ev.Err = dogwoodford.ErrUnavailable
		} else if ev.Object.Version == 0 {
			ev.Err = dogwoodford.ErrNotFound
		}
		reply(s.draw(30), ev)
	})
}

// put applies a write at once, late, or never; its answer may be lost.
func (s *sim) put(a WriteObject, reply func(int, Event)) {
	s.after(s.draw(30), func() {
		s.writes++
		ev, delay := ObjectWritten{Op: a.Op, Err: dogwoodford.ErrUnavailable}, s.draw(500)
		if fate := s.draw(16); fate == 0 {
			s.after(s.draw(5000), func() { _ = s.apply(a) })
		} else if err := s.apply(a); fate > 2 {
			ev.Version, ev.Err, delay = s.objs[a.Name].Version, err, s.draw(30)
		}
		reply(delay, ev)
	})
}

func (s *sim) apply(a WriteObject) error {
	if s.downUntil > s.t {
		return dogwoodford.ErrUnavailable
	}
	if s.objs[a.Name].Version != a.Expected {
		return dogwoodford.ErrConflict
	}
	seen := ObjectSeen{Object: dogwoodford.Object{Name: a.Name, Version: a.Expected + 1, Value: a.Value}}
	s.objs[a.Name] = seen.Object
	v, err := ParseValue(a.Value)
	if err != nil {
		s.fail("malformed write: %v", err)
	}
	if a.Name == ObjectName("s", 0) {
		s.starts[v.Epoch] = v.Start
	}
	for _, o := range s.nodes {
		if s.draw(3) > 0 {
			s.schedule(o, s.draw(1500), func() { s.event(o, seen) })
		}
	}
	return nil
}

func (s *sim) promise(n *simNode, a AskPromise, reply func(int, Event)) {
	w := s.byName(a.Promise.Witness)
	if !s.reachable(n, w) || s.draw(10) == 0 {
		reply(1000, PromiseAnswered{Op: a.Op})
		return
	}
	s.schedule(w, s.draw(100)+s.rarely(8, 2000), func() {
		for _, b := range w.rs.OnEvent(s.clock(w), PromiseAsked{Op: a.Op, Promise: a.Promise}) {
			if ans, ok := b.(AnswerPromise); ok {
				reply(s.draw(100)+s.rarely(8, 2000), PromiseAnswered{Op: a.Op, Granted: ans.Granted})
			} else {
				s.perform(w, b)
			}
		}
	})
}

func (s *sim) send(n *simNode, a SendRecords, reply func(int, Event)) {
	if s.skip != "close" {
		n.recs.Close(a.Number, a.Epoch)
	}
	from, records := n.recs.Export(s.clock(n), a.Number, a.Start, a.End)
	if s.skip == "horizon" {
		from = a.Start
	}
	o := s.byName(a.To)
	if !s.reachable(n, o) || uint64(o.inc) != a.Incarnation {
		reply(500, RecordsSent{Op: a.Op})
		return
	}
	s.schedule(o, s.draw(200), func() {
		ok := s.skip == "import" || o.recs.Import(s.clock(o), records)
		s.event(o, RecordsReceived{Number: a.Number, Epoch: a.Epoch, Start: from, End: a.End, Incarnation: a.Incarnation})
		reply(s.draw(200), RecordsSent{Op: a.Op, OK: ok && s.draw(5) > 0})
	})
}

// fault starts one failure, clock step or planned handover.
func (s *sim) fault() {
	n := s.nodes[s.pick(simNodes)]
	soon := func(most int) int64 { return s.t + int64(500+s.pick(most)) }
	switch s.pick(10) {
	case 0, 1:
		n.pausedUntil = soon(10_000)
	case 2:
		n.up, n.downSince = false, s.t
		peer := n.peer
		if s.pick(3) == 0 {
			peer = fmt.Sprint(n.id, "-", s.t)
		}
		s.after(50+s.pick(8000), func() {
			if !n.up {
				s.start(n, peer)
			}
		})
	case 3, 4:
		s.downUntil = max(s.downUntil, soon(12_000))
	case 5:
		o, until := s.pick(simNodes), soon(8000)
		s.cutUntil[n.id][o], s.cutUntil[o][n.id] = until, until
	case 6:
		n.skew = n.maxSkew - int64(s.pick(6000))
	default: // A planned handover by whoever owns the range.
		for _, o := range s.nodes {
			s.schedule(o, 1, func() { s.event(o, HandOver{Number: 0}) })
		}
	}
}

func newSim(seed uint64, schedule []byte, broken brokenRules, skip string) *sim {
	return &sim{
		slots: make([][]func(), 1<<14), bytes: schedule, rnd: rand.New(rand.NewPCG(seed, 1)), broken: broken, skip: skip,
		objs: map[string]dogwoodford.Object{}, starts: map[int64]int64{}, ends: map[int64]int64{}, ran: map[dogwoodford.Key]int{}, notRun: map[dogwoodford.Key]int{},
	}
}

// step runs what falls due at s.t.
func (s *sim) step() {
	due := &s.slots[s.t%int64(len(s.slots))]
	for _, f := range *due {
		f()
	}
	*due = (*due)[:0]
}

// runUntil runs the simulation up to the given time, with faults up to faultsEnd.
// Clocks are then set back to the error that they started with.
func (s *sim) runUntil(faultsEnd, until int64) {
	s.retention = time.Duration(2+s.pick(12)) * time.Second
	for i := range s.nodes {
		s.nodes[i] = &simNode{id: i, maxSkew: int64(s.pick(2000)) - 1000}
		s.start(s.nodes[i], fmt.Sprint("p", i))
	}
	pace, next := 400+s.pick(4000), int64(3000)
	for ; s.t < until && s.violation == ""; s.t++ {
		if s.step(); s.t%100 == 0 {
			s.client()
		}
		if s.t >= next && s.t < faultsEnd {
			s.fault()
			next = s.t + 1 + int64(s.pick(2*pace))
		}
		if s.t == faultsEnd {
			s.steady = true
			for _, n := range s.nodes {
				n.skew = n.maxSkew
			}
		}
	}
}

// simulate runs one schedule.
func simulate(seed uint64, schedule []byte, broken brokenRules, skip string) *sim {
	s := newSim(seed, schedule, broken, skip)
	s.runUntil(simMs, simMs)
	return s
}
