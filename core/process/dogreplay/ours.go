package dogreplay

import (
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogpressure"
)

// expireInterval is the interval at which a guard with queued requests calls
// Admission.Expire.
const expireInterval = 10 * time.Millisecond

// retryBudget is the number of retries left for one call and its subtree
// (docs/design.md, 5.2).
type retryBudget struct{ left int }

// spend takes one retry from the budget and reports whether one was left.
func (b *retryBudget) spend() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// share takes the budget of a child call, half of the remaining retries rounded
// up, and returns it.
func (b *retryBudget) share() int {
	n := (b.left + 1) / 2
	b.left -= n
	return n
}

// refund returns n retries that a child call did not use to the budget.
func (b *retryBudget) refund(n int) { b.left += n }

// answer is the response of a guard to a dispatch.
type answer struct {
	end         jobEnd
	unused      int  // Retries that remain of the call's budget.
	unavailable bool // The target accepts no requests: it is down or draining.
	load        *dogwoodford.Load
	report      dogpressure.Report
	retryAfter  time.Duration
}

// outgoing is a call made by the exit or entry of a node, with all its attempts.
type outgoing struct {
	from     *node
	r        *request
	call     *callTree
	hop      int
	deadline time.Duration
	budget   retryBudget
	tried    []string // Nodes of the attempts so far.
	done     func(answer)
}

// incoming is a dispatch received by a guard.
type incoming struct {
	at    *node
	out   *outgoing
	req   dogwoodford.Request
	reply func(answer)
}

func (o *outgoing) spec() dogwoodford.RequestSpec {
	s := o.from.s
	class := s.t.classes[o.r.class]
	return dogwoodford.RequestSpec{
		ID: s.id(), Root: o.r.root, Customer: "customer", Service: s.t.services[o.call.service].name,
		Class: class.name, Importance: class.importance, Idempotent: class.idempotent,
		Deadline: epoch.Add(o.deadline), Retries: o.budget.left,
		Digest: o.r.content ^ uint64(o.call.service+1), Hop: o.hop, Attempt: len(o.tried) + 1,
		DataCentre: s.t.dataCentres[o.from.dc], ContentSize: -1,
	}
}

// dispatch makes the next attempt of a call. It ends the call as refused if the
// deadline has passed, the cutoffs refuse it or there is no target to pick.
func (o *outgoing) dispatch() {
	n, s := o.from, o.from.s
	if s.now >= o.deadline {
		o.done(answer{end: refused, unused: o.budget.left})
		return
	}
	req := dogwoodford.NewRequest(o.spec())
	now := s.time()
	if v := n.table.Admit(now, req); v.Action() == dogwoodford.Refuse {
		o.done(answer{end: refused, unused: o.budget.left, retryAfter: v.RetryAfter()})
		return
	}
	target, reason := n.router.Pick(now, req, s.views[n.dc], o.tried)
	if reason != dogwoodford.ReasonNone {
		o.done(answer{end: refused, unused: o.budget.left})
		return
	}
	g := s.node(o.call.service, target.Node)
	s.attempts++
	n.router.RecordDispatch(now, g.name)
	o.tried = append(o.tried, g.name)
	begin := s.now
	end := func(a answer) { o.answered(req, g, begin, a) }
	onLost := func() { end(answer{end: lost, unavailable: true}) }
	in := &incoming{at: g, out: o, req: req, reply: func(a answer) {
		s.send(g.dc, n.dc, o.deadline, func() { end(a) }, onLost)
	}}
	s.send(n.dc, g.dc, o.deadline, in.offer, onLost)
}

func (s *sim) node(service int, name string) *node {
	for _, n := range s.byService[service] {
		if n.name == name {
			return n
		}
	}
	panic("dogreplay: unknown node " + name)
}

