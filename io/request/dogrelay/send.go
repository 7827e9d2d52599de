package dogrelay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/process/dogbudget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
)

// minTimeLeft is the minimum time until the deadline for a further attempt. With
// less, a response in time is unlikely.
const minTimeLeft = 30 * time.Millisecond

// sending is the state of a call that is sent to one target after another.
type sending struct {
	route   *dogtable.Route
	tried   []string // Nodes that the call was sent to.
	reached int      // Targets that the call may have reached.
}

// record records the result of one attempt.
func (s *sending) record(res *result) {
	if res.mayHaveArrived {
		s.reached++
	}
}

// pick returns the target of the next attempt at a call, false if there is none.
func (h *Handlers) pick(c *call, s *sending) (dogwoodford.Target, bool) {
	c.attempt++
	targets := h.cfg.Fleet.Targets()
	if c.tester != "" {
		targets = named(targets, c.tester)
	}
	t, reason := h.cfg.Router.Pick(c.request(), targets, s.tried, "")
	if reason != dogwoodford.ReasonNone {
		return dogwoodford.Target{}, false
	}
	s.tried = append(s.tried, t.Node)
	return t, true
}

// named returns the target beside the node with this name, none if it is not there.
func named(targets []dogwoodford.Target, node string) []dogwoodford.Target {
	i := slices.IndexFunc(targets, func(t dogwoodford.Target) bool { return t.Node == node })
	if i < 0 {
		return nil
	}
	return []dogwoodford.Target{targets[i]}
}

// sendWithRetries sends a call to one target after another until one answers
// without a failure of its own or no further attempt is permitted.
func (h *Handlers) sendWithRetries(ctx context.Context, c *call, route *dogtable.Route) *result {
	var answer *result
	s := &sending{route: route}
	for len(s.tried) < maxGuards {
		t, ok := h.pick(c, s)
		if !ok {
			break
		}
		res := h.attemptHedged(ctx, c, t, s)
		answer = preferredResult(answer, res)
		if !h.mayRetry(ctx, c, s, res) {
			break
		}
	}
	if answer == nil {
		return refused(dogwoodford.ReasonNoTarget, noTargetRetryAfter)
	}
	return answer
}

// preferredResult returns the result that the caller gets, of last and the later
// next, and closes the other; last is nil before the first attempt. "Not run"
// does not replace another outcome, because the earlier attempt may have run.
func preferredResult(last, next *result) *result {
	if last == nil {
		return next
	}
	if next.outcome == dogwoodford.OutcomeNotRun && last.outcome != dogwoodford.OutcomeNotRun {
		next.discard()
		return last
	}
	last.discard()
	return next
}

// noTargetRetryAfter is the retry hint if no target of the service is available.
// A target that starts becomes known to other nodes after about this time.
const noTargetRetryAfter = time.Second

// mayRetry reports whether a call may be sent to one more target after res.
func (h *Handlers) mayRetry(ctx context.Context, c *call, s *sending, res *result) bool {
	if res.outcome == dogwoodford.OutcomeRan && !res.targetFailed() {
		// Failed child calls were already retried by the entry that sent them, as
		// far as permitted.
		return false
	}
	if ctx.Err() != nil || time.Until(c.deadline) < minTimeLeft || !c.body.replayable() {
		return false
	}
	if res.outcome != dogwoodford.OutcomeNotRun && !c.kind.Repeatable() {
		return false
	}
	if res.reason == dogwoodford.ReasonQuarantined {
		return false // Other guards know of the crashes too.
	}
	if res.mayHaveArrived && h.cfg.Crashes.QuarantineRemaining(c.content) > 0 {
		return false // The content may have crashed that target.
	}
	if !res.mayHaveArrived {
		return true // Asking another guard puts no load on a target.
	}
	return s.reached < s.route.Attempts() && h.cfg.Budget.Allow(dogbudget.Request{
		Service: c.service, Root: c.lineage.hop == 0, Priority: c.lineage.priority,
	})
}

// attempt sends a call to the guard of one target.
func (h *Handlers) attempt(ctx context.Context, c *call, t dogwoodford.Target) *result {
	start := time.Now()
	var res *result
	if t.Node == h.cfg.Node {
		res = h.guardCall(ctx, c)
		h.cfg.Pressure.AddReport(c.request(), t.Node, res.load.Cutoff, res.downstreamCutoff)
		h.addRuns(c, t, res)
	} else {
		res = h.sendRemote(ctx, c, t)
	}
	failed := res.outcome == dogwoodford.OutcomeUnknown || res.targetFailed() || res.reason == dogwoodford.ReasonTargetShed
	if ctx.Err() == context.Canceled {
		failed = false // The caller disconnected, which is no failure of the target.
	}
	h.cfg.Router.RecordDispatchEnd(t.Node, time.Since(start), failed, res.load)
	return res
}

