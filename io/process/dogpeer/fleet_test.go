package dogpeer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogpeer"
)

// callOverheadBytes is added to the size of each call, for both directions
// together: 424 bytes of HTTP headers, which BenchmarkWire reports, and ten packets
// with 54 bytes of TCP/IP headers each, because each call of a large fleet opens
// its own connection.
const callOverheadBytes = 970

// fleet simulates the control logic of many nodes in virtual time. Messages are
// encoded and decoded; there are no sockets, targets or requests.
type fleet struct {
	rnd         *rand.Rand
	now         time.Time
	timers      timerQueue
	seq         int
	nodes       []*node
	nodesByPeer map[string]*node // Keys are peer addresses.
	store       *platformStore

	partitioned func(a, b *node) bool // Reports whether a cannot reach b; nil if there is no partition.
	onChange    func(n *node)
	onInForce   func(n *node, g dogconfig.Generation)
	onFailed    func(n *node, m dogmember.Member)
}

type node struct {
	f               *fleet
	index           int
	name            string
	peer            string
	dc              int
	up              bool
	membership      *dogmember.Membership
	contracts       *dogconfig.Config[string]
	bytes           int64         // Bytes sent and received.
	viewChanges     int           // Number of changes of the view of the members.
	cpu             time.Duration // Time spent in decisions and encoding.
	watchedRevision int64         // Revision up to which the watch has returned changes.
	watching        bool
}

const dataCentres = 6 // Two in each of three regions.

type timer struct {
	at   time.Time
	seq  int
	fire func()
}

type timerQueue []timer

func (s timerQueue) Len() int { return len(s) }
func (s timerQueue) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s timerQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *timerQueue) Push(x any)   { *s = append(*s, x.(timer)) }
func (s *timerQueue) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rnd:         rand.New(rand.NewPCG(seed, 3)),
		now:         time.UnixMilli(1_700_000_000_000),
		nodesByPeer: map[string]*node{},
	}
	f.store = &platformStore{f: f, objects: map[string]dogwoodford.Object{}, revision: map[string]int64{}}
	for i := range n {
		nd := &node{f: f, index: i, dc: i % dataCentres, name: fmt.Sprintf("rounds-%03d", i), peer: fmt.Sprintf("10.0.%d.%d:7103", i/250, i%250+1)}
		f.nodes = append(f.nodes, nd)
		f.nodesByPeer[nd.peer] = nd
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.timers, timer{at: f.now.Add(d), seq: f.seq, fire: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.timers.Len() > 0 && !f.timers[0].at.After(end) {
		s := heap.Pop(&f.timers).(timer)
		f.now = s.at
		s.fire()
	}
	f.now = end
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*f.rnd.Float64()))
}

// delay returns the one-way latency from a to b: about 1 ms within a data centre,
// 5 ms within a region and 40 ms between regions.
func (f *fleet) delay(a, b *node) time.Duration {
	switch {
	case a.dc == b.dc:
		return f.jitter(time.Millisecond)
	case a.dc/2 == b.dc/2:
		return f.jitter(5 * time.Millisecond)
	}
	return f.jitter(40 * time.Millisecond)
}

func (n *node) start() {
	self := dogmember.Member{
		Node: n.name, Incarnation: uint64(n.f.now.UnixMilli()), Service: "rounds", Peer: n.peer,
		DataCentre: fmt.Sprintf("dc-%d", n.dc), Slots: 45,
	}
	n.up = true
	n.membership = dogmember.New(n.f.now, dogmember.Options{
		Self: self, Size: dogpeer.UpdateSize, Platform: true,
		Rand: rand.New(rand.NewPCG(n.f.rnd.Uint64(), 1)),
	})
	n.contracts = dogconfig.New(dogconfig.Options[string]{
		Parse: parseText, Node: n.name, Rand: rand.New(rand.NewPCG(n.f.rnd.Uint64(), 2)),
	})
	m := n.membership
	n.f.after(n.f.jitter(2*time.Second), func() { n.memberEvent(dogmember.SelfChanged{State: dogwoodford.StateReady, Slots: 45}) })
	var tick func()
	tick = func() {
		if n.up && n.membership == m {
			n.memberEvent(dogmember.Tick{})
			n.configEvent(dogconfig.Tick{})
			n.f.after(100*time.Millisecond, tick)
		}
	}
	n.f.after(time.Duration(n.f.rnd.Int64N(int64(100*time.Millisecond))), tick)
}

// parseText reads the generation from a text "customer generation padding".
func parseText(text []byte) (dogconfig.Parsed[string], error) {
	f := strings.Fields(string(text))
	g, err := strconv.ParseInt(f[1], 10, 64)
	return dogconfig.Parsed[string]{Customer: f[0], Generation: g}, err
}

// contractText returns a text of the size of a contract with about 40 classes.
func contractText(customer string, g int) []byte {
	return []byte(fmt.Sprintf("%s %d %s", customer, g, strings.Repeat("x", 6000)))
}

func (n *node) timed(do func()) {
	begun := time.Now()
	do()
	n.cpu += time.Since(begun)
}

func (n *node) memberEvent(ev dogmember.Event) {
	if !n.up {
		return
	}
	var acts []dogmember.Action
	n.timed(func() { acts = n.membership.OnEvent(n.f.now, ev) })
	for _, a := range acts {
		n.memberAction(a)
	}
}

func (n *node) configEvent(ev dogconfig.Event) {
	if !n.up {
		return
	}
	var acts []dogconfig.Action
	n.timed(func() { acts = n.contracts.OnEvent(n.f.now, ev) })
	for _, a := range acts {
		n.configAction(a)
	}
}
