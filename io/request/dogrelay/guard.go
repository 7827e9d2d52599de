package dogrelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

// Guard returns the handler for requests of other nodes.
func (h *Handlers) Guard() http.Handler { return http.HandlerFunc(h.serveGuard) }

func (h *Handlers) serveGuard(w http.ResponseWriter, r *http.Request) {
	c, err := h.parseCall(r, time.Now())
	if err != nil {
		h.cfg.Log.Event(r.Context(), doglog.PeerCallRejected, doglog.Err(err))
		h.reply(w, refused(dogwoodford.ReasonBadRequest, 0))
		return
	}
	defer h.release()
	if !h.hold() {
		h.reply(w, h.full(c))
		return
	}
	c.body = streamed(r.Body, r.ContentLength)
	h.reply(w, h.guard(r.Context(), c))
}

// full refuses a call for which the node has no memory.
func (h *Handlers) full(c *call) *result {
	res := refused(dogwoodford.ReasonOverload, fullRetry)
	load := h.cfg.Gate.Load()
	res.load = &load
	h.cfg.Metrics.AddTo(dogmetric.GuardRefusals, string(res.reason), 1)
	h.cfg.Log.Event(c.source.Context(), doglog.GuardRefused, idAttr(c.id), reasonAttr(res.reason), outcomeAttr(res.outcome),
		loadAttr(load), heldAttr(h.progress.Load()), leftAttr(c, time.Now()))
	return res
}

// fullRetry is when a caller may come back to a node that holds all requests
// that it has memory for. A good part of them has ended by then.
const fullRetry = time.Second

func (h *Handlers) reply(w http.ResponseWriter, res *result) {
	defer res.end()
	res.writePeer(w, h.cfg.Tables.Version())
}

// guard queues a call and sends it to the target beside the node.
func (h *Handlers) guard(ctx context.Context, c *call) *result {
	res := h.admit(ctx, c)
	load := h.cfg.Gate.Load()
	res.load = &load
	res.below = h.cfg.Pressure.Upstream(c.request(), load.Cutoff)
	if res.outcome != dogwoodford.Ran {
		h.cfg.Metrics.AddTo(dogmetric.GuardRefusals, string(res.reason), 1)
		h.cfg.Log.Event(ctx, doglog.GuardRefused, idAttr(c.id), reasonAttr(res.reason), outcomeAttr(res.outcome),
			loadAttr(load), leftAttr(c, time.Now()), contentAttr(c))
	}
	return res
}

