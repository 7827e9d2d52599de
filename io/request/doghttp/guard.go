package doghttp

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/request/dogretry"
)

// peer serves a call from another node.
func (h *Handlers) peer(x *exchange) *answer {
	key := x.r.Header.Get(dogcall.HeaderPeerKey)
	if subtle.ConstantTimeCompare([]byte(key), []byte(h.cfg.PeerKey)) != 1 {
		h.cfg.Events.Event(x.ctx, EventBadPeer, "", nil)
		return notRun(dogwoodford.ReasonCredential)
	}
	p, err := dogcall.ParsePeer(x.r.Header, x.start)
	if err != nil {
		h.cfg.Events.Event(x.ctx, EventBadPeer, "", err)
		return badRequest(err)
	}
	service, u, err := splitPath(x.r.URL)
	if err != nil {
		return badRequest(err)
	}
	x.service, x.class = service, p.Spec.Class
	if service != h.cfg.Service {
		// The sender has an outdated record of the node at this address.
		return notRun(dogwoodford.ReasonNoTarget)
	}
	c := newCall(x, u)
	c.spec = p.Spec
	c.spec.Service = service
	c.spec.ContentSize = x.body.length
	c.epoch = p.Epoch
	// The guard runs no key twice; an owner depends on what the sender knows.
	c.fresh = x.role == RoleGuard || p.Spec.Attempt == 1
	x.span.SetCall(dogwoodford.NewRequest(c.spec))
	ctx, cancel := context.WithDeadline(x.ctx, c.spec.Deadline)
	var a *answer
	if x.role == RoleOwner {
		a = h.ownerForPeer(ctx, x, c)
	} else {
		a = h.guard(ctx, c)
	}
	a.onEnd(func(ending) { cancel() })
	return a
}

// ownerForPeer runs owner for a call from another node. It reads the start of
// the body first, so that a further attempt is possible.
func (h *Handlers) ownerForPeer(ctx context.Context, x *exchange, c *call) *answer {
	if err := c.body.readPrefix(nil); err != nil {
		return h.bodyReadRefusal(x, c, err)
	}
	c.spec.ContentSize = c.body.length
	return h.owner(ctx, h.cfg.Control.Snapshot(), c)
}

// guard queues a call and sends it to the node's own target. All its answers
// carry the report of the guard and the retries used.
func (h *Handlers) guard(ctx context.Context, c *call) *answer {
	a := h.admit(ctx, c)
	if a.resp == nil && a.info.Outcome == dogwoodford.OutcomeNotRun {
		h.cfg.Counters.CountGuardDecision(a.info.Reason, 0)
	}
	a.info.Report = &dogcall.Report{Load: h.cfg.Gate.Load(), DownstreamCutoff: h.cfg.Pressure.DownstreamCutoff(time.Now(), dogwoodford.NewRequest(c.spec))}
	if a.info.Reason == dogwoodford.ReasonDraining {
		a.info.Report.Load.Limit = 0 // Routers interpret 0 as "no new work".
	}
	return a
}

func (h *Handlers) admit(ctx context.Context, c *call) *answer {
	snap := h.cfg.Control.Snapshot()
	now := time.Now()
	spec := c.spec
	if reason := snap.ClosedReason(); reason != dogwoodford.ReasonNone {
		return notRun(reason)
	}
	if remaining, bad := snap.Quarantined(spec.Digest); bad && spec.Digest != 0 {
		return refusal(dogwoodford.OutcomeNotRun, dogwoodford.ReasonQuarantined, remaining)
	}
	if !spec.Key.IsZero() && now.Sub(spec.Key.Issued()) > keyRetention {
		return refusal(dogwoodford.OutcomeUnknown, dogwoodford.ReasonKeyAge, 0)
	}
	spec.ID = newToken()
	if v := h.cfg.Suspects.Enter(now, spec.ID, spec.Digest); v.Action() != dogwoodford.Run {
		return refusal(dogwoodford.OutcomeNotRun, v.Reason(), v.RetryAfter())
	}
	returned := false
	defer func() {
		if !returned { // After a panic, other suspects must still be able to run.
			h.cfg.Suspects.Leave(spec.ID, EndBroken)
		}
	}()
	a := h.queueAndRun(ctx, c, dogwoodford.NewRequest(spec))
	returned = true
	c.x.track(a)
	a.onEnd(func(e ending) { h.cfg.Suspects.Leave(spec.ID, endOf(ctx, a, e)) })
	return a
}

