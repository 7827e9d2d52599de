//go:build !race

package dogreplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/request/dogroute"
)

// sidecarSlowStart is the SlowStart of the sidecar.
const sidecarSlowStart = 3 * time.Second

// unevenRun is the result of a load on uneven targets.
type unevenRun struct {
	completed float64 // Share of the requests.
	mean, p99 time.Duration
	share     []float64 // Of the requests that run, by target.
	maxBusy   int       // Most requests in one target at once.
}

func (r unevenRun) String() string {
	return fmt.Sprintf("completed %.4f, mean %v, p99 %v, shares %.3f, most at once %d", r.completed,
		r.mean.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), r.share, r.maxBusy)
}

// runUneven replays a trace with one service, whose targets set prepares, under a
// policy. Only requests that arrive between from and to count.
func runUneven(t *testing.T, trace string, p Policy, from, to time.Duration, set func(s *sim)) unevenRun {
	t.Helper()
	tr, err := Parse("uneven", trace)
	if err != nil {
		t.Fatal(err)
	}
	s := newSim(tr, p, 1)
	for i, n := range s.nodes {
		source := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), k)) }
		n.adm = dogadmit.New(dogadmit.Options{
			Slots: tr.services[0].announced, Rand: source(1), ExemptChildCalls: true, Ramp: p == Paced,
		})
		n.router = dogroute.New(dogroute.Options{
			DataCentre: tr.dataCentres[n.dc], SlowStart: sidecarSlowStart, Rand: source(2), Sample: 8, ByCompletion: p == Paced,
		})
	}
	set(s)
	var out unevenRun
	served := make([]int, len(s.nodes))
	for at := from; at < to; at += time.Millisecond {
		s.after(at, func() {
			for i, n := range s.nodes {
				served[i] += n.busy
				out.maxBusy = max(out.maxBusy, n.busy+len(n.waiting))
			}
		})
	}
	s.runUntil(tr.length + tail)
	var latencies []time.Duration
	counted, total := 0, 0
	for _, r := range s.requests {
		if r.arrived < from || r.arrived >= to {
			continue
		}
		counted++
		if r.ok {
			latencies = append(latencies, r.endedAt-r.arrived)
		}
	}
	slices.Sort(latencies)
	for _, d := range latencies {
		out.mean += d / time.Duration(len(latencies))
	}
	out.completed = float64(len(latencies)) / float64(counted)
	out.p99 = latencies[len(latencies)*99/100]
	for _, n := range served {
		total += n
	}
	for _, n := range served {
		out.share = append(out.share, float64(n)/float64(total))
	}
	return out
}

// restartTarget crashes a target at a time and starts it again after down.
func (s *sim) restartTarget(n *node, at, down time.Duration) {
	s.after(at, n.crash)
	s.after(at+20*time.Millisecond, func() { s.setState(n, dogwoodford.StateFailed, allDataCentres) })
	s.after(at+down, func() {
		n.up, n.started = true, s.now
		n.adm.Restart(s.time(), s.start(n))
		s.markRestarted(n)
	})
}

// coldStart returns the factor of a target whose requests take x times as long for 3 s
// after its start.
func coldStart(n *node, x float64) func() float64 {
	return func() float64 {
		if age := n.s.now - n.started; n.started > 0 && age < 3*time.Second {
			return x
		}
		return 1
	}
}

// strained returns the factor of a target that is slow for 3 s after its start, the more
// so the more requests run at once.
func strained(n *node) func() float64 {
	return func() float64 {
		if age := n.s.now - n.started; n.started > 0 && age < 3*time.Second {
			return 1 + float64(n.busy)/5
		}
		return 1
	}
}

// unevenService returns a trace of one service with this number of workers, of 20 slots
// at 20 ms, and a number of requests per second. extra is appended to the service.
func unevenService(workers, rate int, extra string) string {
	return fmt.Sprintf(`run 16s
data-centres a
delay local 500us client 500us
service tags workers %d slots 20 time 20ms spread 0.5 %s
class read importance 4 deadline 400ms retries 3 idempotent yes
tree read tags
rate read 0s %d
clients resends 0
`, workers, extra, rate)
}

