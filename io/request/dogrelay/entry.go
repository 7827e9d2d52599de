package dogrelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

// Entry returns the handler for requests of callers on the own machine.
func (h *Handlers) Entry() http.Handler { return http.HandlerFunc(h.serveEntry) }

func (h *Handlers) serveEntry(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	h.hold()
	defer h.release()
	id := r.Header.Get(h.cfg.Headers.Attempt)
	ctx := r.Context()
	res, c := h.enter(ctx, r, start)
	defer res.end()
	h.cfg.Metrics.AddTo(dogmetric.Requests, res.outcome.String(), 1)
	if res.reason != dogwoodford.ReasonNone {
		h.cfg.Metrics.AddTo(dogmetric.Refusals, string(res.reason), 1)
		h.logFailed(ctx, c, id, res, start)
	}
	if h.cfg.Local.Leaving() {
		w.Header().Set("Connection", "close")
	}
	res.write(ctx, w, h.cfg.Headers.Attempt, id)
	h.cfg.Metrics.Observe(dogmetric.EntryLatency, time.Since(start))
}

func (h *Handlers) logFailed(ctx context.Context, c *call, id string, res *result, start time.Time) {
	attrs := attrs{idAttr(id), reasonAttr(res.reason), outcomeAttr(res.outcome), tookAttr(time.Since(start)),
		configAttr(h.cfg.Tables.Version())}
	if c != nil {
		attrs = append(attrs, serviceAttr(c.service), attemptsAttr(c.attempt), leftAttr(c, time.Now()), contentAttr(c))
	}
	if res.load != nil {
		attrs = append(attrs, loadAttr(*res.load))
	}
	h.cfg.Log.Event(ctx, doglog.RequestFailed, attrs...)
}

// enter finds the route of a request and sends it.
func (h *Handlers) enter(ctx context.Context, r *http.Request, start time.Time) (*result, *call) {
	parent := h.running.parent(r.Header.Get(h.cfg.Headers.Attempt))
	if parent == nil && h.cfg.Local.Leaving() {
		return refused(dogwoodford.ReasonDraining, leavingRetry), nil
	}
	if parent == nil && h.cfg.MostInProgress > 0 && h.progress.Load() > h.cfg.MostInProgress {
		return refused(dogwoodford.ReasonOverload, fullRetry), nil
	}
	table := h.cfg.Tables.Table()
	if table == nil {
		return refused(dogwoodford.ReasonNoConfig, noConfigRetry), nil
	}
	route, ok := table.Lookup(r.Host, r.URL.EscapedPath())
	if !ok {
		return refused(dogwoodford.ReasonNoRoute, 0), nil
	}
	if most := table.Limits().BodyBytes; most > 0 && r.ContentLength > most {
		return refused(dogwoodford.ReasonTooLarge, 0), nil
	}
	b, err := readBody(r.Body, r.ContentLength)
	if err != nil {
		return refused(dogwoodford.ReasonBadRequest, 0), nil
	}
	c := &call{
		id: r.Header.Get(h.cfg.Headers.Attempt), service: h.cfg.Split.Choose(route), caller: h.cfg.Service,
		kind: route.Kind(), source: r, body: b, deadline: start.Add(h.timeout(route, r)),
	}
	c.lineage = lineageOf(c, route, parent)
	if c.digest = digestOf(c.caller, r, b); h.cfg.Crashes.HasCompleted(c.digest) {
		// The guard may not know: it could have crashed before the content
		// completed there.
		c.digest = 0
	}
	if left := h.cfg.Crashes.Quarantined(c.digest); left > 0 {
		return refused(dogwoodford.ReasonQuarantined, left), c
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(answerGrace))
	res := h.call(ctx, c, route, parent)
	if res.outcome == dogwoodford.Ran {
		h.cfg.Crashes.Completed(c.digest)
	}
	res.onEnd(cancel)
	return res, c
}

// lineageOf returns the lineage of a call of parent, or of a request of a
// caller if parent is nil.
func lineageOf(c *call, route *dogtable.Route, parent *run) lineage {
	if parent == nil {
		return lineage{root: c.id, class: route.Name(), priority: route.Priority()}
	}
	l := parent.lineage
	l.hop++
	return l
}

// call sends a call. Only requests of callers are refused for pressure further
// down: with a call, the work done for it above would be lost.
func (h *Handlers) call(ctx context.Context, c *call, route *dogtable.Route, parent *run) *result {
	v := h.cfg.Pressure.Admit(c.request())
	if parent == nil {
		if v.Action() == dogwoodford.Refuse {
			return refused(v.Reason(), v.RetryAfter())
		}
		h.cfg.Budget.First(c.service)
		return h.send(ctx, c, route)
	}
	if c.lineage.repeated {
		h.cfg.Budget.Repeat(c.service)
	} else {
		h.cfg.Budget.First(c.service)
	}
	parent.begin(time.Now())
	res := h.send(ctx, c, route)
	failed := res.outcome != dogwoodford.Ran || res.status >= http.StatusInternalServerError
	parent.end(time.Now(), failed)
	return res
}

// leavingRetry is when a caller may come back to a node that is stopping: it
// is started again or its callers have moved on by then.
const leavingRetry = 500 * time.Millisecond

// noConfigRetry is when a caller may come back to a node without a
// configuration. Nodes read it within this time after their start.
const noConfigRetry = 500 * time.Millisecond

// timeout returns how long the caller of r and its route wait for the answer.
func (h *Handlers) timeout(route *dogtable.Route, r *http.Request) time.Duration {
	d := route.Timeout()
	text := r.Header.Get(h.cfg.Headers.Deadline)
	if text == "" {
		return d
	}
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms >= 0 {
		return min(d, time.Duration(ms)*time.Millisecond)
	}
	return d
}
