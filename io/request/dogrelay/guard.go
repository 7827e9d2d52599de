package dogrelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/connection/dogpipeline"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

// Guard returns the handler for requests that other nodes forward.
func (h *Handlers) Guard() http.Handler { return http.HandlerFunc(h.serveGuard) }

func (h *Handlers) serveGuard(w http.ResponseWriter, r *http.Request) {
	c, err := h.parseCall(r, time.Now().Add(-h.lag()))
	if err != nil {
		h.cfg.Log.Event(r.Context(), doglog.PeerCallRejected, doglog.Err(err))
		h.reply(w, r, refused(dogwoodford.ReasonBadRequest, 0))
		return
	}
	defer h.release()
	if !h.acquire() {
		h.reply(w, r, h.refuseFull(c))
		return
	}
	if a, err := parseAdvice(r.Header); err == nil {
		h.adopt(r.Context(), a)
	} else {
		h.cfg.Log.Event(r.Context(), doglog.PeerCallRejected, doglog.Err(err))
	}
	// The body is read before the call is queued: behind it, the server sees whether
	// the entry leaves.
	dogpipeline.BoundBody(r.Context(), c.deadline)
	if c.body, err = h.buffers.read(r.Body, r.ContentLength); err != nil {
		h.reply(w, r, refused(dogwoodford.ReasonCancelled, 0))
		return
	}
	defer c.body.free()
	h.reply(w, r, h.guardCall(r.Context(), c))
}

// refuseFull refuses a call because the node is at its bound of requests in
// progress.
func (h *Handlers) refuseFull(c *call) *result {
	res := refused(dogwoodford.ReasonOverload, fullRetryAfter)
	load := h.cfg.Gate.Load()
	res.load = &load
	h.cfg.Metrics.AddTo(dogmetric.GuardRefusals, string(res.reason), 1)
	h.cfg.Log.Event(c.source.Context(), doglog.GuardRefused, idAttr(c.id), reasonAttr(res.reason), outcomeAttr(res.outcome),
		loadAttr(load), heldAttr(h.inProgress.Load()), leftAttr(c, time.Now()))
	return res
}

// fullRetryAfter is the retry hint of a node that has as many requests in
// progress as its memory allows. A good part of them has ended by then.
const fullRetryAfter = time.Second

func (h *Handlers) reply(w http.ResponseWriter, r *http.Request, res *result) {
	defer res.discard()
	if res.outcome == dogwoodford.OutcomeRan {
		h.advised.of(h.cfg.Node).format(w.Header())
	}
	h.formatFresh(w.Header())
	if err := res.writePeer(w, h.cfg.Tables.Version()); err != nil {
		h.breakOff(r, err)
	}
}

// breakOff aborts the connection of r, as the answer could not be written whole because of
// err.
func (h *Handlers) breakOff(r *http.Request, err error) {
	if r.Context().Err() == nil { // The client has not left.
		h.cfg.Metrics.Add(dogmetric.TruncatedAnswers, 1)
		h.cfg.Log.Event(r.Context(), doglog.AnswerTruncated, idAttr(r.Header.Get(h.cfg.Headers.Attempt)), doglog.Err(err))
	}
	panic(http.ErrAbortHandler)
}

// guardCall queues a call and sends it to the local target. The result carries
// the load of the target.
func (h *Handlers) guardCall(ctx context.Context, c *call) *result {
	res := h.admit(ctx, c)
	h.recordDeparture(ctx, res.outcome != dogwoodford.OutcomeNotRun, guardSent, guardUnsent)
	load := h.cfg.Gate.Load()
	res.load = &load
	res.downstreamCutoff = h.cfg.Pressure.DownstreamCutoff(c.request(), load.Cutoff)
	if c.lineage.hop == 0 {
		if res.outcome == dogwoodford.OutcomeRan {
			h.cfg.Trees.RecordRun(c.lineage.class, res.childFailed && res.status >= http.StatusInternalServerError)
		}
		res.runs = h.cfg.Trees.Runs(c.lineage.class)
	}
	if res.outcome != dogwoodford.OutcomeRan {
		h.cfg.Metrics.AddTo(dogmetric.GuardRefusals, string(res.reason), 1)
		h.cfg.Log.Event(ctx, doglog.GuardRefused, idAttr(c.id), reasonAttr(res.reason), outcomeAttr(res.outcome),
			loadAttr(load), leftAttr(c, time.Now()), contentAttr(c))
	}
	return res
}

