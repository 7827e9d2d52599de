package dogquota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// config is the time in which a new configuration reaches all nodes that are in touch.
const config = 2500 * time.Millisecond

// fleet simulates the nodes of a fleet, their messages, and the requests of one workspace
// in virtual time.
type fleet struct {
	rand      *rand.Rand
	now       time.Time
	events    eventQueue
	order     int
	nodes     []*fleetNode
	bound     Bound
	workspace uint64
	limit     Limit // In the store.
	loss      float64
	duplicate float64
	late      float64 // Share of the messages that are late by up to a second.
	cut       int     // Nodes below this number are partitioned from the others; 0 if none.
	limits    []limitChange
	runs      []time.Time
	refused   int
	fallback  int
	messages  int
	bytes     int
}

type limitChange struct {
	at    time.Time
	limit Limit
}

// fleetNode is one node. sees holds what it knows of each node.
type fleetNode struct {
	number  int
	name    string
	node    *Node
	up      bool
	starts  int
	limit   Limit
	sees    []visibility
	waiting int
	timerAt time.Time
}

type visibility int

const (
	reachable visibility = iota
	refusing
	silent
)

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newFleet(seed uint64, nodes int, limit Limit) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), limit: limit, workspace: WorkspaceID("north"),
		bound: Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	f.limits = []limitChange{{f.now, limit}}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{number: i, name: fmt.Sprintf("n%d", i), sees: make([]visibility, nodes), limit: limit})
	}
	for _, n := range f.nodes {
		f.boot(n)
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{f.now.Add(d), f.order, run})
}

// advance runs all events of the next d.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rand.Int64N(int64(high-low)))
}

// boot starts the process of a node, which has no bucket and knows all others.
func (f *fleet) boot(n *fleetNode) {
	n.up, n.waiting, n.limit = true, 0, f.limit
	n.starts++
	n.timerAt = time.Time{}
	clear(n.sees)
	for _, other := range f.nodes {
		if other != n && !other.up && f.now.After(time.Unix(0, 0)) {
			f.notice(n, other, refusing, 10*time.Millisecond, 800*time.Millisecond)
			f.notice(n, other, reachable, 801*time.Millisecond, 2*time.Second)
		}
	}
	n.node = NewNode(f.now, Options{Name: n.name, Bound: f.bound, Rand: f.rand})
	n.node.SetLimits(map[uint64]Limit{f.workspace: n.limit})
	f.updateView(n)
}

func (f *fleet) updateView(n *fleetNode) {
	v := View{Complete: true}
	for i, s := range n.sees {
		if i != n.number {
			v.Known = append(v.Known, f.nodes[i].name)
		}
		switch {
		case i == n.number:
		case s == reachable:
			v.Reachable = append(v.Reachable, f.nodes[i].name)
		case s == silent:
			v.Silent++
		}
	}
	n.node.SetView(f.now, v)
}

// notice makes n see other as s after a time between low and high.
func (f *fleet) notice(n, other *fleetNode, s visibility, low, high time.Duration) {
	f.after(f.between(low, high), func() {
		n.sees[other.number] = s
		if n.up {
			f.updateView(n)
		}
	})
}

// kill ends the process of a node and starts it again after down.
func (f *fleet) kill(n *fleetNode, down time.Duration) {
	n.up = false
	for _, other := range f.nodes {
		if other != n {
			f.notice(other, n, refusing, 10*time.Millisecond, 800*time.Millisecond)
		}
	}
	f.after(max(f.between(down*3/4, down*5/4), 801*time.Millisecond), func() {
		n.up = true
		f.boot(n)
		for _, other := range f.nodes {
			if other != n {
				f.notice(other, n, reachable, 0, 2*time.Second)
			}
		}
	})
}

// killWhere kills the running nodes for which choose returns true.
func (f *fleet) killWhere(down time.Duration, choose func(*fleetNode) bool) {
	for _, n := range f.nodes {
		if n.up && choose(n) {
			f.kill(n, down)
		}
	}
}

// partition cuts the first k nodes off from the rest for a time.
func (f *fleet) partition(k int, d time.Duration) {
	f.cut = k
	f.noticeAcross(silent, 150*time.Millisecond, time.Second)
	f.after(max(d, 1001*time.Millisecond), func() {
		f.cut = 0
		f.noticeAcross(reachable, 10*time.Millisecond, 2*time.Second)
	})
}

func (f *fleet) noticeAcross(s visibility, low, high time.Duration) {
	k := f.cut
	if s == reachable {
		k = slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.sees[0] != silent })
		k = max(k, 0)
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if (n.number < k) != (other.number < k) || s == reachable && n.sees[other.number] == silent {
				f.notice(n, other, s, low, high)
			}
		}
	}
}

