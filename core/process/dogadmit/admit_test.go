package dogadmit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"dogwoodford"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newAdmission(slots int) *Admission {
	return New(Options{Slots: slots, Rand: rand.New(rand.NewPCG(1, 1))})
}

func request(id string, importance int, deadline time.Time) dogwoodford.Request {
	return dogwoodford.NewRequest(dogwoodford.RequestSpec{
		ID: id, Root: "root", Importance: importance, Deadline: deadline, Attempt: 1,
	})
}

// Guards against a queue that ignores priority or displaces the wrong request.
func TestQueueServesAndDisplacesByPriority(t *testing.T) {
	a := newAdmission(1)
	late := at(60_000)
	if v, _ := a.Offer(at(0), request("running", 0, late)); v.Action() != dogwoodford.Run {
		t.Fatalf("first offer: %v, want Run", v.Action())
	}
	for i, importance := range []int{1, 5, 3, 5} {
		if v, _ := a.Offer(at(0), request(fmt.Sprint("w", i), importance, late)); v.Action() != dogwoodford.Wait {
			t.Fatalf("offer %d: %v, want Wait", i, v.Action())
		}
	}
	v, displaced := a.Offer(at(1), request("top", 7, late))
	if v.Action() != dogwoodford.Wait || len(displaced) != 1 || displaced[0].ID != "w0" {
		t.Fatalf("offer to full queue: %v, displaced %v; want Wait and w0", v.Action(), displaced)
	}
	if got := displaced[0].Verdict; got.Reason() != dogwoodford.ReasonQueueFull || got.RetryAfter() <= 0 {
		t.Errorf("displaced with %q, hint %v; want queue-full with a hint", got.Reason(), got.RetryAfter())
	}
	if v, _ := a.Offer(at(1), request("low", 0, late)); v.Reason() != dogwoodford.ReasonQueueFull {
		t.Errorf("low priority at full queue: %q, want queue-full", v.Reason())
	}
	if !a.Cancel(at(1), "w2") || a.Cancel(at(1), "w2") {
		t.Error("Cancel must report once that the request waited")
	}
	var order []string
	running := "running"
	for range 3 {
		rel := a.Done(at(2), running, dogwoodford.Sample{Latency: time.Millisecond})
		if len(rel) != 1 {
			t.Fatalf("after %s: releases %v, want one", running, rel)
		}
		running = rel[0].ID
		order = append(order, running)
	}
	if diff := cmp.Diff([]string{"top", "w1", "w3"}, order); diff != "" {
		t.Errorf("order of starts (-want +got):\n%s", diff)
	}
}

// Guards against requests that start after their deadline, or so shortly before
// it that they cannot be answered in time.
func TestDeadlines(t *testing.T) {
	a := newAdmission(2)
	if v, _ := a.Offer(at(10), request("past", 7, at(10))); v.Reason() != dogwoodford.ReasonDeadline {
		t.Errorf("expired offer: %q, want deadline", v.Reason())
	}
	for _, id := range []string{"a", "b"} {
		a.Offer(at(10), request(id, 7, at(60_000)))
	}
	a.Done(at(110), "a", dogwoodford.Sample{Latency: 100 * time.Millisecond})
	a.Offer(at(110), request("c", 7, at(60_000)))
	// Two requests of 100 ms run, so a place is expected to be free in 50 ms,
	// and half of the service time, 50 ms, is needed after that.
	if v, _ := a.Offer(at(110), request("tight", 7, at(200))); v.Reason() != dogwoodford.ReasonDeadline {
		t.Errorf("offer that cannot be in time: %q, want deadline", v.Reason())
	}
	if v, _ := a.Offer(at(110), request("wait", 7, at(250))); v.Action() != dogwoodford.Wait {
		t.Fatalf("offer with room: %v, want Wait", v.Action())
	}
	if rel := a.Expire(at(150)); len(rel) != 0 {
		t.Errorf("Expire with time left: %v, want none", rel)
	}
	rel := a.Expire(at(201))
	if len(rel) != 1 || rel[0].ID != "wait" || rel[0].Verdict.Reason() != dogwoodford.ReasonDeadline {
		t.Errorf("Expire: %v, want wait refused for its deadline", rel)
	}
	if v, _ := a.Offer(at(201), request("c", 7, at(60_000))); v.Reason() != dogwoodford.ReasonDuplicate {
		t.Errorf("second offer of a running ID: %q, want duplicate", v.Reason())
	}
}

// targetSimulation simulates a target with a given service time. Requests are
// offered at a fixed rate.
type targetSimulation struct {
	a       *Admission
	now     time.Time
	ends    map[string]time.Time
	service func(running int) time.Duration
	n       int
}

// step offers one request of the given importance and advances by 1 ms.
func (s *targetSimulation) step(importance int) dogwoodford.Verdict {
	s.n++
	r := dogwoodford.NewRequest(dogwoodford.RequestSpec{
		ID: fmt.Sprint(s.n), Root: fmt.Sprint(s.n), Importance: importance,
		Deadline: s.now.Add(10 * time.Second), Attempt: 1,
	})
	v, _ := s.a.Offer(s.now, r)
	if v.Action() == dogwoodford.Run {
		s.run(r.ID())
	}
	s.advance()
	return v
}

// advance ends the requests that are due in the next millisecond.
func (s *targetSimulation) advance() {
	s.now = s.now.Add(time.Millisecond)
	var done []string
	for id, end := range s.ends {
		if !s.now.Before(end) {
			done = append(done, id)
		}
	}
	slices.Sort(done)
	for _, id := range done {
		d := s.service(len(s.ends))
		delete(s.ends, id)
		s.release(s.a.Done(s.now, id, dogwoodford.Sample{Latency: d}))
	}
	s.release(s.a.Expire(s.now))
}

