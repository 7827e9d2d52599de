package dogrelay

import (
	"context"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
)

// leastLeft is the time that must be left for a further attempt. With less, an
// answer in time is unlikely.
const leastLeft = 30 * time.Millisecond

// send sends a call to one target after another until one answers or no
// further attempt is permitted.
func (h *Handlers) send(ctx context.Context, c *call, route *dogtable.Route) *result {
	var tried []string
	var answer *result
	reached := 0 // Targets that the request may have reached.
	for guards := 0; guards < maxGuards; guards++ {
		c.attempt++
		t, reason := h.cfg.Router.Pick(c.request(), h.cfg.Fleet.Targets(), tried, "")
		if reason != dogwoodford.ReasonNone {
			break
		}
		res := h.attempt(ctx, c, t)
		answer = better(answer, res)
		tried = append(tried, t.Node)
		if res.arrived {
			reached++
		}
		if !h.again(ctx, c, route, res, reached) {
			break
		}
	}
	if answer == nil {
		return refused(dogwoodford.ReasonNoTarget, noTargetRetry)
	}
	return answer
}

// better returns what the caller gets of two results, the later of which is
// next, and ends the other. A refusal as not run would not be true after an
// attempt that may have run.
func better(last, next *result) *result {
	if last == nil {
		return next
	}
	if next.outcome == dogwoodford.NotRun && last.outcome != dogwoodford.NotRun {
		next.end()
		return last
	}
	last.end()
	return next
}

// noTargetRetry is when a caller may come back if no target of the service is
// known. A target that starts is known after about this time.
const noTargetRetry = time.Second

// again reports whether a call may be sent to one more target.
func (h *Handlers) again(ctx context.Context, c *call, route *dogtable.Route, res *result, reached int) bool {
	if res.outcome == dogwoodford.Ran && !res.targetFailed() {
		// What failed further down was tried again there, as far as it may be.
		return false
	}
	if ctx.Err() != nil || time.Until(c.deadline) < leastLeft || !c.body.replayable() {
		return false
	}
	if res.outcome != dogwoodford.NotRun && c.kind != dogtable.Idempotent {
		return false
	}
	if res.reason == dogwoodford.ReasonQuarantined {
		return false // Other guards know of the crashes too.
	}
	if !res.arrived {
		return true // A further guard costs no target anything.
	}
	return reached < route.Attempts() && h.cfg.Budget.Allow(c.service, c.lineage.hop == 0)
}

// attempt sends a call to the guard of one target.
func (h *Handlers) attempt(ctx context.Context, c *call, t dogwoodford.Target) *result {
	start := time.Now()
	var res *result
	if t.Node == h.cfg.Node {
		res = h.guard(ctx, c)
		h.cfg.Pressure.Reported(c.request(), t.Node, res.load.Cutoff, res.below)
	} else {
		res = h.remote(ctx, c, t)
	}
	failed := res.outcome == dogwoodford.Unknown || res.targetFailed() || res.reason == dogwoodford.ReasonTargetShed
	if ctx.Err() == context.Canceled {
		failed = false // The caller left; that says nothing of the target.
	}
	h.cfg.Router.Answered(t.Node, time.Since(start), failed, res.load)
	return res
}

// remote sends a call to the guard on another machine.
func (h *Handlers) remote(ctx context.Context, c *call, t dogwoodford.Target) *result {
	sendCtx, cancel := ctx, func() {}
	if c.kind == dogtable.Idempotent {
		// There is no use in waiting for a node that is found to be dark.
		var stop context.CancelFunc
		sendCtx, stop = context.WithCancel(ctx)
		unhook := context.AfterFunc(h.cfg.Fleet.Alive(t.Node), stop)
		cancel = func() { unhook(); stop() }
	}
	out := c.outgoing(sendCtx, t.Peer)
	h.formatCall(out.Header, c, time.Now())
	h.cfg.Fleet.Sent(t.Node)
	resp, stage, err := h.cfg.Peers.Do(out)
	h.cfg.Fleet.Heard(t.Node, err == nil)
	if err != nil {
		cancel()
		return h.peerFailed(ctx, c, t, stage, err)
	}
	res := h.peerAnswered(ctx, c, t, resp)
	res.onEnd(cancel)
	return res
}

func (h *Handlers) peerFailed(ctx context.Context, c *call, t dogwoodford.Target, stage dogoutcome.Stage, err error) *result {
	if ctx.Err() == nil {
		h.cfg.Fleet.Unreachable(t.Node, !dogconn.Refused(err))
	}
	h.cfg.Log.Event(ctx, doglog.PeerUnanswered, idAttr(c.id), nodeAttr(t.Node), stageAttr(stage), doglog.Err(err))
	if dogoutcome.Classify(dogoutcome.Facts{Stage: stage}) == dogwoodford.NotRun {
		return refused(dogwoodford.ReasonNoTarget, noTargetRetry)
	}
	return lost(unansweredReason(ctx))
}

// unansweredReason returns why a request that may have run got no answer.
func unansweredReason(ctx context.Context) dogwoodford.Reason {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return dogwoodford.ReasonDeadline
	case context.Canceled:
		return dogwoodford.ReasonCancelled
	}
	return dogwoodford.ReasonLost
}

func (h *Handlers) peerAnswered(ctx context.Context, c *call, t dogwoodford.Target, resp *http.Response) *result {
	res, version, err := parseAnswer(resp.Header)
	if err != nil {
		_ = resp.Body.Close()
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), nodeAttr(t.Node), doglog.Err(err))
		return lost(dogwoodford.ReasonBadAnswer)
	}
	h.cfg.Fleet.ConfigSeen(version, t.Peer)
	h.cfg.Pressure.Reported(c.request(), t.Node, res.load.Cutoff, res.below)
	if res.reason == dogwoodford.ReasonNoTarget || res.reason == dogwoodford.ReasonDraining {
		h.cfg.Fleet.Unreachable(t.Node, false)
	} else {
		h.cfg.Fleet.Reachable(t.Node)
	}
	if res.outcome != dogwoodford.Ran {
		_ = resp.Body.Close()
		res.arrived = res.outcome == dogwoodford.Unknown || res.reason == dogwoodford.ReasonTargetShed
		return res
	}
	b, err := readBody(resp.Body, resp.ContentLength)
	if err != nil {
		_ = resp.Body.Close()
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), nodeAttr(t.Node), doglog.Err(err))
		return lost(dogwoodford.ReasonBadAnswer)
	}
	res.arrived, res.status, res.header, res.body = true, resp.StatusCode, keepEndToEnd(resp.Header), b
	res.release = func() { _ = resp.Body.Close() }
	return res
}
