package dogreplay

import (
	"time"

	"dogwoodford"
)

// baselineTries is the maximum number of tries of a call at each hop under the
// baselines.
const baselineTries = 3

// try sends a customer request, or a resend of it, to a random entry. The try
// ends as lost if there is no response within the deadline and the delays of the
// link.
func (s *sim) try(r *request) {
	class := s.t.classes[r.class]
	r.tries++
	try, n, finished := r.tries, s.entry(), false
	finish := func(end jobEnd, retryAfter time.Duration) {
		if finished {
			return
		}
		finished = true
		s.tryEnded(r, end, retryAfter)
	}
	reply := func(end jobEnd, retryAfter time.Duration) {
		s.after(s.t.client, func() { finish(end, retryAfter) })
	}
	s.after(s.t.client, func() {
		if s.policy.decides() {
			n.accept(r, try, reply)
		} else {
			n.try(r, class.tree, 1, func(end jobEnd) { reply(end, 0) })
		}
	})
	s.after(class.deadline+2*s.t.client, func() { finish(lost, 0) })
}

// tryEnded records the end of a try at the client and schedules a resend if the
// client may make one.
func (s *sim) tryEnded(r *request, end jobEnd, retryAfter time.Duration) {
	class, c := s.t.classes[r.class], s.t.clients
	if end == answered {
		r.ok, r.ended, r.endedAt = true, true, s.now
		return
	}
	// A non-idempotent request is not resent once it may have run.
	if r.tries > c.resends || !class.idempotent && end != refused {
		r.ended = true
		return
	}
	wait := time.Duration((0.5 + s.choices.Float64()) * float64(c.backoff))
	if c.honourRetryAfter {
		wait = max(wait, retryAfter)
	}
	s.after(wait, func() {
		if class.idempotent {
			// Without an idempotency key, the entry cannot match a resend with
			// the original request, so that it counts as a new root.
			r.root = s.id()
		}
		s.try(r)
	})
}

// accept handles a request at the entry under Ours and Paced: it charges resends to the
// resend budget of the entry and makes the root call.
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
		from: n, r: r, call: class.tree, deadline: n.s.now + class.deadline,
		budget: retryBudget{left: class.retries},
		done:   func(a answer) { reply(a.end, a.retryAfter) },
	}
	o.dispatch()
}

// try makes try number of a call under a baseline and repeats it on failure, up
// to baselineTries in all. Each try has the full deadline of the class, and the
// target does not stop work on a try that timed out.
func (n *node) try(r *request, call *callTree, number int, done func(jobEnd)) {
	s, class := n.s, n.s.t.classes[r.class]
	finished := false
	finish := func(end jobEnd) {
		if finished {
			return
		}
		finished = true
		if end != answered && number < baselineTries && (class.idempotent || end == refused) {
			n.try(r, call, number+1, done)
			return
		}
		done(end)
	}
	g := s.randomReady(n.dc, call.service)
	if g == nil {
		// The delay keeps the tries from following at once while no target is
		// ready.
		s.after(linkLossTimeout, func() { finish(refused) })
		return
	}
	s.attempts++
	limit := s.now + class.deadline
	onLost := func() { finish(lost) }
	reply := func(end jobEnd) {
		s.send(g.dc, n.dc, limit, func() { finish(end) }, onLost)
	}
	s.send(n.dc, g.dc, limit, func() {
		if !g.up || g.draining {
			reply(refused)
			return
		}
		g.submit(&job{
			r: r, call: call, done: reply,
			child: func(c *callTree, done func(bool)) {
				g.try(r, c, 1, func(end jobEnd) { done(end == answered) })
			},
		})
	}, onLost)
	s.after(class.deadline, func() { finish(lost) })
}

// randomReady returns a random target of a service among those that are ready in
// the view of data centre dc, or nil if there is none.
func (s *sim) randomReady(dc, service int) *node {
	var ready []*node
	for _, n := range s.byService[service] {
		if s.views[dc][n.number].State == dogwoodford.StateReady {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[s.choices.IntN(len(ready))]
}