// sendRemote sends a call to the guard on another node.
func (h *Handlers) sendRemote(ctx context.Context, c *call, t dogwoodford.Target) *result {
	out := c.outgoing(ctx, t.Peer)
	h.formatCall(out.Header, c, time.Now())
	h.advised.of(t.Node).format(out.Header)
	h.cfg.Fleet.RequestSent(t.Node)
	asked := h.moment()
	resp, stage, err := h.cfg.Peers.Do(out)
	h.cfg.Fleet.RequestEnded(t.Node, err == nil)
	if err != nil {
		return h.handlePeerError(ctx, c, t, stage, err)
	}
	h.readFresh(ctx, c, t, resp.Header, asked)
	return h.handlePeerResponse(ctx, c, t, resp)
}

// addRuns passes on the runs that a guard reported with its answer to a request of a caller.
func (h *Handlers) addRuns(c *call, t dogwoodford.Target, res *result) {
	if c.lineage.hop == 0 {
		h.cfg.Trees.AddRuns(c.lineage.class, t.Node, res.runs)
	}
}

// handlePeerError returns the result of a call that the guard did not answer.
func (h *Handlers) handlePeerError(ctx context.Context, c *call, t dogwoodford.Target, stage dogoutcome.Stage, err error) *result {
	if ctx.Err() == nil {
		h.cfg.Fleet.MarkUnreachable(t.Node, !dogconn.HostResponded(err))
	}
	h.cfg.Log.Event(ctx, doglog.PeerUnanswered, idAttr(c.id), nodeAttr(t.Node), stageAttr(stage), doglog.Err(err))
	if dogoutcome.Classify(dogoutcome.Facts{Stage: stage}) == dogwoodford.OutcomeNotRun {
		return refused(dogwoodford.ReasonNoTarget, noTargetRetryAfter)
	}
	return unknownOutcome(noResponseReason(ctx))
}

// noResponseReason returns why a request that may have run got no response.
func noResponseReason(ctx context.Context) dogwoodford.Reason {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return dogwoodford.ReasonDeadline
	case context.Canceled:
		return dogwoodford.ReasonCancelled
	}
	return dogwoodford.ReasonLost
}

// recordReport records what the guard of t tells with a result: what its target said, the
// runs of the class, which are added to res, the load, and whether it accepts requests.
func (h *Handlers) recordReport(ctx context.Context, c *call, t dogwoodford.Target, in http.Header, res *result) {
	malformed := func(err error) {
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), nodeAttr(t.Node), doglog.Err(err))
	}
	if a, err := parseAdvice(in); err != nil {
		malformed(err)
	} else if res.outcome == dogwoodford.OutcomeRan {
		h.advised.record(t.Node, a)
	}
	var err error
	if res.runs, err = parseRuns(in); err != nil {
		malformed(err)
	}
	h.addRuns(c, t, res)
	h.cfg.Pressure.AddReport(c.request(), t.Node, res.load.Cutoff, res.downstreamCutoff)
	if res.reason == dogwoodford.ReasonNoTarget || res.reason == dogwoodford.ReasonDraining {
		h.cfg.Fleet.MarkUnreachable(t.Node, false)
	} else {
		h.cfg.Fleet.MarkReachable(t.Node)
	}
}

// handlePeerResponse returns the result that the guard reports and reads the
// body of its response.
func (h *Handlers) handlePeerResponse(ctx context.Context, c *call, t dogwoodford.Target, resp *http.Response) *result {
	res, version, err := parseAnswer(resp.Header)
	if err != nil {
		_ = resp.Body.Close()
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), nodeAttr(t.Node), doglog.Err(err))
		return unknownOutcome(dogwoodford.ReasonBadAnswer)
	}
	h.cfg.Fleet.ConfigSeen(version, t.Peer)
	h.recordReport(ctx, c, t, resp.Header, res)
	if res.outcome != dogwoodford.OutcomeRan {
		_ = resp.Body.Close()
		res.mayHaveArrived = res.outcome == dogwoodford.OutcomeUnknown || res.reason == dogwoodford.ReasonTargetShed
		return res
	}
	b, err := h.buffers.readAnswer(resp)
	if err != nil {
		_ = resp.Body.Close()
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), nodeAttr(t.Node), doglog.Err(err))
		return unknownOutcome(dogwoodford.ReasonBadAnswer)
	}
	res.mayHaveArrived, res.status, res.header, res.body = true, resp.StatusCode, keepEndToEnd(resp.Header), b
	res.release = func() { _ = resp.Body.Close() }
	return res
}
