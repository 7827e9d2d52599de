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

// overhead is added to each call, for both directions together: 424 bytes of
// HTTP headers as BenchmarkWire measures, and ten packets of 54 bytes of TCP/IP
// headers, as each call has a connection of its own in a large fleet.
const overhead = 970

// fleet steps the control logic of many nodes in virtual time. Messages are
// encoded and decoded; sockets, targets and requests do not exist.
type fleet struct {
	rnd   *rand.Rand
	now   time.Time
	steps steps
	seq   int
	nodes []*node
	at    map[string]*node // By peer address.
	store *store

	cut      func(a, b *node) bool // Whether a cannot reach b; nil if all can.
	onChange func(n *node)
	onForce  func(n *node, g dogconfig.Generation)
	onFailed func(n *node, m dogmember.Member)
}

type node struct {
	f       *fleet
	index   int
	name    string
	peer    string
	dc      int
	up      bool
	m       *dogmember.Membership
	c       *dogconfig.Config[string]
	bytes   int64         // Sent and received.
	changes int           // Changed views of the members.
	cpu     time.Duration // Spent in decisions and encoding.
	watched int64         // Revision up to which the watch has told.
	watch   bool
}

const centres = 6 // In three regions.

type step struct {
	at  time.Time
	seq int
	do  func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 3)),
		now: time.UnixMilli(1_700_000_000_000),
		at:  map[string]*node{},
	}
	f.store = &store{f: f, objects: map[string]dogwoodford.Object{}, revision: map[string]int64{}}
	for i := range n {
		nd := &node{f: f, index: i, dc: i % centres, name: fmt.Sprintf("rounds-%03d", i), peer: fmt.Sprintf("10.0.%d.%d:7103", i/250, i%250+1)}
		f.nodes = append(f.nodes, nd)
		f.at[nd.peer] = nd
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.steps, step{at: f.now.Add(d), seq: f.seq, do: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.steps.Len() > 0 && !f.steps[0].at.After(end) {
		s := heap.Pop(&f.steps).(step)
		f.now = s.at
		s.do()
	}
	f.now = end
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*f.rnd.Float64()))
}

// delay is the time one way: 1 ms in a data centre, 5 ms in a region, else
// 40 ms.
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
	n.m = dogmember.New(n.f.now, dogmember.Options{
		Self: self, Size: dogpeer.UpdateSize, Platform: true,
		Rand: rand.New(rand.NewPCG(n.f.rnd.Uint64(), 1)),
	})
	n.c = dogconfig.New(dogconfig.Options[string]{
		Parse: parseText, Node: n.name, Rand: rand.New(rand.NewPCG(n.f.rnd.Uint64(), 2)),
	})
	m := n.m
	n.f.after(n.f.jitter(2*time.Second), func() { n.event(dogmember.SelfChanged{State: dogwoodford.Ready, Slots: 45}) })
	var tick func()
	tick = func() {
		if n.up && n.m == m {
			n.event(dogmember.Tick{})
			n.config(dogconfig.Tick{})
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

// contractText has the size of a contract with about 40 classes.
func contractText(customer string, g int) []byte {
	return []byte(fmt.Sprintf("%s %d %s", customer, g, strings.Repeat("x", 6000)))
}

func (n *node) timed(do func()) {
	begun := time.Now()
	do()
	n.cpu += time.Since(begun)
}

func (n *node) event(ev dogmember.Event) {
	if !n.up {
		return
	}
	var acts []dogmember.Action
	n.timed(func() { acts = n.m.OnEvent(n.f.now, ev) })
	for _, a := range acts {
		n.act(a)
	}
}

func (n *node) config(ev dogconfig.Event) {
	if !n.up {
		return
	}
	var acts []dogconfig.Action
	n.timed(func() { acts = n.c.OnEvent(n.f.now, ev) })
	for _, a := range acts {
		n.configAct(a)
	}
}
