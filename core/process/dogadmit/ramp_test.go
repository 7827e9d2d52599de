package dogadmit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

func newRamping(slots int) *Admission {
	return New(Options{Slots: slots, Rand: rand.New(rand.NewPCG(1, 1)), Ramp: true})
}

// offers offers n requests of the given attempt at once and returns how many run and how
// many wait.
func offers(a *Admission, n, attempt int) (running, waiting int) {
	for i := range n {
		r := dogwoodford.NewRequest(dogwoodford.RequestSpec{
			ID: fmt.Sprint(attempt, "-", i), Root: "root", Importance: 4, Deadline: at(60_000), Attempt: attempt,
		})
		switch v, _ := a.Offer(at(0), r); v.Action() {
		case dogwoodford.Run:
			running++
		case dogwoodford.Wait:
			waiting++
		}
	}
	return running, waiting
}

// Guards against a target that is flooded after its start, against requests that are
// refused although they have nowhere else to go, and against first attempts that wait
// although another target may have room.
func TestRampAdmits(t *testing.T) {
	for _, tc := range []struct {
		name             string
		start            dogwoodford.Start
		attempt          int
		running, waiting int
	}{
		// Ten of 40 places, with as many requests that wait as run.
		{"first attempts", dogwoodford.Start{Fresh: true}, 1, 10, 10},
		// The 30 places that the ramp withholds may wait in addition.
		{"second attempts", dogwoodford.Start{Fresh: true}, 2, 10, 40},
		{"first attempts at a service that was restarted", dogwoodford.Start{Fresh: true, Alone: true}, 1, 20, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newRamping(40)
			a.Restart(at(0), tc.start)
			if running, waiting := offers(a, 100, tc.attempt); running != tc.running || waiting != tc.waiting {
				t.Errorf("%d run and %d wait, want %d and %d", running, waiting, tc.running, tc.waiting)
			}
			if l := a.Load(at(0)); l.Limit != tc.running {
				t.Errorf("reported limit %d, want %d", l.Limit, tc.running)
			}
		})
	}
}

// Guards against a ramp without the option, against one that never ends at a target with
// good answers, and against failures of child calls that hold it down.
func TestRampEnds(t *testing.T) {
	a := newAdmission(40)
	a.Restart(at(0), dogwoodford.Start{Fresh: true})
	if a.Ramping() || a.Load(at(0)).Limit != 40 {
		t.Fatalf("without the option the limit is %d, want 40", a.Load(at(0)).Limit)
	}
	for name, s := range map[string]dogwoodford.Sample{
		"answers":              {Latency: 20 * time.Millisecond},
		"failures of children": {Latency: 20 * time.Millisecond, ChildTime: 10 * time.Millisecond, Failed: true},
	} {
		a := newRamping(40)
		a.Restart(at(0), dogwoodford.Start{Fresh: true})
		for i := range 100 {
			id, now := fmt.Sprint(i), at(10*i)
			a.Offer(now, request(id, 4, at(60_000)))
			a.Done(now, id, s)
		}
		if a.Ramping() || a.Load(at(1000)).Limit != 40 {
			t.Errorf("after 1 s of %s the limit is %d, want 40", name, a.Load(at(1000)).Limit)
		}
	}
}

// Guards against a limit from before a recovery that replaces the one which the ramp
// found. The target is overcommitted when it fails, and answers slowly above a quarter
// of its limit afterwards.
func TestRampReplacesTrial(t *testing.T) {
	a := newRamping(40)
	a.limiter.limitBeforeTrial, a.limiter.latencyBeforeTrial, a.limiter.value = 40, 0.02, 32
	a.Restart(at(0), dogwoodford.Start{})
	ms := 0
	answers := func(n int, d time.Duration) {
		for range n {
			ms += 10
			id, now := fmt.Sprint(ms), at(ms)
			a.Offer(now, request(id, 4, at(3_600_000)))
			a.Done(now, id, dogwoodford.Sample{Latency: d})
		}
	}
	answers(16, 20*time.Millisecond)
	answers(80, 35*time.Millisecond)
	found := a.Load(at(ms)).Limit
	if a.Ramping() || found != 16 {
		t.Fatalf("the ramp ended: %t, limit %d, want 16", !a.Ramping(), found)
	}
	for i := range found - 1 { // The limit is reached from now on.
		a.Offer(at(ms), request(fmt.Sprint("long", i), 4, at(3_600_000)))
	}
	answers(60, 35*time.Millisecond)
	if got := a.Load(at(ms)).Limit; got > 2*found {
		t.Errorf("limit %d half a second after the ramp found %d", got, found)
	}
}

// Guards against a reported service time that follows moments of slowness or single slow
// requests, or that misses a lasting change.
func TestServiceTime(t *testing.T) {
	var s serviceTime
	ms := 0
	observe := func(seconds float64, d time.Duration) {
		for range int(seconds * 50) {
			ms += 20
			x := d
			if ms%600 == 0 {
				x *= 7 // One in 30.
			}
			s.observe(at(ms), x)
		}
	}
	check := func(when string, low, high time.Duration) {
		t.Helper()
		if got := s.value(); got < low || got > high {
			t.Errorf("%s: service time %v, want %v to %v", when, got, low, high)
		}
	}
	observe(5, 10*time.Millisecond)
	check("steady", 9*time.Millisecond, 15*time.Millisecond)
	observe(0.6, 50*time.Millisecond)
	check("after 600 ms at five times", 9*time.Millisecond, 16*time.Millisecond)
	observe(3, 10*time.Millisecond)
	observe(3, 50*time.Millisecond)
	check("after 3 s at five times", 45*time.Millisecond, 75*time.Millisecond)
}