func (h *Handlers) admit(ctx context.Context, c *call) *result {
	if c.service != h.cfg.Service {
		// The address belonged to a node of another service before.
		return refused(dogwoodford.ReasonNoTarget, 0)
	}
	if _, reason := h.cfg.Local.Current(); reason != dogwoodford.ReasonNone {
		return refused(reason, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(answerGrace-hopGrace))
	r := c.request()
	entered := time.Now()
	v := h.cfg.Gate.Enter(ctx, r)
	if v.Action() != dogwoodford.Run {
		cancel()
		return refused(v.Reason(), v.RetryAfter())
	}
	start := time.Now()
	h.cfg.Metrics.Observe(dogmetric.QueueDelay, start.Sub(entered))
	running := h.running.add(c)
	res := h.dispatch(ctx, c)
	res.onEnd(func() {
		cancelled := ctx.Err() != nil
		cancel()
		h.running.remove(c.id, running)
		children, _ := running.children(time.Now())
		h.cfg.Gate.Leave(r.ID(), dogwoodford.Sample{
			Latency: time.Since(start), ChildTime: children, Cancelled: cancelled || res.outcome == dogwoodford.NotRun,
			Failed: res.outcome == dogwoodford.Unknown || res.status >= http.StatusInternalServerError,
		})
	})
	_, res.childFailed = running.children(time.Now())
	if res.body == nil || res.body.rest == nil {
		res.end()
	}
	return res
}

// dispatch sends a call to the target unless that has changed while the call
// waited.
func (h *Handlers) dispatch(ctx context.Context, c *call) *result {
	t, reason := h.cfg.Local.Current()
	if reason != dogwoodford.ReasonNone {
		return refused(reason, 0)
	}
	if left := h.cfg.Crashes.Quarantined(c.digest); left > 0 {
		return refused(dogwoodford.ReasonQuarantined, left)
	}
	now := time.Now()
	if !now.Before(c.deadline) {
		return refused(dogwoodford.ReasonDeadline, 0)
	}
	if c.kind != dogtable.Idempotent {
		// A request that may run once is left to end at its target, as the
		// caller cannot repeat it.
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(context.WithoutCancel(ctx), c.deadline.Add(answerGrace-hopGrace))
		defer stop()
	}
	out := c.outgoing(ctx, h.cfg.TargetAddress)
	out.Header[h.cfg.Headers.Deadline] = []string{strconv.FormatInt(max(1, c.left(now)), 10)}
	out.Header[h.cfg.Headers.ExpectInstance] = []string{t.ID}
	out.Header[h.cfg.Headers.Caller] = []string{c.caller}
	h.cfg.Crashes.Started(c.id, c.digest)
	resp, stage, err := h.cfg.Target.Do(out)
	if err != nil {
		h.cfg.Crashes.Ended(c.id, stage == dogoutcome.Written && ctx.Err() == nil)
		return h.unanswered(ctx, c, t, stage, err)
	}
	res := h.answered(ctx, c, t, resp)
	h.cfg.Crashes.Ended(c.id, res.outcome == dogwoodford.Unknown)
	if res.outcome == dogwoodford.Ran {
		h.cfg.Crashes.Completed(c.digest)
	}
	return res
}

// unanswered is the result of a call without an answer.
func (h *Handlers) unanswered(ctx context.Context, c *call, t dogtarget.Target, stage dogoutcome.Stage, err error) *result {
	h.cfg.Log.Event(ctx, doglog.TargetUnanswered, idAttr(c.id), doglog.Err(err), stageAttr(stage), targetAttr(t.ID))
	if dogoutcome.Classify(dogoutcome.Facts{Stage: stage}) == dogwoodford.NotRun {
		if stage == dogoutcome.DialFailed && ctx.Err() == nil {
			h.cfg.Local.Lost(t.ID)
		}
		return refused(dogwoodford.ReasonNoTarget, 0)
	}
	return lost(unansweredReason(ctx))
}

// answered checks the answer of the target and reads its body.
func (h *Handlers) answered(ctx context.Context, c *call, t dogtarget.Target, resp *http.Response) *result {
	hd := h.cfg.Headers
	if got := resp.Header.Get(hd.Attempt); got != c.id && c.id != "" && resp.StatusCode != http.StatusMisdirectedRequest {
		// Closing the body unread closes the connection, whose next answer
		// would be wrong as well.
		_ = resp.Body.Close()
		return h.badAnswer(ctx, c, "another attempt")
	}
	notRun := resp.Header.Get(hd.NotExecuted) != ""
	if resp.StatusCode == http.StatusMisdirectedRequest {
		h.cfg.Local.Lost(t.ID)
		notRun = true
	}
	b, err := readBody(resp.Body, resp.ContentLength)
	if err != nil {
		_ = resp.Body.Close()
		if notRun {
			return &result{outcome: dogwoodford.NotRun, reason: dogwoodford.ReasonTargetShed, arrived: true}
		}
		return h.badAnswer(ctx, c, err.Error())
	}
	h.cfg.Local.Answered(t.ID)
	if notRun && resp.StatusCode != http.StatusBadRequest {
		_ = resp.Body.Close()
		return &result{outcome: dogwoodford.NotRun, reason: dogwoodford.ReasonTargetShed, arrived: true}
	}
	if resp.StatusCode/100 == 2 && resp.Header.Get(hd.Seal) == "" {
		_ = resp.Body.Close()
		return h.badAnswer(ctx, c, "no seal")
	}
	return &result{
		outcome: dogwoodford.Ran, arrived: true, status: resp.StatusCode,
		header: keepEndToEnd(resp.Header), body: b, release: func() { _ = resp.Body.Close() },
	}
}

func (h *Handlers) badAnswer(ctx context.Context, c *call, problem string) *result {
	h.cfg.Metrics.Add(dogmetric.MalformedAnswers, 1)
	h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), problemAttr(problem))
	return lost(dogwoodford.ReasonBadAnswer)
}