// answered records the end of an attempt. It retries the call if the target did
// not run it, or may have run it and it is idempotent, and the deadline and the
// retry budget permit it.
func (o *outgoing) answered(req dogwoodford.Request, g *node, begin time.Duration, a answer) {
	n, s := o.from, o.from.s
	now := s.time()
	n.router.RecordDispatchEnd(now, g.name, s.now-begin, a.unavailable, a.load)
	if a.load != nil && !a.unavailable {
		n.table.AddReport(now, req, g.name, a.report)
	}
	if a.end == answered {
		n.router.RecordCompletion(req.Digest())
	}
	o.budget.left = a.unused
	// A failure that a target answered is not retried: the child call that
	// failed had its own retries, and a retry here would repeat the work of this
	// call.
	again := a.end == refused || a.end == lost && req.Idempotent()
	if again && s.now < o.deadline && o.budget.spend() {
		o.dispatch()
		return
	}
	a.unused = o.budget.left
	o.done(a)
}

// offer passes a dispatch to the admission control of its target.
func (in *incoming) offer() {
	n, s := in.at, in.at.s
	if !n.up || n.draining {
		a := answer{end: refused, unused: in.req.Retries(), unavailable: true}
		if n.draining {
			a.load = &dogwoodford.Load{} // A limit of 0 means that the target accepts no new requests.
		}
		in.reply(a)
		return
	}
	v, dequeued := n.adm.Offer(s.time(), in.req)
	switch v.Action() {
	case dogwoodford.Run:
		in.start()
	case dogwoodford.Wait:
		n.pending[in.req.ID()] = in
		n.scheduleExpire()
	case dogwoodford.Refuse:
		in.refuse(v)
	}
	n.handleDequeued(dequeued)
}

func (in *incoming) refuse(v dogwoodford.Verdict) {
	a := in.answer(refused, in.req.Retries())
	a.retryAfter = v.RetryAfter()
	in.reply(a)
}

// answer returns an answer with the load and the cutoffs of the node.
func (in *incoming) answer(end jobEnd, unused int) answer {
	now := in.at.s.time()
	load := in.at.adm.Load(now)
	return answer{end: end, unused: unused, load: &load, report: in.at.table.UpstreamReport(now, in.req, load.Cutoff)}
}

func (in *incoming) start() {
	n, s, o := in.at, in.at.s, in.out
	budget := retryBudget{left: in.req.Retries()}
	begin := s.now
	j := &job{r: o.r, deadline: o.deadline, call: o.call}
	j.child = func(c *callTree, done func(bool)) {
		child := &outgoing{from: n, r: o.r, call: c, hop: o.hop + 1, deadline: o.deadline, budget: retryBudget{left: budget.share()}}
		child.done = func(a answer) {
			budget.refund(a.unused)
			done(a.end == answered)
		}
		child.dispatch()
	}
	j.done = func(end jobEnd) {
		sample := dogwoodford.Sample{Latency: s.now - begin, ChildTime: j.childTime, Failed: end != answered}
		dequeued := n.adm.Done(s.time(), in.req.ID(), sample)
		if end == lost {
			in.reply(answer{end: lost, unavailable: true})
		} else {
			in.reply(in.answer(end, budget.left))
		}
		n.handleDequeued(dequeued)
	}
	n.submit(j)
}

// handleDequeued starts or refuses requests that the admission control removed
// from its queue.
func (n *node) handleDequeued(dequeued []dogwoodford.Dequeued) {
	for _, d := range dequeued {
		in := n.pending[d.ID]
		delete(n.pending, d.ID)
		switch {
		case d.Verdict.Action() != dogwoodford.Run:
			in.refuse(d.Verdict)
		case !n.up:
			// The target crashed while the request was queued.
			n.handleDequeued(n.adm.Done(n.s.time(), d.ID, dogwoodford.Sample{Failed: true}))
			in.reply(answer{end: refused, unused: in.req.Retries(), unavailable: true})
		default:
			in.start()
		}
	}
}

func (n *node) scheduleExpire() {
	if n.expireScheduled {
		return
	}
	n.expireScheduled = true
	n.s.after(expireInterval, func() {
		n.expireScheduled = false
		n.handleDequeued(n.adm.Expire(n.s.time()))
		if len(n.pending) > 0 {
			n.scheduleExpire()
		}
	})
}
