package dogreplay

import (
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogpressure"
)

// expireEvery is how often a guard with a queue calls Admission.Expire.
const expireEvery = 10 * time.Millisecond

// ledger is the retry budget of one call with what is beneath it
// (docs/design.md, 5.2).
type ledger struct{ left int }

// spend takes one unit for a further attempt.
func (l *ledger) spend() bool {
	if l.left == 0 {
		return false
	}
	l.left--
	return true
}

// share takes the share of a child call: half of what remains, rounded up.
func (l *ledger) share() int {
	n := (l.left + 1) / 2
	l.left -= n
	return n
}

// refund returns the units that a child call did not use.
func (l *ledger) refund(n int) { l.left += n }

// answer is what a guard sends back.
type answer struct {
	end    jobEnd
	unused int
	broken bool // The target takes no work: it is down or drains.
	load   *dogwoodford.Load
	report dogpressure.Report
	hint   time.Duration
}

// outgoing is one call from the exit or entry of a node, with its attempts.
type outgoing struct {
	from     *node
	r        *request
	run      *call
	hop      int
	deadline time.Duration
	budget   ledger
	tried    []string
	done     func(answer)
}

// incoming is one dispatch at a guard.
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
		ID: s.id(), Root: o.r.root, Customer: "customer", Service: s.t.services[o.run.service].name,
		Class: class.name, Importance: class.importance, Idempotent: class.idempotent,
		Deadline: epoch.Add(o.deadline), Retries: o.budget.left,
		Digest: o.r.content ^ uint64(o.run.service+1), Hop: o.hop, Attempt: len(o.tried) + 1,
		DataCentre: s.t.dataCentres[o.from.dc], ContentSize: -1,
	}
}

// dispatch makes the next attempt of a call.
func (o *outgoing) dispatch() {
	n, s := o.from, o.from.s
	if s.now >= o.deadline {
		o.done(answer{end: refused, unused: o.budget.left})
		return
	}
	req := dogwoodford.NewRequest(o.spec())
	now := s.time()
	if v := n.table.Admit(now, req); v.Action() == dogwoodford.Refuse {
		o.done(answer{end: refused, unused: o.budget.left, hint: v.RetryAfter()})
		return
	}
	target, reason := n.router.Pick(now, req, s.views[n.dc], o.tried)
	if reason != dogwoodford.ReasonNone {
		o.done(answer{end: refused, unused: o.budget.left})
		return
	}
	g := s.node(o.run.service, target.Node)
	s.attempts++
	n.router.Sent(now, g.name)
	o.tried = append(o.tried, g.name)
	begin := s.now
	end := func(a answer) { o.answered(req, g, begin, a) }
	gone := func() { end(answer{end: lost, broken: true}) }
	in := &incoming{at: g, out: o, req: req, reply: func(a answer) {
		s.send(g.dc, n.dc, o.deadline, func() { end(a) }, gone)
	}}
	s.send(n.dc, g.dc, o.deadline, in.offer, gone)
}

func (s *sim) node(service int, name string) *node {
	for _, n := range s.byService[service] {
		if n.name == name {
			return n
		}
	}
	panic("dogreplay: unknown node " + name)
}

// answered ends an attempt and makes another if rules and budget permit it.
func (o *outgoing) answered(req dogwoodford.Request, g *node, begin time.Duration, a answer) {
	n, s := o.from, o.from.s
	now := s.time()
	n.router.Answered(now, g.name, s.now-begin, a.broken, a.load)
	if a.load != nil && !a.broken {
		n.table.AddReport(now, req, g.name, a.report)
	}
	if a.end == answered {
		n.router.Completed(req.Digest())
	}
	o.budget.left = a.unused
	// A failure that a target answered is not tried again: the child call that
	// failed had its own tries, and the work above it would be repeated.
	again := a.end == refused || a.end == lost && req.Idempotent()
	if again && s.now < o.deadline && o.budget.spend() {
		o.dispatch()
		return
	}
	a.unused = o.budget.left
	o.done(a)
}

// offer gives a dispatch to the admission of its target.
func (in *incoming) offer() {
	n, s := in.at, in.at.s
	if !n.up || n.draining {
		a := answer{end: refused, unused: in.req.Retries(), broken: true}
		if n.draining {
			a.load = &dogwoodford.Load{} // The limit 0 says that no new work is taken.
		}
		in.reply(a)
		return
	}
	v, releases := n.adm.Offer(s.time(), in.req)
	switch v.Action() {
	case dogwoodford.Run:
		in.start()
	case dogwoodford.Wait:
		n.pending[in.req.ID()] = in
		n.tick()
	case dogwoodford.Refuse:
		in.refuse(v)
	}
	n.release(releases)
}

func (in *incoming) refuse(v dogwoodford.Verdict) {
	a := in.answer(refused, in.req.Retries())
	a.hint = v.RetryAfter()
	in.reply(a)
}

// answer attaches the load and the cutoffs of the node.
func (in *incoming) answer(end jobEnd, unused int) answer {
	now := in.at.s.time()
	load := in.at.adm.Load(now)
	return answer{end: end, unused: unused, load: &load, report: in.at.table.UpstreamReport(now, in.req, load.Cutoff)}
}

func (in *incoming) start() {
	n, s, o := in.at, in.at.s, in.out
	budget := ledger{left: in.req.Retries()}
	begin := s.now
	j := &job{r: o.r, deadline: o.deadline, run: o.run}
	j.child = func(c *call, done func(bool)) {
		child := &outgoing{from: n, r: o.r, run: c, hop: o.hop + 1, deadline: o.deadline, budget: ledger{left: budget.share()}}
		child.done = func(a answer) {
			budget.refund(a.unused)
			done(a.end == answered)
		}
		child.dispatch()
	}
	j.done = func(end jobEnd) {
		sample := dogwoodford.Sample{Latency: s.now - begin, ChildTime: j.waited, Failed: end != answered}
		releases := n.adm.Done(s.time(), in.req.ID(), sample)
		if end == lost {
			in.reply(answer{end: lost, broken: true})
		} else {
			in.reply(in.answer(end, budget.left))
		}
		n.release(releases)
	}
	n.enter(j)
}

// release acts on queued requests that the admission let go.
func (n *node) release(releases []dogwoodford.Dequeued) {
	for _, rel := range releases {
		in := n.pending[rel.ID]
		delete(n.pending, rel.ID)
		switch {
		case rel.Verdict.Action() != dogwoodford.Run:
			in.refuse(rel.Verdict)
		case !n.up:
			// The target died before the start.
			n.release(n.adm.Done(n.s.time(), rel.ID, dogwoodford.Sample{Failed: true}))
			in.reply(answer{end: refused, unused: in.req.Retries(), broken: true})
		default:
			in.start()
		}
	}
}

func (n *node) tick() {
	if n.ticking {
		return
	}
	n.ticking = true
	n.s.after(expireEvery, func() {
		n.ticking = false
		n.release(n.adm.Expire(n.s.time()))
		if len(n.pending) > 0 {
			n.tick()
		}
	})
}