// admit refuses a call or dispatches it once the gate lets it run.
func (h *Handlers) admit(ctx context.Context, c *call) *result {
	if c.service != h.cfg.Service {
		// The entry uses an outdated address: the node that had it before served
		// another service.
		return refused(dogwoodford.ReasonNoTarget, 0)
	}
	if _, reason := h.cfg.Local.Current(); reason != dogwoodford.ReasonNone {
		return refused(reason, 0)
	}
	ctx, cancel := h.withDeadline(ctx, c.deadline.Add(answerGrace-hopGrace))
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
	res.onClose(func() {
		cancelled := ctx.Err() != nil
		cancel()
		h.running.remove(c.id, running)
		children, _ := running.childStats(time.Now())
		h.cfg.Gate.Leave(r.ID(), dogwoodford.Sample{
			Latency: time.Since(start), ChildTime: children, Cancelled: cancelled || res.outcome == dogwoodford.OutcomeNotRun,
			Failed: res.outcome == dogwoodford.OutcomeUnknown || res.status >= http.StatusInternalServerError,
		})
	})
	_, res.childFailed = running.childStats(time.Now())
	if res.body == nil || res.body.rest == nil {
		res.close()
	}
	return res
}

// dispatch sends a call to the target. It repeats the checks whose result may
// have changed while the call was queued.
func (h *Handlers) dispatch(ctx context.Context, c *call) *result {
	t, reason := h.cfg.Local.Current()
	if reason != dogwoodford.ReasonNone {
		return refused(reason, 0)
	}
	if !time.Now().Before(c.deadline) {
		return refused(dogwoodford.ReasonDeadline, 0)
	}
	// The entry may know of a completion that this node does not know of.
	if remaining := h.cfg.Crashes.QuarantineRemaining(c.content); remaining > 0 && !c.cleared {
		if !h.cfg.Crashes.TestQuarantined(c.content) {
			return refused(dogwoodford.ReasonQuarantined, remaining)
		}
		h.cfg.Log.Event(ctx, doglog.QuarantineTested, idAttr(c.id), serviceAttr(c.service))
	}
	if !c.kind.Repeatable() {
		// A request that is not idempotent is not cancelled with its caller but
		// runs until the deadline, because the caller cannot repeat it.
		var stop context.CancelFunc
		ctx, stop = h.withDeadline(context.WithoutCancel(ctx), c.deadline.Add(answerGrace-hopGrace))
		res := h.send(ctx, c, t)
		res.onClose(stop) // The rest of a long response is read until then.
		return res
	}
	return h.send(ctx, c, t)
}

// send sends a call to the target t.
func (h *Handlers) send(ctx context.Context, c *call, t dogtarget.Target) *result {
	out := c.outgoing(ctx, h.cfg.TargetAddress)
	out.Header[h.cfg.Headers.Deadline] = []string{strconv.FormatInt(max(1, c.remainingMillis(time.Now())), 10)}
	out.Header[h.cfg.Headers.ExpectInstance] = []string{t.ID}
	out.Header[h.cfg.Headers.Caller] = []string{c.caller}
	h.formatWorkspace(out.Header, c)
	h.cfg.Crashes.DispatchStarted(c.id, c.content)
	resp, stage, err := h.cfg.Target.Do(out)
	if err != nil {
		h.cfg.Crashes.DispatchEnded(c.id, stage == dogoutcome.Written && ctx.Err() == nil)
		return h.handleTargetError(ctx, c, t, stage, err)
	}
	res := h.handleTargetResponse(ctx, c, t, resp)
	h.cfg.Crashes.DispatchEnded(c.id, res.outcome == dogwoodford.OutcomeUnknown)
	if res.completed() {
		h.cfg.Crashes.RecordCompletion(c.content)
	}
	return res
}