func (s *targetSimulation) run(id string) { s.ends[id] = s.now.Add(s.service(len(s.ends) + 1)) }

func (s *targetSimulation) release(rel []dogwoodford.Dequeued) {
	for _, r := range rel {
		if r.Verdict.Action() == dogwoodford.Run {
			s.run(r.ID)
		}
	}
}

// Guards against a cutoff that does not rise under overload, refuses requests
// of the top class, drops to zero during the overload, or stays raised after
// it.
func TestCutoffRisesAndFalls(t *testing.T) {
	s := &targetSimulation{a: newAdmission(20), now: start, ends: map[string]time.Time{}}
	// At 50 ms a request, 400 are served per second; 1,000 are offered, of
	// which 250 are of the top class.
	s.service = func(int) time.Duration { return 50 * time.Millisecond }
	refused := 0
	for i := range 5000 {
		top := i%4 == 0
		v := s.step(map[bool]int{true: 7, false: 2}[top])
		if top && v.Action() == dogwoodford.Refuse {
			refused++
		}
		if i > 1000 && s.a.Load(s.now).Cutoff == 0 {
			t.Fatalf("cutoff is zero after %d ms of overload", i)
		}
	}
	if refused > 0 {
		t.Errorf("%d top-class requests refused, want none", refused)
	}
	if got := s.a.Load(s.now).Cutoff; got > 3*dogwoodford.RankCount {
		t.Errorf("cutoff %d is above the class that fits in part", got)
	}
	for i := range 3000 {
		if i%10 == 0 {
			s.step(7)
		} else {
			s.advance()
		}
	}
	if got := s.a.Load(s.now).Cutoff; got != 0 {
		t.Errorf("cutoff 3 s after the overload: %d, want 0", got)
	}
}

// Guards against a limit that stays at the announced slots although the target
// is overcommitted, and against one that falls because the target itself is
// slower.
func TestLimit(t *testing.T) {
	for _, tc := range []struct {
		name      string
		service   func(running int) time.Duration
		low, high int
	}{
		{"overcommitted", func(running int) time.Duration {
			return 40 * time.Millisecond * time.Duration(max(running, 20)) / 20
		}, 20, 34},
		{"slow", func(int) time.Duration { return 160 * time.Millisecond }, 40, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &targetSimulation{a: newAdmission(40), now: start, ends: map[string]time.Time{}}
			s.service = func(int) time.Duration { return 40 * time.Millisecond }
			for i := range 4000 {
				if i%4 == 0 {
					s.step(4) // 250 requests per second keep 10 slots busy.
				} else {
					s.advance()
				}
			}
			s.service = tc.service
			for range 20_000 {
				s.step(4)
			}
			if got := s.a.Load(s.now).Limit; got < tc.low || got > tc.high {
				t.Errorf("limit %d, want %d to %d", got, tc.low, tc.high)
			}
		})
	}
}

// model tracks the state of each request.
type model struct {
	t       *rapid.T
	a       *Admission
	state   map[string]string
	running []string
}

func (m *model) ran(id string) {
	m.state[id] = "runs"
	m.running = append(m.running, id)
}

func (m *model) offer(id string, importance, attempt int, now time.Time) {
	spec := request(id, importance, now.Add(time.Second)).Spec()
	spec.Attempt = attempt
	v, rel := m.a.Offer(now, dogwoodford.NewRequest(spec))
	switch v.Action() {
	case dogwoodford.Run:
		m.ran(id)
	case dogwoodford.Wait:
		m.state[id] = "waits"
	default:
		m.state[id] = "ended"
	}
	m.release(rel)
}

func (m *model) done(now time.Time) {
	if len(m.running) == 0 {
		return
	}
	id := m.running[0]
	m.running = m.running[1:]
	m.state[id] = "ended"
	m.release(m.a.Done(now, id, dogwoodford.Sample{Latency: 20 * time.Millisecond}))
}

func (m *model) release(rel []dogwoodford.Dequeued) {
	for _, r := range rel {
		if m.state[r.ID] != "waits" {
			m.t.Fatalf("released %s, which %s", r.ID, m.state[r.ID])
		}
		m.state[r.ID] = "ended"
		if r.Verdict.Action() == dogwoodford.Run {
			m.ran(r.ID)
		}
	}
}

func (m *model) waiting() int {
	n := 0
	for _, s := range m.state {
		if s == "waits" {
			n++
		}
	}
	return n
}

// restart restarts the target, whose requests go on.
func (m *model) restart(now time.Time) {
	m.a.Restart(now, dogwoodford.Start{Fresh: rapid.Bool().Draw(m.t, "fresh"), Alone: rapid.Bool().Draw(m.t, "alone")})
}

// Guards against lost requests: each one offered must be started, refused or
// released exactly once, and no more than the slots may run, also in a ramp.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		m := &model{t: t, a: newRamping(slots), state: map[string]string{}}
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				m.offer(fmt.Sprint(i), rapid.IntRange(0, 7).Draw(t, "importance"), rapid.IntRange(1, 3).Draw(t, "attempt"), now)
			case 2:
				m.done(now)
			case 3:
				m.release(m.a.Expire(now))
			case 4:
				m.restart(now)
			}
			l := m.a.Load(now)
			if l.InFlight != len(m.running) || l.Queued != m.waiting() || l.InFlight > slots {
				t.Fatalf("load %+v with %d running and %d waiting", l, len(m.running), m.waiting())
			}
		}
	})
}
