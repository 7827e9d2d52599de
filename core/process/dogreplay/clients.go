package dogreplay

import (
	"time"

	"dogwoodford"
)

// baselineTries is the number of tries of a call at each hop of the baselines.
const baselineTries = 3

// try sends a customer request to an entry, for the first or another time.
func (s *sim) try(r *request) {
	class := s.t.classes[r.class]
	r.tries++
	try, n, over := r.tries, s.entry(), false
	finish := func(end jobEnd, hint time.Duration) {
		if over {
			return
		}
		over = true
		s.tried(r, end, hint)
	}
	reply := func(end jobEnd, hint time.Duration) {
		s.after(s.t.client, func() { finish(end, hint) })
	}
	s.after(s.t.client, func() {
		if s.policy == Ours {
			n.accept(r, try, reply)
		} else {
			n.try(r, class.tree, 1, func(end jobEnd) { reply(end, 0) })
		}
	})
	s.after(class.deadline+2*s.t.client, func() { finish(lost, 0) })
}

// tried ends a try at the client and plans the next one.
func (s *sim) tried(r *request, end jobEnd, hint time.Duration) {
	class, c := s.t.classes[r.class], s.t.clients
	if end == answered {
		r.ok, r.ended = true, true
		return
	}
	// A request that may run once is not sent again after it may have run.
	if r.tries > c.resends || !class.idempotent && end != refused {
		r.ended = true
		return
	}
	wait := time.Duration((0.5 + s.choices.Float64()) * float64(c.backoff))
	if c.honour {
		wait = max(wait, hint)
	}
	s.after(wait, func() {
		if class.idempotent {
			// Without a key, the entry cannot tell a resend from its root.
			r.root = s.id()
		}
		s.try(r)
	})
}

// accept is the entry under Ours: it charges resends and makes the root call.
func (n *node) accept(r *request, try int, reply func(jobEnd, time.Duration)) {
	class, c := n.s.t.classes[r.class], n.s.t.clients
	if try == 1 {
		n.tokens = min(c.resendBurst, n.tokens+c.resendPercent/100)
	} else {
		if n.tokens < 1 {
			reply(refused, time.Second)
			return
		}
		n.tokens--
	}
	o := &outgoing{
		from: n, r: r, run: class.tree, deadline: n.s.now + class.deadline,
		budget: ledger{left: class.retries},
		done:   func(a answer) { reply(a.end, a.hint) },
	}
	o.dispatch()
}

// try makes one try of a call under a baseline, and up to three in all. Every
// try has the deadline of the class for itself, and the work of a try that
// timed out goes on.
func (n *node) try(r *request, run *call, number int, done func(jobEnd)) {
	s, class := n.s, n.s.t.classes[r.class]
	over := false
	finish := func(end jobEnd) {
		if over {
			return
		}
		over = true
		if end != answered && number < baselineTries && (class.idempotent || end == refused) {
			n.try(r, run, number+1, done)
			return
		}
		done(end)
	}
	g := s.randomReady(n.dc, run.service)
	if g == nil {
		// The pause keeps tries without any target apart.
		s.after(lostAfter, func() { finish(refused) })
		return
	}
	s.attempts++
	limit := s.now + class.deadline
	gone := func() { finish(lost) }
	reply := func(end jobEnd) {
		s.send(g.dc, n.dc, limit, func() { finish(end) }, gone)
	}
	s.send(n.dc, g.dc, limit, func() {
		if !g.up || g.draining {
			reply(refused)
			return
		}
		g.enter(&job{
			r: r, run: run, done: reply,
			child: func(c *call, done func(bool)) {
				g.try(r, c, 1, func(end jobEnd) { done(end == answered) })
			},
		})
	}, gone)
	s.after(class.deadline, func() { finish(lost) })
}

// randomReady returns a random target that the view of a data centre holds for
// ready, or nil.
func (s *sim) randomReady(dc, service int) *node {
	var ready []*node
	for _, n := range s.byService[service] {
		if s.views[dc][n.number].State == dogwoodford.Ready {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[s.choices.IntN(len(ready))]
}
