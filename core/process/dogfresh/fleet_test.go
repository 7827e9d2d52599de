package dogfresh

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford/core/process/dogpace"
)

const (
	fleetStep = 10 * time.Millisecond
	// fleetDelay is the time of a message between two nodes, in one direction.
	fleetDelay = 10 * time.Millisecond
	// fleetWatch and fleetUrgentWatch are the waits of watch calls, usually and when the
	// tracker is urgent.
	fleetWatch       = 400 * time.Millisecond
	fleetUrgentWatch = 50 * time.Millisecond
	// fleetPull is the time to fetch a configuration of which an answer told.
	fleetPull = 80 * time.Millisecond
)

var fleetSeed = flag.Uint64("fleet-seed", 1, "seed of TestFleet")

// fleet simulates the nodes of a deployment with an undisturbed network between them. Time
// advances in steps; all clocks are equal.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	nodes   []*fleetNode
	gossip  float64 // Answers to calls that carry an age, each second at each node.
	version int64
	loss    float64          // Share of the answers of other nodes that are lost.
	refuses func(i int) bool // Whether the store refuses a node.

	calls, questions int
}

type fleetNode struct {
	tracker *Tracker
	pace    *dogpace.Pace
	version int64

	watching bool
	asked    time.Duration
	storeDue time.Duration // End of the watch, or of the pause.
	interval time.Duration
	pause    time.Duration // After a failed call.

	actionDue time.Duration
	pullDue   time.Duration
	pullFrom  *fleetNode
}

func newFleet(nodes int, gossip float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), gossip: gossip, version: 1, refuses: func(int) bool { return false }}
	for range nodes {
		f.nodes = append(f.nodes, &fleetNode{
			tracker:  New(Options{Lifetime: testLifetime, Rand: f.rng}),
			pace:     dogpace.New(dogpace.Options{MinWait: 1500 * time.Millisecond, Rand: f.rng}),
			storeDue: time.Duration(f.rng.Int64N(int64(time.Second))),
		})
	}
	return f
}

// run advances the fleet by d and calls each after every step.
func (f *fleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		for i, n := range f.nodes {
			f.step(i, n)
		}
		each()
	}
}

func (f *fleet) step(i int, n *fleetNode) {
	if n.pullFrom != nil && f.now >= n.pullDue {
		f.hear(n, n.pullFrom)
		n.tracker.Adopt(n.pullFrom.version)
		n.version, n.pullFrom = n.pullFrom.version, nil
	}
	if f.rng.Float64() < f.gossip*fleetStep.Seconds() {
		f.hear(n, f.nodes[f.rng.IntN(len(f.nodes))])
	}
	if f.now >= n.actionDue {
		f.act(n)
	}
	if n.watching && n.version < f.version && !f.refuses(i) || f.now >= n.storeDue {
		f.stepStore(i, n)
	}
}

// act carries out what the tracker wants.
func (f *fleet) act(n *fleetNode) {
	a := n.tracker.Next(f.now, len(f.nodes))
	n.actionDue = f.now + a.Wait
	for range a.Peers {
		f.questions++
		f.hear(n, f.nodes[f.rng.IntN(len(f.nodes))])
	}
	if a.Store && !n.watching && n.pause == 0 {
		n.storeDue = f.now
	}
}

// hear takes an answer of a node to a question that was sent a round trip ago.
func (f *fleet) hear(n, from *fleetNode) {
	if n == from || f.rng.Float64() < f.loss {
		return
	}
	n.pace.RecordMessage()
	if version, age, ok := from.tracker.Age(f.now - fleetDelay); ok {
		n.tracker.Observe(version, f.now-2*fleetDelay-age)
	}
	if from.version > n.version && n.pullFrom == nil {
		n.pullFrom, n.pullDue = from, f.now+fleetPull
	}
}

// stepStore ends a watch, or a pause after one.
func (f *fleet) stepStore(i int, n *fleetNode) {
	if f.refuses(i) {
		f.calls++
		n.watching, n.pause = false, min(max(2*n.pause, 100*time.Millisecond), 800*time.Millisecond)
		n.storeDue = f.now + n.pause
		return
	}
	n.pause = 0
	if n.watching {
		n.tracker.Observe(f.version, n.asked)
		n.tracker.Adopt(f.version)
		n.version = f.version
		n.watching = false
		n.storeDue = f.now + time.Duration((0.9+0.2*f.rng.Float64())*float64(max(0, n.interval-fleetWatch)))
		return
	}
	f.calls++
	n.interval = n.pace.Wait(time.Time{}.Add(time.Hour+f.now), len(f.nodes))
	n.watching, n.asked = true, f.now
	wait := fleetWatch
	if n.tracker.Urgent(f.now) {
		wait = fleetUrgentWatch
	}
	n.storeDue = f.now + wait
}

