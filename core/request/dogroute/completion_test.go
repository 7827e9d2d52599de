package dogroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

func newCompletionRouter() *Router {
	return New(Options{
		DataCentre: "here", SlowStart: 3 * time.Second, Rand: rand.New(rand.NewPCG(1, 1)), ByCompletion: true,
	})
}

// report records an answer of a target with this load at a time.
func report(rt *Router, at time.Time, name string, load dogwoodford.Load) {
	rt.RecordDispatch(at, name)
	rt.RecordDispatchEnd(at, name, time.Millisecond, false, &load)
}

// Guards against routing without the speed of targets, against waiting at a fast target
// while a slower one has room, against leaving the local data centre for speed, and
// against avoiding a target for a time that was reported long ago.
func TestCompletion(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 30 * time.Millisecond
	for _, tc := range []struct {
		name     string
		a, b     dogwoodford.Load
		remote   bool          // Target b is in another data centre.
		age      time.Duration // Of the reports.
		low, top int           // Bounds of the picks of a, in 1,000.
	}{
		{"fast and slow", dogwoodford.Load{InFlight: 5, Limit: 10, ServiceTime: fast}, dogwoodford.Load{InFlight: 2, Limit: 10, ServiceTime: slow}, false, 0, 1000, 1000},
		{"equal speed", dogwoodford.Load{InFlight: 5, Limit: 10, ServiceTime: fast}, dogwoodford.Load{InFlight: 2, Limit: 10, ServiceTime: fast}, false, 0, 0, 0},
		{"fast and full", dogwoodford.Load{InFlight: 12, Limit: 10, ServiceTime: fast}, dogwoodford.Load{InFlight: 4, Limit: 10, ServiceTime: slow}, false, 0, 0, 0},
		{"local and slow", dogwoodford.Load{InFlight: 5, Limit: 10, ServiceTime: slow}, dogwoodford.Load{Limit: 10, ServiceTime: fast}, true, 0, 1000, 1000},
		{"held down by its guard", dogwoodford.Load{InFlight: 2, Limit: 2, ServiceTime: fast}, dogwoodford.Load{InFlight: 5, Limit: 10, ServiceTime: fast}, false, 0, 0, 0},
		{"slow long ago", dogwoodford.Load{Limit: 10, ServiceTime: slow}, dogwoodford.Load{Limit: 10, ServiceTime: fast}, false, 2 * time.Second, 300, 1000},
		{"probes of an old report", dogwoodford.Load{Limit: 10, ServiceTime: slow}, dogwoodford.Load{Limit: 10, ServiceTime: fast}, false, 1500 * time.Millisecond, 1, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rt := newCompletionRouter()
			targets := []dogwoodford.Target{target("a", "here"), target("b", "here")}
			if tc.remote {
				targets[1].DataCentre = "there"
			}
			report(rt, start, "a", tc.a)
			report(rt, start, "b", tc.b)
			got := countPicks(t, rt, start.Add(tc.age), request(0), targets, 1000)["a"]
			if got < tc.low || got > tc.top {
				t.Errorf("%d of 1000 picks of a, want %d to %d", got, tc.low, tc.top)
			}
		})
	}
}

// Guards against a share that grows with the clock although the guard of the new target
// has reported its limit, and against a full share before the first report.
func TestSlowStartEndsWithReport(t *testing.T) {
	rt := newCompletionRouter()
	targets := []dogwoodford.Target{target("new", "here"), target("old", "here"), target("other", "here")}
	targets[0].ReadySince = start
	now := start.Add(300 * time.Millisecond)
	if got := countPicks(t, rt, now, request(0), targets, 1000)["new"]; got < 10 || got > 150 {
		t.Errorf("%d of 1000 picks of a target without a report, want about 40", got)
	}
	report(rt, now, "new", dogwoodford.Load{Limit: 10, ServiceTime: 10 * time.Millisecond})
	if got := countPicks(t, rt, now, request(0), targets, 1000)["new"]; got < 250 {
		t.Errorf("%d of 1000 picks of a target with a report, want about a third", got)
	}
}

// loop is a simulation of entries that send requests to three targets at 0.6, 1.0 and
// 1.4 times the usual time.
type loop struct {
	targets []dogwoodford.Target
	entries []*Router
	rng     *rand.Rand
	ends    map[int][]loopEnd // By millisecond.
	running [3]int
	picked  [3]int // Since the last call of take.
}

// loopEnd is the end of a request.
type loopEnd struct{ entry, target int }

// loopSpeeds are the factors of the service time of the targets, loopLimit is their
// limit and loopMillis the usual service time.
var loopSpeeds = [3]float64{0.6, 1.0, 1.4}

const (
	loopLimit  = 40
	loopMillis = 20
)

func newLoop(entries int) *loop {
	l := &loop{rng: rand.New(rand.NewPCG(9, 9)), ends: make(map[int][]loopEnd)}
	for i := range loopSpeeds {
		t := target(fmt.Sprint("t", i), "here")
		t.Slots = loopLimit
		l.targets = append(l.targets, t)
	}
	for i := range entries {
		l.entries = append(l.entries, New(Options{DataCentre: "here", Rand: rand.New(rand.NewPCG(uint64(i), 1)), ByCompletion: true}))
	}
	return l
}

// step ends the requests that are due at a millisecond and sends n new ones.
func (l *loop) step(ms, n int) {
	now := start.Add(time.Duration(ms) * time.Millisecond)
	for _, e := range l.ends[ms] {
		l.running[e.target]--
		l.entries[e.entry].RecordDispatchEnd(now, l.targets[e.target].Node, 0, false, &dogwoodford.Load{
			InFlight: l.running[e.target], Limit: loopLimit,
			ServiceTime: time.Duration(loopMillis * loopSpeeds[e.target] * float64(time.Millisecond)),
		})
	}
	delete(l.ends, ms)
	for range n {
		entry := l.rng.IntN(len(l.entries))
		t, _ := l.entries[entry].Pick(now, request(0), l.targets, nil)
		l.entries[entry].RecordDispatch(now, t.Node)
		i := int(t.Node[1] - '0')
		l.running[i]++
		l.picked[i]++
		at := ms + 1 + int(loopMillis*loopSpeeds[i]*(0.5+l.rng.Float64()))
		l.ends[at] = append(l.ends[at], loopEnd{entry, i})
	}
}

// take returns the requests by target since the last call.
func (l *loop) take() [3]int {
	p := l.picked
	l.picked = [3]int{}
	return p
}

// Guards against targets that are found full and empty by turns, as all entries follow
// the same reports. 20 entries send 2,000 requests a second to targets at 0.6, 1.0 and
// 1.4 times 20 ms, after 1 s to settle; each target gets a steady share from one
// half-second to the next.
func TestCompletionIsSteady(t *testing.T) {
	const half, halves = 500, 12
	l := newLoop(20)
	var counts [][3]int
	for ms := range half * halves {
		l.step(ms, 2)
		if ms%half == half-1 {
			counts = append(counts, l.take())
		}
	}
	lowest, highest := counts[2], counts[2]
	for _, c := range counts[2:] {
		for i, n := range c {
			lowest[i], highest[i] = min(lowest[i], n), max(highest[i], n)
		}
	}
	for i := range loopSpeeds {
		if lowest[i] < 50 || highest[i] > lowest[i]*7/4 {
			t.Errorf("target %d gets %d to %d requests in half a second, want a steady share", i, lowest[i], highest[i])
		}
	}
	t.Log("requests in half a second, lowest and highest by target:", lowest, highest)
}
