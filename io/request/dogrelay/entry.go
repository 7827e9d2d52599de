package dogrelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogpipeline"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

// Entry returns the handler for requests of callers on the node's machine.
func (h *Handlers) Entry() http.Handler { return http.HandlerFunc(h.serveEntry) }

func (h *Handlers) serveEntry(w http.ResponseWriter, r *http.Request) {
	lag := h.lag()
	start := dogpipeline.Arrival(r.Context()).Add(-lag)
	h.acquire()
	defer h.release()
	id := r.Header.Get(h.cfg.Headers.Attempt)
	ctx := r.Context()
	res, c := h.forward(ctx, r, start, lag)
	defer res.discard()
	if c != nil {
		defer c.body.free()
	}
	h.cfg.Metrics.AddTo(dogmetric.Requests, res.outcome.String(), 1)
	if res.reason != dogwoodford.ReasonNone {
		h.cfg.Metrics.AddTo(dogmetric.Refusals, string(res.reason), 1)
		h.logFailed(ctx, c, id, res, start)
	}
	if h.cfg.Local.Leaving() {
		w.Header().Set("Connection", "close")
	}
	h.logLate(ctx, c, res)
	h.recordDeparture(ctx, c != nil && c.attempt > 0, entrySent, entryUnsent)
	if err := res.write(ctx, w, h.cfg.Headers.Attempt, id); err != nil {
		h.breakOff(r, err)
	}
	h.cfg.Metrics.Observe(dogmetric.EntryLatency, time.Since(start))
}

func (h *Handlers) logFailed(ctx context.Context, c *call, id string, res *result, start time.Time) {
	attrs := attrs{idAttr(id), reasonAttr(res.reason), outcomeAttr(res.outcome), tookAttr(time.Since(start)),
		configAttr(h.cfg.Tables.Version())}
	if c != nil {
		attrs = append(attrs, serviceAttr(c.service), attemptsAttr(c.attempt), leftAttr(c, time.Now()), contentAttr(c), workspaceAttr(c))
	}
	if res.load != nil {
		attrs = append(attrs, loadAttr(*res.load))
	}
	h.cfg.Log.Event(ctx, doglog.RequestFailed, attrs...)
}

// forward finds the route of a request, which its caller sent at start, and sends it. The
// answer of a node that lags takes about lag to be written. The call is nil if the request
// was refused before its service was known.
func (h *Handlers) forward(ctx context.Context, r *http.Request, start time.Time, lag time.Duration) (*result, *call) {
	parent := h.running.parent(r.Header.Get(h.cfg.Headers.Attempt))
	table, route, refusal := h.findRoute(r, parent)
	if refusal != nil {
		return refusal, nil
	}
	w, refusal := h.identify(table, route, r, parent)
	if refusal != nil {
		return refusal, nil
	}
	timeout := h.timeout(route, r)
	if refusal := h.refuseByTime(parent, start, timeout, lag); refusal != nil {
		return refusal, nil
	}
	if !route.Kind().Repeatable() && dogpipeline.AwaitTurn(ctx) != nil {
		return refused(dogwoodford.ReasonCancelled, 0), nil // The caller is gone.
	}
	if maxBytes := table.Limits().BodyBytes; maxBytes > 0 && r.ContentLength > maxBytes {
		return refused(dogwoodford.ReasonTooLarge, 0), nil
	}
	body := r.Body
	if maxBytes := table.Limits().BodyBytes; maxBytes > 0 && r.ContentLength < 0 {
		body = http.MaxBytesReader(nil, body, maxBytes)
	}
	dogpipeline.BoundBody(ctx, start.Add(timeout))
	b, err := h.buffers.read(body, r.ContentLength)
	if err != nil && ctx.Err() != nil {
		return refused(dogwoodford.ReasonCancelled, 0), nil // The caller is gone.
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refused(dogwoodford.ReasonTooLarge, 0), nil
	}
	if err != nil {
		return refused(dogwoodford.ReasonBadRequest, 0), nil
	}
	c := &call{
		id: r.Header.Get(h.cfg.Headers.Attempt), service: h.cfg.Split.Choose(route), caller: h.cfg.Service,
		kind: route.Kind(), source: r, body: b, deadline: start.Add(timeout), hidesKeys: table.HasWorkspaces(),
	}
	c.lineage = lineageOf(c, route, w, parent)
	h.rank(c, w)
	c.content = contentOf(c.caller, sharedDigest(r, b))
	c.cleared = h.cfg.Crashes.HasCompleted(c.content)
	if remaining := h.cfg.Crashes.QuarantineRemaining(c.content); remaining > 0 {
		// Its tester may let one pass.
		var ok bool
		if c.tester, ok = h.cfg.Crashes.QuarantineTester(c.content, c.service); !ok {
			return refused(dogwoodford.ReasonQuarantined, remaining), c
		}
		c.cleared = false
	}
	ctx, cancel := h.withDeadline(ctx, c.deadline.Add(answerGrace-lag))
	res := h.admitAndSend(ctx, c, route, w, parent)
	if res.completed() {
		h.cfg.Crashes.RecordCompletion(c.content)
	}
	res.onClose(cancel)
	return res, c
}