// untrusted returns the number of nodes that do not trust their keys.
func (f *fleet) untrusted() int {
	out := 0
	for _, n := range f.nodes {
		if !n.tracker.Trusted(n.version, f.now) {
			out++
		}
	}
	return out
}

// oldest returns the greatest age at a node.
func (f *fleet) oldest() time.Duration {
	out := time.Duration(0)
	for _, n := range f.nodes {
		if _, age, ok := n.tracker.Age(f.now); ok {
			out = max(out, age)
		}
	}
	return out
}

// rates resets the counts and returns them as calls to the store a second, and as questions
// to other nodes a second at each node.
func (f *fleet) rates(d time.Duration) (calls, questions float64) {
	calls, questions = float64(f.calls)/d.Seconds(), float64(f.questions)/d.Seconds()/float64(len(f.nodes))
	f.calls, f.questions = 0, 0
	return calls, questions
}

// TestFleet guards against a bound on the trust in keys that refuses requests while a third
// of the nodes is away from the store, that costs more calls to the store, or that lets a
// new configuration arrive too late. Each fleet runs idle and busy.
func TestFleet(t *testing.T) {
	for _, tc := range []struct {
		nodes     int
		gossip    float64
		mostCalls float64 // A second, undisturbed.
	}{{13, 0, 10}, {13, 20, 10}, {91, 0, 64}, {91, 6, 20}, {91, 20, 16}, {590, 20, 95}} {
		t.Run(fmt.Sprintf("nodes=%d/gossip=%v", tc.nodes, tc.gossip), func(t *testing.T) {
			f := newFleet(tc.nodes, tc.gossip, *fleetSeed)
			f.run(10*time.Second, func() {})
			f.rates(time.Second)
			f.checkCalm(t, tc.mostCalls)
			f.checkSpread(t)
			f.checkPartlyAway(t)
			f.checkAway(t)
		})
	}
}

func (f *fleet) checkCalm(t *testing.T, mostCalls float64) {
	const d = 20 * time.Second
	oldest := time.Duration(0)
	f.run(d, func() { oldest = max(oldest, f.oldest()) })
	calls, questions := f.rates(d)
	t.Logf("calm: %.1f calls and %.2f questions a second, oldest %v", calls, questions, oldest)
	if calls > mostCalls || questions > 1 || oldest > 3*time.Second {
		t.Errorf("calm: %.1f calls, %.2f questions a second, oldest %v; want at most %.0f, 1 and 3s", calls, questions, oldest, mostCalls)
	}
}

// checkSpread checks that a new configuration is in force everywhere in time.
func (f *fleet) checkSpread(t *testing.T) {
	f.version++
	written, last := f.now, f.now
	f.run(4*time.Second, func() {
		for _, n := range f.nodes {
			if n.version < f.version {
				last = f.now
			}
		}
	})
	t.Logf("spread: %v", last-written)
	if last-written > 2500*time.Millisecond {
		t.Errorf("a new configuration is in force everywhere after %v", last-written)
	}
}

// checkPartlyAway checks that all nodes serve while the store refuses 35% of them, and a
// tenth of the answers between nodes is lost.
func (f *fleet) checkPartlyAway(t *testing.T) {
	const d = 9 * time.Second
	f.refuses = func(i int) bool { return i%20 < 7 }
	f.loss = 0.1
	f.rates(d)
	most := 0
	f.run(d, func() { most = max(most, f.untrusted()) })
	calls, questions := f.rates(d)
	t.Logf("35%% away: %.1f calls and %.2f questions a second", calls, questions)
	if most > 0 {
		t.Errorf("%d nodes refuse keys while others reach the store", most)
	}
}

// checkAway checks that keys lapse while the whole store is away, and are trusted soon
// after it is back.
func (f *fleet) checkAway(t *testing.T) {
	const d = 10 * time.Second
	f.refuses = func(int) bool { return true }
	f.run(d, func() {})
	calls, questions := f.rates(d)
	if n := f.untrusted(); n != len(f.nodes) {
		t.Errorf("%d of %d nodes refuse keys while the store is away, want all", n, len(f.nodes))
	}
	f.refuses = func(int) bool { return false }
	back, last := f.now, f.now
	f.run(3*time.Second, func() {
		if f.untrusted() > 0 {
			last = f.now
		}
	})
	t.Logf("all away: %.1f calls and %.2f questions a second, all trusted %v after its end", calls, questions, last-back)
	if last-back > 1500*time.Millisecond {
		t.Errorf("keys are trusted everywhere %v after the store is back", last-back)
	}
}