// endOf returns how a request ended at the target.
func endOf(ctx context.Context, a *answer, e ending) End {
	switch {
	case a.info.Outcome == dogwoodford.OutcomeRan && e == complete:
		return EndCompleted
	case e == truncated, a.info.Outcome == dogwoodford.OutcomeUnknown && a.info.Reason == dogwoodford.ReasonLost && ctx.Err() == nil:
		return EndBroken
	}
	return EndNotRun
}

// queueAndRun waits for admission and sends the call to the target.
func (h *Handlers) queueAndRun(ctx context.Context, c *call, r dogwoodford.Request) *answer {
	entered := time.Now()
	v := h.cfg.Gate.Enter(ctx, r)
	if v.Action() != dogwoodford.Run {
		return refusal(dogwoodford.OutcomeNotRun, v.Reason(), v.RetryAfter())
	}
	start := time.Now()
	h.cfg.Counters.CountGuardDecision(dogwoodford.ReasonNone, start.Sub(entered))
	if !r.Key().IsZero() && !h.recent.add(start, r.Key()) {
		h.cfg.Gate.Leave(r.ID(), dogwoodford.Sample{Cancelled: true})
		h.cfg.Events.Event(ctx, EventDuplicate, r.Root(), nil)
		return refusal(dogwoodford.OutcomeUnknown, dogwoodford.ReasonDuplicate, 0)
	}
	p := &inProgress{ctx: ctx, req: r, ledger: dogretry.NewLedger(r.Retries()), traceparent: c.traceparent}
	h.register(r.ID(), p)
	returned := false
	defer func() {
		if !returned { // After a panic, the slot must be released.
			h.unregister(r.ID())
			h.cfg.Gate.Leave(r.ID(), dogwoodford.Sample{Latency: time.Since(start), Failed: true})
		}
	}()
	a := h.sendToTarget(ctx, c, p)
	returned = true
	c.x.track(a)
	if a.info.Outcome == dogwoodford.OutcomeNotRun && !r.Key().IsZero() {
		h.recent.remove(r.Key())
	}
	a.onEnd(func(e ending) {
		h.unregister(r.ID())
		now := time.Now()
		h.cfg.Counters.CountTargetCall(now.Sub(start))
		h.cfg.Gate.Leave(r.ID(), dogwoodford.Sample{
			Latency:   now.Sub(start),
			ChildTime: p.children.elapsed(now),
			Failed:    e == truncated || a.status >= 500,
			Cancelled: e == aborted || ctx.Err() == context.Canceled,
		})
	})
	return a
}

// sendToTarget sends the call to the node's own target and classifies the
// result.
func (h *Handlers) sendToTarget(ctx context.Context, c *call, p *inProgress) *answer {
	out, err := c.request(ctx, h.cfg.TargetAddress, "")
	if err != nil {
		return notRun(dogwoodford.ReasonRetries)
	}
	dogcall.FormatTarget(out.Header, p.req.Spec(), p.req.ID(), c.traceparent, time.Now())
	resp, stage, err := h.cfg.Target.Do(out)
	if err != nil {
		a := failureAnswer(ctx, c, stage)
		a.info.RetriesUsed = p.ledger.Close()
		return a
	}
	claim := resp.Header.Get(dogcall.HeaderOutcome)
	facts := dogoutcome.Facts{Stage: stage, Status: resp.StatusCode, ClaimedOutcome: claim}
	if resp.StatusCode == http.StatusServiceUnavailable && claim == dogwoodford.OutcomeNotRun.String() {
		facts.ChildDispatched = !p.ledger.Seal()
	}
	info := dogcall.Answer{Outcome: dogoutcome.Classify(facts), RetriesUsed: p.ledger.Close()}
	if info.Outcome == dogwoodford.OutcomeNotRun {
		info.Reason = dogwoodford.ReasonOverload
	}
	a := h.responseAnswer(ctx, c, resp, info)
	a.info.RetriesUsed = info.RetriesUsed
	return a
}
