//go:build !race

package dogcrash

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

// The fleets in this file are simulated with one goroutine each, so the race detector
// finds nothing in them and makes them ten times slower. The Makefile runs TestFleet
// without it.

// TestFleet guards against a content that keeps crashing targets although it has
// crashed three. Each line of testdata/fleet.txtar describes a fleet that is
// simulated with several seeds, and whether it stays within the bound.
func TestFleet(t *testing.T) {
	dogscript.RunLines(t, "testdata/fleet.txtar", func() func(*testing.T, []string) string { return runFleets })
}

const (
	// noticeBound is the time after the third crash of a content within which all
	// nodes must know of it, and lateAllowed the number of later runs.
	noticeBound = 3 * time.Second
	lateAllowed = 3
	// fleetSeeds is the number of seeds that each line is simulated with.
	fleetSeeds = 5
	// detectDelay is the time from a crash to its detection by the guard.
	detectDelay = 20 * time.Millisecond
	// downTime is the time that a target is gone after a crash.
	downTime = 1500 * time.Millisecond
)

// fleetSpec describes a simulated fleet and its requests.
type fleetSpec struct {
	nodes    int           // Nodes, whose targets belong to the services in turn.
	services int           // Services.
	progress int           // Requests in progress at each target, on average.
	popular  int           // Harmless contents for each service.
	crashing int           // Contents that crash targets, sent at the same time.
	pace     time.Duration // Time between two sends of a crashing content.
	length   time.Duration
	callers  int           // Services whose nodes send the crashing contents.
	good     time.Duration // Time for which the crashing contents do no harm.
	herd     time.Duration // Time at which all targets of a service crash by themselves; 0 for never.
	delay    time.Duration // Time from the start of a crashing content to the crash.
	spread   time.Duration // Longest time that a report takes to reach another node.
	unique   bool          // Harmless requests have a content of their own each.
}

// runFleets simulates the fleet that words describe, as "name=value" pairs.
func runFleets(t *testing.T, words []string) string {
	t.Helper()
	spec := fleetSpec{nodes: 16, services: 4, progress: 40, popular: 30, crashing: 1, pace: 300 * time.Millisecond,
		length: 15 * time.Second, callers: 1, delay: time.Millisecond, spread: 300 * time.Millisecond}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok && name == "unique" {
			spec.unique = true
			continue
		}
		n, numberErr := strconv.Atoi(value)
		d, durationErr := time.ParseDuration(value)
		if numberErr != nil && durationErr != nil {
			t.Fatalf("%q is neither a number nor a time", w)
		}
		switch name {
		case "nodes":
			spec.nodes = n
		case "services":
			spec.services = n
		case "progress":
			spec.progress = n
		case "popular":
			spec.popular = n
		case "crashing":
			spec.crashing = n
		case "callers":
			spec.callers = n
		case "pace":
			spec.pace = d
		case "length":
			spec.length = d
		case "good":
			spec.good = d
		case "herd":
			spec.herd = d
		case "delay":
			spec.delay = d
		case "spread":
			spec.spread = d
		default:
			t.Fatalf("unknown field %q", name)
		}
	}
	fleets := make([]*simFleet, fleetSeeds)
	var wg sync.WaitGroup
	for seed := range fleets {
		fleets[seed] = newSimFleet(spec, uint64(seed))
		wg.Go(fleets[seed].simulate)
	}
	wg.Wait()
	broken, runs, refused := 0, 0, 0
	for _, f := range fleets {
		late := f.lateRuns()
		runs += late
		if late > lateAllowed*spec.crashing {
			broken++
		}
		refused += f.refusedHarmless
	}
	if broken > 0 {
		return fmt.Sprintf("broken with %d of %d seeds: %d late runs", broken, fleetSeeds, runs)
	}
	if refused > allowedRefusals(spec) {
		return fmt.Sprintf("kept, but %d harmless requests refused", refused)
	}
	return "kept"
}