// setLimit writes a limit to the store, from where it reaches the nodes.
func (f *fleet) setLimit(l Limit) {
	f.limit = l
	f.limits = append(f.limits, limitChange{f.now, l})
	for _, n := range f.nodes {
		f.after(f.between(0, config), func() {
			n.limit = l
			n.node.SetLimits(map[uint64]Limit{f.workspace: l})
		})
	}
}

// load adds requests at random times to the next d, at the nodes that pick returns.
func (f *fleet) load(rate float64, d time.Duration, pick func() int) {
	for at := time.Duration(0); ; {
		at += time.Duration(f.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= d {
			return
		}
		f.after(at, func() { f.request(f.nodes[pick()]) })
	}
}

func (f *fleet) request(n *fleetNode) {
	if !n.up {
		return
	}
	f.decided(n, n.node.Take(f.now, Workspace{ID: f.workspace, Limit: n.limit}))
	f.flush(n)
}

func (f *fleet) decided(n *fleetNode, d Decision) {
	switch d.Verdict {
	case Granted:
		f.runs = append(f.runs, f.now)
	case Refused:
		f.refused++
	case Wait:
		n.waiting++
	}
	if d.Fallback {
		f.fallback++
	}
}

func (f *fleet) resume(n *fleetNode) {
	k := n.waiting
	n.waiting = 0
	for range k {
		f.decided(n, n.node.Resume(f.now, f.workspace))
	}
}

func (f *fleet) flush(n *fleetNode) {
	for {
		out, resolved := n.node.Flush(f.now)
		for _, o := range out {
			f.send(n, o.Node, o.Message)
		}
		if len(resolved) == 0 {
			break
		}
		f.resume(n)
	}
	f.setTimer(n)
}

func (f *fleet) setTimer(n *fleetNode) {
	next := n.node.NextExpiry()
	if next.IsZero() || next.Equal(n.timerAt) {
		return
	}
	n.timerAt = next
	start := n.starts
	f.after(next.Sub(f.now), func() {
		if !n.up || n.starts != start {
			return
		}
		n.timerAt = time.Time{}
		if resolved, _, _ := n.node.Expire(f.now); len(resolved) > 0 {
			f.resume(n)
		}
		f.flush(n)
	})
}

// send delivers a message to a node through the binary form, with the faults of the fleet.
func (f *fleet) send(from *fleetNode, to string, m Message) {
	i := slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.name == to })
	other := f.nodes[i]
	data := m.Append(nil)
	f.messages++
	f.bytes += len(data)
	copies := 1
	if f.rand.Float64() < f.duplicate {
		copies = 2
	}
	for range copies {
		if f.rand.Float64() < f.loss {
			continue
		}
		delay := f.between(200*time.Microsecond, 3*time.Millisecond)
		if f.rand.Float64() < f.late {
			delay += f.between(0, time.Second)
		}
		cut := f.cut
		f.after(delay, func() {
			if !other.up || cut > 0 && (from.number < cut) != (other.number < cut) {
				return
			}
			f.receive(other, from, data)
		})
	}
}

func (f *fleet) receive(n, from *fleetNode, data []byte) {
	m, err := ParseMessage(data)
	if err != nil {
		panic(err)
	}
	r := n.node.Receive(f.now, from.name, m)
	if r.Reply != nil {
		f.send(n, from.name, *r.Reply)
	}
	if len(r.Resolved) > 0 {
		f.resume(n)
	}
	f.flush(n)
}

// most returns the number of requests that ran in the window with the least room left,
// and the bound of that window.
func (f *fleet) most() (ran int, bound float64) {
	worst, first := -1e18, 0
	for i, at := range f.runs {
		for at.Sub(f.runs[first]) >= f.bound.Window {
			first++
		}
		n := i - first + 1
		if b := f.boundOf(f.runs[first]); float64(n)-b > worst {
			worst, ran, bound = float64(n)-b, n, b
		}
	}
	return ran, bound
}

// boundOf returns the number of requests that may run in the window that starts at start:
// the highest limit counts that was in force less than config before it, or in it.
func (f *fleet) boundOf(start time.Time) float64 {
	high := 0.0
	for i, c := range f.limits {
		replaced := i+1 < len(f.limits) && !start.Before(f.limits[i+1].at.Add(config))
		if !replaced && c.at.Before(start.Add(f.bound.Window)) {
			l := c.limit
			high = max(high, l.Rate*f.bound.Window.Seconds()+l.Burst+f.bound.margin(l))
		}
	}
	return high
}