// findRoute returns the route of a request, or a refusal if the node does not take the
// request or has no usable route for it. parent is nil for a request of a caller.
func (h *Handlers) findRoute(r *http.Request, parent *run) (*dogtable.Table, *dogtable.Route, *result) {
	if parent == nil && h.cfg.Local.Leaving() {
		return nil, nil, refused(dogwoodford.ReasonDraining, drainingRetryAfter)
	}
	if parent == nil && h.cfg.MaxInProgress > 0 && h.inProgress.Load() > h.cfg.MaxInProgress {
		return nil, nil, refused(dogwoodford.ReasonOverload, fullRetryAfter)
	}
	table := h.cfg.Tables.Table()
	if table == nil {
		return nil, nil, refused(dogwoodford.ReasonNoConfig, noConfigRetryAfter)
	}
	route, ok := table.Lookup(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, nil, refused(dogwoodford.ReasonNoRoute, 0)
	}
	if route.Unreadable() {
		return nil, nil, refused(dogwoodford.ReasonNoConfig, unreadableRetryAfter)
	}
	return table, route, nil
}

// refuseByTime returns a refusal if the node cannot answer a request in time, or nil. A
// child call is refused only if the node stops before, as work was done for it.
func (h *Handlers) refuseByTime(parent *run, start time.Time, timeout, lag time.Duration) *result {
	if parent != nil {
		if !h.cfg.Local.AcceptsCall(timeout) {
			return refused(dogwoodford.ReasonDraining, drainingRetryAfter)
		}
		return nil
	}
	if lag > 0 && time.Until(start.Add(timeout-lag)) < minTimeLeft {
		return refused(dogwoodford.ReasonOverload, fullRetryAfter)
	}
	return nil
}

// lineageOf returns the lineage of a child call of parent, or of a request of a
// caller of workspace w, which may be nil, if parent is nil.
func lineageOf(c *call, route *dogtable.Route, w *dogtable.Workspace, parent *run) lineage {
	if parent == nil && w == nil {
		return lineage{root: c.id, class: route.Name(), priority: route.Priority()}
	}
	if parent == nil {
		return lineage{root: c.id, class: route.Name(), priority: w.Priority(route.Priority()), workspace: w.Name()}
	}
	l := parent.lineage
	l.hop++
	return l
}

// admitAndSend sends a call, or refuses it because of overload downstream. Only
// requests of callers are refused: refusing a child call would waste the work
// that was already done for its parent.
func (h *Handlers) admitAndSend(ctx context.Context, c *call, route *dogtable.Route, w *dogtable.Workspace, parent *run) *result {
	v := h.cfg.Pressure.Admit(c.request())
	if parent == nil {
		if v.Action() == dogwoodford.Refuse {
			return refused(v.Reason(), v.RetryAfter())
		}
		if retryAfter, ok := h.cfg.Trees.MayStart(h.treeRequest(c)); !ok {
			return refused(dogwoodford.ReasonDownstream, retryAfter)
		}
		if refusal := h.takeQuota(ctx, w); refusal != nil {
			return refusal
		}
		h.cfg.Budget.RecordFirst(c.service)
		res := h.sendWithRetries(ctx, c, route)
		h.settleQuota(w, res)
		return res
	}
	if c.lineage.retried {
		h.cfg.Budget.RecordInducedRetry(c.service)
	} else {
		h.cfg.Budget.RecordFirst(c.service)
	}
	parent.beginChild(time.Now())
	res := h.sendWithRetries(ctx, c, route)
	failed := res.outcome != dogwoodford.OutcomeRan || res.status >= http.StatusInternalServerError
	parent.endChild(time.Now(), failed)
	return res
}

// treeRequest returns what decides whether a request of a caller is started.
func (h *Handlers) treeRequest(c *call) dogtree.Request {
	r := dogtree.Request{Class: c.lineage.class, Repeatable: c.kind.Repeatable()}
	if ms, ok := h.declaredMillis(c.source); ok {
		r.Left = time.Duration(ms) * time.Millisecond
	}
	return r
}

// drainingRetryAfter is the retry hint of a node that is stopping. By then it
// has restarted or its callers use another node.
const drainingRetryAfter = 500 * time.Millisecond

// noConfigRetryAfter is the retry hint of a node without a configuration. Nodes
// read it within this time after their start.
const noConfigRetryAfter = 500 * time.Millisecond

// unreadableRetryAfter is the retry hint for a route that this node does not
// understand. Another node of a newer version may serve it.
const unreadableRetryAfter = time.Second

// timeout returns the lower of the timeout of the route and the time until the
// deadline that the caller declares. A malformed declaration is ignored.
func (h *Handlers) timeout(route *dogtable.Route, r *http.Request) time.Duration {
	if ms, ok := h.declaredMillis(r); ok {
		return min(route.Timeout(), time.Duration(ms)*time.Millisecond)
	}
	return route.Timeout()
}

// declaredMillis returns the time until the deadline that the caller declares, in
// milliseconds; false if there is none or it is malformed.
func (h *Handlers) declaredMillis(r *http.Request) (int64, bool) {
	text := r.Header.Get(h.cfg.Headers.Deadline)
	if text == "" {
		return 0, false // ParseInt would allocate an error.
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	return ms, err == nil && ms >= 0
}
