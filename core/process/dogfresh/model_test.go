package dogfresh

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The model is a store and a few nodes with random faults. Each version of the
// configuration removes one key: a request with the key of version v is permitted until
// version v+1 is in force. Nodes hold the tracker under test and carry out what the process
// does around it.

const (
	modelNodes  = 4
	modelTime   = 60 * time.Second
	modelRevoke = 5 * time.Second
)

var modelSeeds = flag.Uint64("model-seeds", 300, "number of seeds of TestModel")

// mutation is a fault in the process around the tracker that the search must find.
type mutation int

const (
	noMutation       mutation = iota
	momentOfAnswer            // The moment after an answer counts, not that before its question.
	agesIgnored               // Another node's answer counts as if its age were 0.
	agesInRequests            // The age in a question counts as one in an answer.
	monotonicClock            // Suspensions are not counted.
	wallClock                 // The wall clock is read, which may be stepped.
	anyVersion                // An answer renews the version in force, whatever its own.
	currentVersion            // A request is judged by the version in force, not by its table's.
	unknownAgeIsZero          // A pulled configuration counts as fresh.
	mutations
)

// model runs one seed.
type model struct {
	rng      *rand.Rand
	mutation mutation
	now      time.Duration // True time.
	events   eventQueue
	sequence int

	version int64                   // Newest version in the store.
	acked   map[int64]time.Duration // When versions were acknowledged.
	away    time.Duration           // The whole store is away until then.
	nodes   []*modelNode

	accepted, refused int
	violation         string
}

type modelNode struct {
	boot      time.Duration // Offset of the node's clock.
	suspended time.Duration // Until this time.
	stepped   time.Duration // Steps of the wall clock.
	lost      time.Duration // Time spent suspended, which a monotonic clock does not count.
	cut       time.Duration // No path to the store until then.
	isolated  time.Duration // No path to other nodes until then.
	process   int           // Number of the process; answers to earlier ones are lost.
	inForce   int64
	tracker   *Tracker
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, do: do})
}

// onNode runs do at a node after d, and after its suspension if it is suspended then. It is
// dropped if the process has ended.
func (m *model) onNode(n *modelNode, d time.Duration, do func()) {
	process := n.process
	m.after(d, func() {
		switch {
		case n.process != process:
		case m.now < n.suspended:
			m.onNode(n, n.suspended-m.now, do)
		default:
			do()
		}
	})
}

