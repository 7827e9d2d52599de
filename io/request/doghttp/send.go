package doghttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/request/dogretry"
	"dogwoodford/io/request/doggate"
)

// sendWithRetries sends c to one target after another until an answer is final,
// no target is left or the retry budget is spent. prefer names the node whose
// target is chosen if that is permitted.
func (h *Handlers) sendWithRetries(ctx context.Context, snap Snapshot, c *call, ledger *dogretry.Ledger, prefer string) *answer {
	targets := snap.Targets(c.spec.Service)
	var tried []string
	var last *answer
	for n := 1; ; n++ {
		t, reason := h.cfg.Router.Pick(dogwoodford.NewRequest(c.spec), targets, tried, prefer)
		if reason != dogwoodford.ReasonNone {
			if last != nil {
				return last
			}
			return c.refuse(reason, 0)
		}
		if last != nil {
			if !ledger.Retry() {
				h.cfg.Router.RecordDispatchEnd(t.Node, 0, false, nil)
				return last
			}
		}
		h.cfg.Counters.CountAttempt(c.role, t, n)
		// A non-idempotent call is not attempted again after a lost answer, so
		// no units need to be held back.
		share := ledger.Attempt(!c.spec.Idempotent)
		next := h.sendAttempt(ctx, c, t, share)
		last = preferredAnswer(last, next)
		if !shouldRetry(ctx, c, next) || !c.body.replayable() {
			return last
		}
		tried = append(tried, t.Node)
	}
}

// preferredAnswer returns the answer that the caller gets, of last and the
// later next, and finishes the other; last is nil before the first attempt. A
// refusal as not run does not replace an unknown outcome, because the earlier
// attempt may have run.
func preferredAnswer(last, next *answer) *answer {
	if last == nil {
		return next
	}
	if next.info.Outcome == dogwoodford.OutcomeNotRun && last.info.Outcome == dogwoodford.OutcomeUnknown {
		next.finish(aborted)
		return last
	}
	last.finish(aborted)
	return next
}

// sendAttempt sends c to the guard of t and reports the result to the router.
func (h *Handlers) sendAttempt(ctx context.Context, c *call, t dogwoodford.Target, share *dogretry.Share) *answer {
	start := time.Now()
	sub := *c
	sub.spec.Retries = share.Units()
	returned := false
	defer func() {
		if !returned { // A panic; the in-flight count must still be lowered.
			h.cfg.Router.RecordDispatchEnd(t.Node, time.Since(start), true, nil)
		}
	}()
	var a *answer
	if t.Node == h.cfg.Name {
		a = h.guard(ctx, &sub)
	} else {
		a = h.sendToPeer(ctx, &sub, t.Peer)
	}
	returned = true
	c.x.track(a)
	share.Settle(a.info.RetriesUsed)
	a.onEnd(func(e ending) {
		ran := a.info.Outcome == dogwoodford.OutcomeRan
		failed := e == truncated || a.info.Outcome == dogwoodford.OutcomeUnknown && ctx.Err() == nil ||
			a.stage == dogoutcome.DialFailed || ran && a.status >= 500
		h.cfg.Router.RecordDispatchEnd(t.Node, time.Since(start), failed, reportedLoad(a))
		if ran && e == complete && c.spec.Digest != 0 {
			h.cfg.Router.RecordCompletion(c.spec.Digest)
		}
	})
	if r := a.info.Report; r != nil {
		h.cfg.Pressure.AddReport(time.Now(), dogwoodford.NewRequest(c.spec), t.Node, *r)
	}
	return a
}

func reportedLoad(a *answer) *dogwoodford.Load {
	if a.info.Report == nil {
		return nil
	}
	l := a.info.Report.Load
	return &l
}

// shouldRetry reports whether an attempt at another target is safe and may
// succeed.
func shouldRetry(ctx context.Context, c *call, a *answer) bool {
	if ctx.Err() != nil || a.info.Outcome == dogwoodford.OutcomeRan || c.body.readError() != nil {
		return false
	}
	if a.info.Outcome == dogwoodford.OutcomeUnknown {
		return c.spec.Idempotent
	}
	switch a.info.Reason {
	case dogwoodford.ReasonOverload, dogwoodford.ReasonQueueFull, dogwoodford.ReasonDraining, dogwoodford.ReasonIsolated,
		dogwoodford.ReasonNoTarget, dogwoodford.ReasonLost, dogwoodford.ReasonNone:
		return true
	}
	return false // Another target would give the same answer.
}

