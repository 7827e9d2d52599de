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

// attempts sends c to one target after the other until there is an answer to
// keep. prefer names the node whose target is taken if that is permitted.
func (h *Handlers) attempts(ctx context.Context, snap Snapshot, c *call, ledger *dogretry.Ledger, prefer string) *answer {
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
				h.cfg.Router.Answered(t.Node, 0, false, nil)
				return last
			}
		}
		h.cfg.Counters.Attempted(c.role, t, n)
		// A non-idempotent call has no further attempt after a lost answer, so
		// there is nothing to hold units back for.
		share := ledger.Attempt(!c.spec.Idempotent)
		next := h.attempt(ctx, c, t, share)
		last = better(last, next)
		if !again(ctx, c, next) || !c.body.replayable() {
			return last
		}
		tried = append(tried, t.Node)
	}
}

// better returns what the caller gets of two answers, the later of which is
// next, and ends the other; last is nil before the first attempt. A refusal as
// not run would not be true after an attempt that may have run.
func better(last, next *answer) *answer {
	if last == nil {
		return next
	}
	if next.info.Outcome == dogwoodford.NotRun && last.info.Outcome == dogwoodford.Unknown {
		next.finish(aborted)
		return last
	}
	last.finish(aborted)
	return next
}

// attempt sends c to the guard of t.
func (h *Handlers) attempt(ctx context.Context, c *call, t dogwoodford.Target, share *dogretry.Share) *answer {
	start := time.Now()
	sub := *c
	sub.spec.Retries = share.Units()
	returned := false
	defer func() {
		if !returned { // A panic; the in-flight count must not stay up.
			h.cfg.Router.Answered(t.Node, time.Since(start), true, nil)
		}
	}()
	var a *answer
	if t.Node == h.cfg.Name {
		a = h.guard(ctx, &sub)
	} else {
		a = h.send(ctx, &sub, t.Peer)
	}
	returned = true
	c.x.track(a)
	share.Settle(a.info.RetriesUsed)
	a.onEnd(func(e ending) {
		ran := a.info.Outcome == dogwoodford.Ran
		failed := e == truncated || a.info.Outcome == dogwoodford.Unknown && ctx.Err() == nil ||
			a.stage == dogoutcome.DialFailed || ran && a.status >= 500
		h.cfg.Router.Answered(t.Node, time.Since(start), failed, loadOf(a))
		if ran && e == whole && c.spec.Digest != 0 {
			h.cfg.Router.Completed(c.spec.Digest)
		}
	})
	if r := a.info.Report; r != nil {
		h.cfg.Pressure.Observe(time.Now(), dogwoodford.NewRequest(c.spec), t.Node, *r)
	}
	return a
}

func loadOf(a *answer) *dogwoodford.Load {
	if a.info.Report == nil {
		return nil
	}
	l := a.info.Report.Load
	return &l
}

// again reports whether another target is worth an attempt and safe.
func again(ctx context.Context, c *call, a *answer) bool {
	if ctx.Err() != nil || a.info.Outcome == dogwoodford.Ran || c.body.failure() != nil {
		return false
	}
	if a.info.Outcome == dogwoodford.Unknown {
		return c.spec.Idempotent
	}
	switch a.info.Reason {
	case dogwoodford.ReasonOverload, dogwoodford.ReasonQueueFull, dogwoodford.ReasonDraining, dogwoodford.ReasonIsolated,
		dogwoodford.ReasonNoTarget, dogwoodford.ReasonLost, dogwoodford.ReasonNone:
		return true
	}
	return false // Another target would answer the same.
}

// send sends c to the node that listens at peer.
func (h *Handlers) send(ctx context.Context, c *call, peer string) *answer {
	out, err := c.request(ctx, peer, c.spec.Service)
	if err != nil {
		return c.refuse(dogwoodford.ReasonRetries, 0)
	}
	dogcall.Peer{Spec: c.spec, PeerKey: h.cfg.PeerKey, Epoch: c.epoch, Traceparent: c.traceparent}.
		Format(out.Header, time.Now())
	resp, stage, err := h.cfg.Peers.Do(out)
	if err != nil {
		return failed(ctx, c, stage)
	}
	info, err := dogcall.ParseAnswer(resp.Header)
	if err != nil {
		h.cfg.Events.Event(ctx, EventBadAnswer, c.spec.Root, err)
	}
	info.Outcome = dogoutcome.Classify(dogoutcome.Facts{
		Stage: stage, FromPeer: true, Status: resp.StatusCode, ClaimedOutcome: info.Outcome.String(),
	})
	return h.received(ctx, c, resp, info)
}

// failed is the answer for a call without one.
func failed(ctx context.Context, c *call, stage dogoutcome.Stage) *answer {
	o := dogoutcome.Classify(dogoutcome.Facts{Stage: stage})
	reason := dogwoodford.ReasonLost
	switch {
	case ctx.Err() != nil:
		reason = doggate.ReasonOf(ctx)
	case errors.Is(c.body.failure(), errTooLarge):
		reason = dogwoodford.ReasonTooLarge
	case o == dogwoodford.NotRun:
		reason = dogwoodford.ReasonNoTarget
	}
	a := refusal(o, reason, 0)
	a.stage = stage
	if o != dogwoodford.NotRun {
		a.info.RetriesUsed = -1
	}
	return a
}

// received is the answer with the headers of resp.
func (h *Handlers) received(ctx context.Context, c *call, resp *http.Response, info dogcall.Answer) *answer {
	if resp.StatusCode < 200 || unframed(c.method, resp) {
		// Such an answer could be cut short without notice.
		h.cfg.Events.Event(ctx, EventUnframed, c.spec.Root, nil)
		_ = resp.Body.Close()
		return failed(ctx, c, dogoutcome.Truncated)
	}
	data, err := prefetch(c.method, resp)
	if err != nil {
		h.cfg.Events.Event(ctx, EventTruncated, c.spec.Root, err)
		_ = resp.Body.Close()
		return failed(ctx, c, dogoutcome.Truncated)
	}
	return &answer{
		status: resp.StatusCode, header: answerHeader(resp.Header), resp: resp, info: info,
		stage: dogoutcome.Headers, data: data,
	}
}

// prefetchBytes is the length of the longest body that is read before the
// answer is passed on.
const prefetchBytes = 16 << 10

// prefetch reads a short body of known length at once, or returns nil. If it
// breaks off, another target can still be tried, or the caller gets an outcome
// instead of an abort.
func prefetch(method string, resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	if n <= 0 || n > prefetchBytes || method == http.MethodHead || resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	// Room beyond the length, as the end may come with a read of its own.
	data := bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	if _, err := data.ReadFrom(resp.Body); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	// Closing after the end gives the connection back early.
	_ = resp.Body.Close()
	return data.Bytes(), nil
}

// unframed reports whether only the end of the connection ends the answer.
func unframed(method string, resp *http.Response) bool {
	if resp.ProtoMajor != 1 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false
	}
	return method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}