// handleTargetError returns the result of a call that the target did not answer.
func (h *Handlers) handleTargetError(ctx context.Context, c *call, t dogtarget.Target, stage dogoutcome.Stage, err error) *result {
	h.cfg.Log.Event(ctx, doglog.TargetUnanswered, idAttr(c.id), doglog.Err(err), stageAttr(stage), targetAttr(t.ID))
	if dogoutcome.Classify(dogoutcome.Facts{Stage: stage}) == dogwoodford.OutcomeNotRun {
		if stage == dogoutcome.DialFailed && ctx.Err() == nil {
			h.cfg.Local.MarkFailed(t.ID)
		}
		return refused(dogwoodford.ReasonNoTarget, 0)
	}
	return unknownOutcome(noResponseReason(ctx))
}

// handleTargetResponse validates the response of the target and reads its body.
func (h *Handlers) handleTargetResponse(ctx context.Context, c *call, t dogtarget.Target, resp *http.Response) *result {
	hd := h.cfg.Headers
	if got := resp.Header.Get(hd.Attempt); got != c.id && c.id != "" && !isPlainMisdirected(resp, got) {
		// Closing the body unread closes the connection, whose next response
		// would belong to another request as well.
		_ = resp.Body.Close()
		return h.badAnswer(ctx, c, "response to another attempt")
	}
	if resp.StatusCode != http.StatusMisdirectedRequest {
		h.follow(ctx, h.adviceOf(ctx, t.ID, resp.Header))
	}
	notRun := resp.Header.Get(hd.NotExecuted) != ""
	if resp.StatusCode == http.StatusMisdirectedRequest {
		h.cfg.Local.MarkFailed(t.ID)
		notRun = true
	}
	b, err := h.buffers.readAnswer(resp)
	if err != nil {
		_ = resp.Body.Close()
		if notRun {
			return &result{outcome: dogwoodford.OutcomeNotRun, reason: dogwoodford.ReasonTargetShed, mayHaveArrived: true}
		}
		return h.badAnswer(ctx, c, err.Error())
	}
	h.cfg.Local.RecordAnswer(t.ID)
	if notRun && resp.StatusCode != http.StatusBadRequest {
		b.free()
		_ = resp.Body.Close()
		return &result{outcome: dogwoodford.OutcomeNotRun, reason: dogwoodford.ReasonTargetShed, mayHaveArrived: true}
	}
	if resp.StatusCode/100 == 2 && resp.Header.Get(hd.Seal) == "" {
		b.free()
		_ = resp.Body.Close()
		return h.badAnswer(ctx, c, "response without seal")
	}
	return &result{
		outcome: dogwoodford.OutcomeRan, mayHaveArrived: true, status: withoutPromise(resp.StatusCode),
		header: keepEndToEnd(resp.Header), body: b, release: func() { _ = resp.Body.Close() },
	}
}

// withoutPromise returns the status for the caller of a request that ran, or may have run,
// although its target answered with this status. Callers take some statuses for a promise
// that it did not run.
func withoutPromise(status int) int {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return status
}

// isPlainMisdirected reports whether a response with this attempt ID is a 421 without
// an ID. Targets may leave it out, as they did not read the request. It cannot be an
// earlier refusal that a faulty target writes once more, because the connection is not
// used again after a 421.
func isPlainMisdirected(resp *http.Response, attempt string) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest && attempt == ""
}

func (h *Handlers) badAnswer(ctx context.Context, c *call, problem string) *result {
	h.cfg.Metrics.Add(dogmetric.MalformedAnswers, 1)
	h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), problemAttr(problem))
	return unknownOutcome(dogwoodford.ReasonBadAnswer)
}