// delay returns a random delay: short, and now and then long.
func (m *model) delay() time.Duration {
	if m.rng.IntN(6) == 0 {
		return time.Duration(m.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(m.rng.Int64N(int64(40 * time.Millisecond)))
}

func (m *model) chance(percent int) bool { return m.rng.IntN(100) < percent }

// clock returns the reading of a node's clock.
func (m *model) clock(n *modelNode) time.Duration {
	switch m.mutation {
	case monotonicClock:
		return n.boot + m.now - n.lost
	case wallClock:
		return n.boot + m.now + n.stepped
	}
	return n.boot + m.now
}

func (m *model) run() {
	for i := range modelNodes {
		n := &modelNode{boot: time.Duration(i+1) * time.Hour}
		m.nodes = append(m.nodes, n)
		m.restart(n)
	}
	m.write()
	for m.events.Len() > 0 && m.now < modelTime {
		e, ok := heap.Pop(&m.events).(event)
		if !ok {
			return
		}
		m.now = e.at
		e.do()
	}
}

// write makes a new version, and acknowledges it later.
func (m *model) write() {
	m.version++
	v := m.version
	m.after(m.delay(), func() { m.acked[v] = m.now })
	m.after(time.Duration(m.rng.Int64N(int64(15*time.Second))), m.write)
}

// restart begins a new process of a node.
func (m *model) restart(n *modelNode) {
	n.process++
	n.inForce, n.tracker = 0, New(Options{Lifetime: modelRevoke - 250*time.Millisecond, Rand: m.rng})
	m.onNode(n, 0, func() { m.follow(n) })
	m.onNode(n, 0, func() { m.request(n) })
	m.after(time.Duration(m.rng.Int64N(int64(8*time.Second))), func() { m.disturb(n, n.process) })
}

// follow asks what the tracker wants, and now and then more.
func (m *model) follow(n *modelNode) {
	a := n.tracker.Next(m.clock(n), modelNodes)
	if a.Store || m.chance(40) {
		m.askStore(n)
	}
	for range a.Peers {
		m.askPeer(n)
	}
	if m.chance(30) {
		m.askPeer(n)
	}
	m.onNode(n, min(a.Wait, time.Second), func() { m.follow(n) })
}

// disturb causes one fault at a node.
func (m *model) disturb(n *modelNode, process int) {
	if n.process != process {
		return
	}
	long := time.Duration(m.rng.Int64N(int64(12 * time.Second)))
	switch m.rng.IntN(7) {
	case 0:
		m.restart(n)
		return
	case 1:
		m.suspend(n, long)
	case 2:
		n.cut = m.now + long
	case 3:
		n.isolated = m.now + long
	case 4:
		n.cut, n.isolated = m.now+long, m.now+long
	case 5:
		m.away = m.now + long/2
	case 6:
		n.stepped += long - 6*time.Second
	}
	m.after(time.Duration(m.rng.Int64N(int64(15*time.Second))), func() { m.disturb(n, process) })
}

func (m *model) suspend(n *modelNode, d time.Duration) {
	until := max(n.suspended, m.now+d)
	n.lost += until - max(n.suspended, m.now)
	n.suspended = until
}

// askStore sends a list or a watch to the store. Its answer may be delayed, lost or
// duplicated.
func (m *model) askStore(n *modelNode) {
	asked := m.clock(n)
	m.after(m.delay(), func() {
		if m.now < n.cut || m.now < m.away {
			return
		}
		v := m.version
		for range 1 + m.rng.IntN(2) {
			m.onNode(n, m.delay(), func() { m.storeAnswered(n, v, asked) })
		}
	})
}

func (m *model) storeAnswered(n *modelNode, v int64, asked time.Duration) {
	moment := asked
	if m.mutation == momentOfAnswer {
		moment = m.clock(n)
	}
	m.observe(n, v, moment)
	m.adopt(n, v)
}

func (m *model) observe(n *modelNode, v int64, moment time.Duration) {
	if m.mutation == anyVersion {
		v = n.inForce
	}
	n.tracker.Observe(v, moment)
}

// adopt puts a version in force, in the order of the process.
func (m *model) adopt(n *modelNode, v int64) {
	if v <= n.inForce {
		return
	}
	n.tracker.Adopt(v)
	if m.mutation == unknownAgeIsZero {
		n.tracker.Observe(v, m.clock(n))
	}
	n.inForce = v
}

// askPeer asks another node, and pulls its configuration if that is newer.
func (m *model) askPeer(n *modelNode) {
	peer := m.nodes[m.rng.IntN(len(m.nodes))]
	if peer == n {
		return
	}
	asked := m.clock(n)
	version, age, known := n.tracker.Age(asked)
	m.onNode(peer, m.delay(), func() {
		if m.now < n.isolated || m.now < peer.isolated {
			return
		}
		if m.mutation == agesInRequests && known {
			peer.tracker.Observe(version, m.clock(peer)-age)
		}
		v, age, ok := peer.tracker.Age(m.clock(peer))
		if m.chance(5) {
			m.suspend(peer, m.delay()) // Between the reading of the clock and the answer.
		}
		for range 1 + m.rng.IntN(2) {
			m.onNode(n, m.delay(), func() { m.peerAnswered(n, v, age, ok, asked) })
		}
	})
}

// peerAnswered takes an answer of another node, whose configuration comes with it or later.
func (m *model) peerAnswered(n *modelNode, v int64, age time.Duration, ok bool, asked time.Duration) {
	if m.mutation == agesIgnored {
		age = 0
	}
	if ok {
		m.observe(n, v, asked-age)
	}
	if m.chance(50) {
		m.adopt(n, v)
		return
	}
	m.onNode(n, m.delay(), func() { m.adopt(n, v) })
}

// request sends a request with the key that the next version removes, and checks whether
// the node may accept it. Time may pass between the choice of the table and the check of
// the key.
func (m *model) request(n *modelNode) {
	m.onNode(n, time.Duration(m.rng.Int64N(int64(200*time.Millisecond))), func() { m.request(n) })
	sent, table := m.now, n.inForce
	check := func() { m.check(n, table, sent) }
	switch m.rng.IntN(20) {
	case 0:
		m.suspend(n, m.delay())
		m.onNode(n, 0, check)
	case 1, 2, 3:
		m.onNode(n, m.delay(), check) // The request waits for the processor.
	default:
		check()
	}
}

func (m *model) check(n *modelNode, table int64, sent time.Duration) {
	judged := table
	if m.mutation == currentVersion {
		judged = n.inForce
	}
	if table == 0 || !n.tracker.Trusted(judged, m.clock(n)) {
		m.refused++
		return
	}
	m.accepted++
	if acked, ok := m.acked[table+1]; ok && sent > acked+modelRevoke && m.violation == "" {
		m.violation = fmt.Sprintf("a request sent at %v was accepted by version %d, but version %d was acknowledged at %v",
			sent, table, table+1, acked)
	}
}

func runModel(seed uint64, mu mutation) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), mutation: mu, acked: make(map[int64]time.Duration)}
	m.run()
	return m
}

// TestModel guards against a request that is accepted although it was sent later than the
// permitted time after the acknowledgement of a configuration without its key, in any order
// of removals, acknowledgements, delayed, lost and duplicated answers, suspensions, cuts,
// restarts and answers of other nodes.
func TestModel(t *testing.T) {
	accepted, refused := 0, 0
	for seed := range *modelSeeds {
		m := runModel(seed, noMutation)
		if m.violation != "" {
			t.Errorf("seed %d: %s", seed, m.violation)
		}
		accepted, refused = accepted+m.accepted, refused+m.refused
	}
	t.Logf("%d requests accepted, %d refused", accepted, refused)
	if accepted < refused {
		t.Errorf("%d requests accepted and %d refused: the model shows little", accepted, refused)
	}
}

// TestModelFindsFaults guards against a search that would not find a violation.
func TestModelFindsFaults(t *testing.T) {
	const seeds = 100
	for mu := momentOfAnswer; mu < mutations; mu++ {
		seed := uint64(0)
		for seed < seeds && runModel(seed, mu).violation == "" {
			seed++
		}
		if seed == seeds {
			t.Errorf("mutation %d: no violation in %d seeds", mu, seeds)
		}
	}
}