// sendToPeer sends c to the node whose peer listener has the address peer.
func (h *Handlers) sendToPeer(ctx context.Context, c *call, peer string) *answer {
	out, err := c.request(ctx, peer, c.spec.Service)
	if err != nil {
		return c.refuse(dogwoodford.ReasonRetries, 0)
	}
	dogcall.Peer{Spec: c.spec, PeerKey: h.cfg.PeerKey, Epoch: c.epoch, Traceparent: c.traceparent}.
		Format(out.Header, time.Now())
	resp, stage, err := h.cfg.Peers.Do(out)
	if err != nil {
		return failureAnswer(ctx, c, stage)
	}
	info, err := dogcall.ParseAnswer(resp.Header)
	if err != nil {
		h.cfg.Events.Event(ctx, EventBadAnswer, c.spec.Root, err)
	}
	info.Outcome = dogoutcome.Classify(dogoutcome.Facts{
		Stage: stage, FromPeer: true, Status: resp.StatusCode, ClaimedOutcome: info.Outcome.String(),
	})
	return h.responseAnswer(ctx, c, resp, info)
}

// failureAnswer returns the answer to a call that failed at stage without an
// answer.
func failureAnswer(ctx context.Context, c *call, stage dogoutcome.Stage) *answer {
	o := dogoutcome.Classify(dogoutcome.Facts{Stage: stage})
	reason := dogwoodford.ReasonLost
	switch {
	case ctx.Err() != nil:
		reason = doggate.ReasonOf(ctx)
	case errors.Is(c.body.readError(), errTooLarge):
		reason = dogwoodford.ReasonTooLarge
	case o == dogwoodford.OutcomeNotRun:
		reason = dogwoodford.ReasonNoTarget
	}
	a := refusal(o, reason, 0)
	a.stage = stage
	if o != dogwoodford.OutcomeNotRun {
		a.info.RetriesUsed = -1
	}
	return a
}

// responseAnswer returns resp as an answer, or a failure if its body could be
// truncated undetected or is truncated.
func (h *Handlers) responseAnswer(ctx context.Context, c *call, resp *http.Response, info dogcall.Answer) *answer {
	if resp.StatusCode < 200 || unframed(c.method, resp) {
		// Truncation of such an answer could not be detected.
		h.cfg.Events.Event(ctx, EventUnframed, c.spec.Root, nil)
		_ = resp.Body.Close()
		return failureAnswer(ctx, c, dogoutcome.Truncated)
	}
	prefetched, err := prefetch(c.method, resp)
	if err != nil {
		h.cfg.Events.Event(ctx, EventTruncated, c.spec.Root, err)
		_ = resp.Body.Close()
		return failureAnswer(ctx, c, dogoutcome.Truncated)
	}
	return &answer{
		status: resp.StatusCode, header: removeUnforwarded(resp.Header), resp: resp, info: info,
		stage: dogoutcome.Headers, prefetched: prefetched,
	}
}

// prefetchBytes is the length of the longest answer body that is read
// completely before the answer is sent on.
const prefetchBytes = 16 << 10

// prefetch reads a short body of known length completely, and otherwise returns
// nil. If the body is truncated, another target can still be tried, or the
// caller gets an outcome instead of an abort.
func prefetch(method string, resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	if n <= 0 || n > prefetchBytes || method == http.MethodHead || resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	// Capacity beyond the length, because io.EOF may need a further read.
	data := bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	if _, err := data.ReadFrom(resp.Body); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	// Closing after the end returns the connection to the pool early.
	_ = resp.Body.Close()
	return data.Bytes(), nil
}

// unframed reports whether only the close of the connection marks the end of
// the answer.
func unframed(method string, resp *http.Response) bool {
	if resp.ProtoMajor != 1 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false
	}
	return method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}