// allowedRefusals returns the number of harmless requests that may be refused with all seeds
// together: a thousandth of those that the nodes send.
func allowedRefusals(spec fleetSpec) int {
	perSecond := float64(spec.nodes*spec.progress) / workTime.Seconds()
	return int(perSecond * spec.length.Seconds() * fleetSeeds / 1000)
}

// workTime is the time that a target works on a harmless request, on average.
const workTime = 200 * time.Millisecond

// simNode is one node with its target.
type simNode struct {
	name     string
	service  int
	detector *Detector
	down     bool
	running  map[string]simRequest
}

// simRequest is one request in progress at a target.
type simRequest struct {
	id      string
	content Content
	entry   *simNode
}

// simEvent is a step that is due at a time.
type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simFleet simulates a fleet without any I/O.
type simFleet struct {
	spec            fleetSpec
	rnd             *rand.Rand
	now             time.Time
	queue           simQueue
	sent            int
	nodes           []*simNode
	byService       map[int][]*simNode
	crashes         map[int][]time.Time // Runs of each crashing content that crashed a target.
	refusedHarmless int
}

func newSimFleet(spec fleetSpec, seed uint64) *simFleet {
	f := &simFleet{spec: spec, rnd: rand.New(rand.NewPCG(seed, 17)), now: start, crashes: make(map[int][]time.Time),
		byService: make(map[int][]*simNode)}
	for i := range spec.nodes {
		name := fmt.Sprint("n", i)
		n := &simNode{
			name: name, service: i % spec.services, detector: NewDetector(name, "1"), running: make(map[string]simRequest),
		}
		f.nodes = append(f.nodes, n)
		f.byService[n.service] = append(f.byService[n.service], n)
	}
	return f
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.sent++
	heap.Push(&f.queue, simEvent{at: f.now.Add(d), order: f.sent, do: do})
}

func (f *simFleet) simulate() {
	for _, n := range f.nodes {
		f.sendHarmless(n)
		f.settle(n)
	}
	for c := range f.spec.crashing {
		f.after(500*time.Millisecond+time.Duration(c)*time.Millisecond, func() { f.sendCrashing(c) })
	}
	if f.spec.herd > 0 {
		f.after(f.spec.herd, func() {
			for _, n := range f.nodes {
				if n.service == 0 {
					f.crash(n)
				}
			}
		})
	}
	for end := start.Add(f.spec.length); len(f.queue) > 0; {
		e := heap.Pop(&f.queue).(simEvent)
		if e.at.After(end) {
			return
		}
		f.now = e.at
		e.do()
	}
}

// settle lets the table of n decide on suspects each second.
func (f *simFleet) settle(n *simNode) {
	f.after(time.Second, func() {
		n.detector.Settle(f.now)
		f.settle(n)
	})
}

// exponential returns a random time with the given mean.
func (f *simFleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.rnd.ExpFloat64() * float64(mean))
}

// target returns a random target of a service that is up, nil if there is none.
func (f *simFleet) target(service int) *simNode {
	nodes := f.byService[service]
	first := f.rnd.IntN(len(nodes))
	for i := range nodes {
		if n := nodes[(first+i)%len(nodes)]; !n.down {
			return n
		}
	}
	return nil
}