// Guards against targets that are compared without their speed, that are flooded
// or left idle after a start, and that are avoided after a moment of slowness.
// Each load is run with the options before (ours) and with those of the sidecar
// (paced); the bounds are on the latter relative to the former. The share of a flapping
// target is small on purpose.
func TestTracesUneven(t *testing.T) {
	const cold = "cold 3s cold-factor 2"
	for _, tc := range []struct {
		name, trace string
		from, to    time.Duration
		set         func(s *sim)
		meanRatio   float64 // Bound of the mean latency, relative to ours.
		completed   float64 // Bound of the share that completes, less that of ours.
		minShare    float64 // Bound of the share of the work of each target.
	}{
		{"speeds 0.6, 1.0 and 1.4, three of each, 6000/s", unevenService(9, 6000, ""), 2 * time.Second, 16 * time.Second, func(s *sim) {
			for i, n := range s.nodes {
				n.speed = func() float64 { return []float64{0.6, 1.0, 1.4}[i%3] }
			}
		}, 0.96, 0, 0.02},
		{"speeds 0.6, 1.0 and 1.4, three of each, 8400/s", unevenService(9, 8400, ""), 2 * time.Second, 16 * time.Second, func(s *sim) {
			for i, n := range s.nodes {
				n.speed = func() float64 { return []float64{0.6, 1.0, 1.4}[i%3] }
			}
		}, 1, 0, 0.02},
		{"five times slower for 600 ms by turns, 8 targets, 4000/s", unevenService(8, 4000, ""), 2 * time.Second, 16 * time.Second, func(s *sim) {
			for i, n := range s.nodes {
				n.speed = func() float64 {
					if int(s.now/(600*time.Millisecond))%len(s.nodes) == i {
						return 5
					}
					return 1
				}
			}
		}, 1.02, -0.001, 0.02},
		{"one of 8 starts cold, twice the time for 3 s, 5600/s", unevenService(8, 5600, ""), 4 * time.Second, 9 * time.Second, func(s *sim) {
			s.restartTarget(s.nodes[0], 3*time.Second, time.Second)
			s.nodes[0].speed = coldStart(s.nodes[0], 2)
		}, 1, -0.001, 0.02},
		{"all 4 restart at once, three times the time at first, 1600/s", unevenService(4, 1600, "cold 3s cold-factor 3"), 4 * time.Second, 9 * time.Second, func(s *sim) {
			for _, n := range s.nodes {
				s.restartTarget(n, 3*time.Second, time.Second)
			}
		}, 1.1, -0.01, 0.02},
		{"one of 8 starts cold, four times the time at 15 at once for 3 s, 5600/s", unevenService(8, 5600, ""), 4 * time.Second, 9 * time.Second, func(s *sim) {
			s.restartTarget(s.nodes[0], 3*time.Second, time.Second)
			s.nodes[0].speed = strained(s.nodes[0])
		}, 1, -0.001, 0.02},
		{"all 4 restart at once, four times the time at 15 at once for 3 s, 1000/s", unevenService(4, 1000, ""), 4 * time.Second, 9 * time.Second, func(s *sim) {
			for _, n := range s.nodes {
				s.restartTarget(n, 3*time.Second, time.Second)
				n.speed = strained(n)
			}
		}, 1.1, -0.01, 0.02},
		{"one of 4 flaps, 600 ms up and 400 ms down, cold, 2000/s", unevenService(4, 2000, cold), 2 * time.Second, 14 * time.Second, func(s *sim) {
			for i := range 12 {
				s.restartTarget(s.nodes[0], 2*time.Second+time.Duration(i)*time.Second, 400*time.Millisecond)
			}
		}, 1, 0, 0.002},
		{"one in 30 requests takes seven times as long, 8 targets, 5000/s", unevenService(8, 5000, ""), 2 * time.Second, 16 * time.Second, func(s *sim) {
			rng := rand.New(rand.NewPCG(5, 5))
			for _, n := range s.nodes {
				n.speed = func() float64 {
					if rng.IntN(30) == 0 {
						return 7
					}
					return 1
				}
			}
		}, 1.02, -0.001, 0.02},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			before := runUneven(t, tc.trace, Ours, tc.from, tc.to, tc.set)
			after := runUneven(t, tc.trace, Paced, tc.from, tc.to, tc.set)
			t.Logf("ours:  %v", before)
			t.Logf("paced: %v", after)
			if bound := time.Duration(tc.meanRatio * float64(before.mean)); after.mean > bound {
				t.Errorf("mean latency %v, want at most %v", after.mean, bound)
			}
			if after.completed < before.completed+tc.completed {
				t.Errorf("share that completes %.4f, want at least %.4f", after.completed, before.completed+tc.completed)
			}
			for i, x := range after.share {
				if x < tc.minShare {
					t.Errorf("target %d has a share of %.3f of the work, as if it were idle", i, x)
				}
			}
		})
	}
}
