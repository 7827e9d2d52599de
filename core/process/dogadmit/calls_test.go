package dogadmit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

// TestChildCallsAreNotRefused guards against child calls that are refused after
// the request that makes them has done work. A target is offered far more than
// it can run, half of it child calls and half root requests. Only root requests
// may be refused before their deadline.
func TestChildCallsAreNotRefused(t *testing.T) {
	a := New(Options{Slots: 10, Rand: rand.New(rand.NewPCG(1, 2)), ExemptChildCalls: true})
	start := time.Unix(0, 0)
	for i := range 200 {
		r := dogwoodford.NewRequest(dogwoodford.RequestSpec{
			ID: fmt.Sprint(i), Root: fmt.Sprint("r", i), Hop: i % 2, Importance: 5, Deadline: start.Add(time.Minute),
		})
		v, released := a.Offer(start, r)
		if r.Hop() > 0 && v.Action() == dogwoodford.Refuse {
			t.Fatalf("call %d is refused: %v", i, v.Reason())
		}
		for _, x := range released {
			if x.ID[len(x.ID)-1]%2 == 1 {
				t.Fatalf("waiting call %s is refused: %v", x.ID, x.Verdict.Reason())
			}
		}
	}
}

// TestStandingQueueOfCalls guards against a standing queue: a burst leaves a
// queue of child calls that never gets shorter, so that every later call waits
// as long. The burst consists of calls that other targets refused. After it,
// the demand equals the capacity of the target, and entries refuse requests
// below the cutoff.
func TestStandingQueueOfCalls(t *testing.T) {
	const (
		slots   = 10
		service = 20 * time.Millisecond
		burst   = 2 * time.Second
		end     = 8 * time.Second
	)
	a := New(Options{Slots: slots, Rand: rand.New(rand.NewPCG(1, 2)), ExemptChildCalls: true})
	start := time.Unix(0, 0)
	ends := map[time.Duration][]string{} // Requests by the time of their end.
	run := func(at time.Duration, id string) { ends[at+service] = append(ends[at+service], id) }
	n := 0
	for at := time.Duration(0); at < end; at += time.Millisecond {
		now := start.Add(at)
		for _, id := range ends[at] {
			for _, x := range a.Done(now, id, dogwoodford.Sample{Latency: service}) {
				if x.Verdict.Action() == dogwoodford.Run {
					run(at, x.ID)
				}
			}
		}
		every, attempt := 2*time.Millisecond, 1
		if at < burst {
			every, attempt = time.Millisecond, 2
		}
		if at%every != 0 {
			continue
		}
		n++
		r := dogwoodford.NewRequest(dogwoodford.RequestSpec{
			ID: fmt.Sprint(n), Root: fmt.Sprint("r", n), Hop: 1, Attempt: attempt, Importance: 5, Deadline: now.Add(time.Minute),
		})
		if r.Priority() < a.Load(now).Cutoff {
			continue
		}
		if v, _ := a.Offer(now, r); v.Action() == dogwoodford.Run {
			run(at, r.ID())
		}
	}
	if wait := time.Duration(a.Load(start.Add(end)).Queued) * service / slots; wait > 100*time.Millisecond {
		t.Errorf("calls wait for %v, %v after the burst", wait, end-burst)
	}
}
