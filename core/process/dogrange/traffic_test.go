package dogrange

import (
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogrecord"
)

// client sends one key up to three times through random entries. Some keys are
// issued in the future or in the past.
func (s *sim) client() {
	issued := s.clock(s.nodes[s.draw(simNodes)]).Add(time.Duration(s.draw(3)-1) * time.Duration(s.draw(3000)) * time.Millisecond)
	key := s.key(0, issued)
	for attempt, d := 1, 0; attempt <= 3; attempt++ {
		e := s.nodes[s.draw(simNodes)]
		s.schedule(e, d, func() { s.enter(e, key, attempt, nil) })
		d += 20 + s.draw(100)*(1+s.draw(50))
	}
}

func (s *sim) key(number int, issued time.Time) dogwoodford.Key {
	for {
		if key := dogwoodford.MakeKey(issued, s.rnd.Uint64(), s.rnd.Uint64()); key.Range() == number {
			return key
		}
	}
}

func (s *sim) enter(e *simNode, key dogwoodford.Key, attempt int, tried []string) {
	h, reason := e.table.Lookup("s", key, tried)
	if reason != dogwoodford.ReasonNone {
		if attempt == 1 {
			s.recordNotRun(key, attempt)
		}
		return
	}
	o := s.byName(h.Node)
	if !s.reachable(e, o) {
		return
	}
	s.schedule(o, s.draw(50)+s.rarely(12, 4000), func() {
		g := o.table.MayRun(s.clock(o), key)
		if g.OK() {
			// The goroutine may be delayed between MayRun and Begin.
			s.schedule(o, s.rarely(12, 3000), func() { s.begin(o, g, key, attempt) })
		} else if g.Outcome(attempt == 1) == dogwoodford.OutcomeNotRun {
			s.enter(e, key, attempt, append(tried, h.Node))
		}
	})
}

func (s *sim) begin(o *simNode, g Grant, key dogwoodford.Key, attempt int) {
	d := o.recs.Begin(s.clock(o), dogrecord.Attempt{Key: key, Number: g.Number, Epoch: g.Epoch, Attempt: attempt})
	if !d.Run() {
		if d.Outcome() == dogwoodford.OutcomeNotRun {
			s.recordNotRun(key, attempt)
		}
		return
	}
	finish := func(d int, out dogwoodford.Outcome) {
		s.schedule(o, d, func() {
			o.recs.Finish(key, dogrecord.Result{Outcome: out})
			if out == dogwoodford.OutcomeNotRun {
				s.recordNotRun(key, attempt)
			}
		})
	}
	switch s.draw(8) {
	case 0: // The guard refuses.
		finish(s.draw(100), dogwoodford.OutcomeNotRun)
	case 1: // The dispatch is delayed and its answer is lost.
		s.after(s.draw(6000), func() { s.run(key, attempt) })
		finish(s.draw(500), dogwoodford.OutcomeUnknown)
	default:
		s.after(s.draw(30), func() { s.run(key, attempt) })
		finish(30+s.draw(300), dogwoodford.OutcomeRan)
	}
}

func (s *sim) run(key dogwoodford.Key, attempt int) {
	s.runs++
	if first, ok := s.ran[key]; ok {
		s.fail("key runs twice, attempts %d and %d", first, attempt)
	}
	if attempt <= s.notRun[key] {
		s.fail("attempt %d runs after \"not run\" to attempt %d", attempt, s.notRun[key])
	}
	s.ran[key] = attempt
}

func (s *sim) recordNotRun(key dogwoodford.Key, attempt int) {
	s.refused++
	if a, ok := s.ran[key]; ok && a <= attempt {
		s.fail("\"not run\" to attempt %d after attempt %d ran", attempt, a)
	}
	s.notRun[key] = max(s.notRun[key], attempt)
}