// node returns the node with this name, nil if there is none.
func (f *simFleet) node(name string) *simNode {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// sendHarmless sends harmless requests from n as long as the simulation lasts.
func (f *simFleet) sendHarmless(n *simNode) {
	f.after(f.exponential(workTime/time.Duration(f.spec.progress)), func() {
		f.sendHarmless(n)
		service, content := f.rnd.IntN(f.spec.services), f.rnd.IntN(f.spec.popular)
		digest := uint64(1 + 100_000*service + content)
		if f.spec.unique {
			digest = uint64(20_000_000 + f.sent)
		}
		f.send(n, service, digest, func(x simRequest, at *simNode) {
			f.after(f.exponential(workTime), func() { f.complete(x, at) })
		}, func() { f.refusedHarmless++ })
	})
}

// sendCrashing sends a crashing content to service 0 again and again, through random
// nodes.
func (f *simFleet) sendCrashing(content int) {
	f.after(f.spec.pace/2+f.exponential(f.spec.pace/2), func() { f.sendCrashing(content) })
	entry := f.nodes[f.rnd.IntN(len(f.nodes))]
	for entry.service >= f.spec.callers {
		entry = f.nodes[f.rnd.IntN(len(f.nodes))]
	}
	digest := uint64(10_000_000 + content)
	f.send(entry, 0, digest, func(x simRequest, at *simNode) {
		if f.now.Sub(start) < f.spec.good {
			f.after(f.exponential(workTime), func() { f.complete(x, at) })
			return
		}
		f.crashes[content] = append(f.crashes[content], f.now)
		f.after(f.spec.delay, func() { f.crash(at) })
	}, func() {})
}

// send passes a request through the entry and a guard. run is called when it runs at a
// target, refuse when it is refused because of crashes.
func (f *simFleet) send(entry *simNode, service int, digest uint64, run func(simRequest, *simNode), refuse func()) {
	at := f.target(service)
	if at == nil {
		return
	}
	c := Content{Shared: digest, Own: digest<<8 + uint64(entry.service) + 1}
	cleared := entry.detector.HasCompleted(c)
	if entry.detector.QuarantineRemaining(f.now, c) > 0 {
		tester, _ := entry.detector.Tester(f.now, c)
		if at, cleared = f.node(tester), false; at == nil || at.down || !entry.detector.Ask(f.now, c) {
			refuse()
			return
		}
	}
	if !cleared && at.detector.QuarantineRemaining(f.now, c) > 0 && !at.detector.Test(f.now, c, at.name) {
		refuse()
		return
	}
	f.sent++
	x := simRequest{id: fmt.Sprint(f.sent), content: c, entry: entry}
	at.detector.Start(f.now, x.id, c)
	at.running[x.id] = x
	run(x, at)
}

// complete ends a request with a response, unless its target crashed.
func (f *simFleet) complete(x simRequest, at *simNode) {
	if _, ok := at.running[x.id]; !ok {
		return
	}
	delete(at.running, x.id)
	at.detector.End(f.now, x.id, false)
	f.spread(at, at.detector.RecordCompletion(x.content))
	f.spread(x.entry, x.entry.detector.RecordCompletion(x.content))
}

// crash ends the target of a node and, later, lets the guard detect it and the
// target start again.
func (f *simFleet) crash(at *simNode) {
	if at.down {
		return
	}
	at.down = true
	for id := range at.running {
		at.detector.End(f.now, id, true)
	}
	clear(at.running)
	f.after(detectDelay, func() { f.detect(at) })
	f.after(downTime, func() { at.down = false })
}

// detect makes the guard report the crash of its target to all nodes.
func (f *simFleet) detect(at *simNode) {
	reports := at.detector.RecordCrash(f.now).Reports
	for _, r := range reports {
		at.detector.AddReport(f.now, r)
	}
	f.spread(at, reports)
}

// spread sends reports from one node to all others.
func (f *simFleet) spread(from *simNode, reports []Report) {
	for _, r := range reports {
		for _, n := range f.nodes {
			if n != from {
				f.after(time.Duration(f.rnd.Int64N(int64(f.spec.spread))), func() { n.detector.AddReport(f.now, r) })
			}
		}
	}
}

// lateRuns returns the number of runs of crashing contents later than noticeBound
// after the third.
func (f *simFleet) lateRuns() int {
	late := 0
	for _, runs := range f.crashes {
		for i, at := range runs {
			if i >= 3 && at.Sub(runs[2]) > noticeBound {
				late++
			}
		}
	}
	return late
}
