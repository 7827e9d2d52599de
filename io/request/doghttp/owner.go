package doghttp

import (
	"context"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogretry"
)

const (
	// maxOwnerLookups limits how often the owner of a call is looked up. Most
	// lookups come in pairs: one finds the owner, the next finds that no other
	// node is left. With the pauses between pairs, a call waits about 4 s for a
	// range to change its owner.
	maxOwnerLookups = 24
	// minOwnerBackoff is longer than a message between data centres takes; the
	// pause doubles up to maxOwnerBackoff.
	minOwnerBackoff = 50 * time.Millisecond
	maxOwnerBackoff = 400 * time.Millisecond
)

// routeToOwner sends a non-idempotent call to the owner of its key range, with
// all units that remain in the ledger. An owner that does not hold the range
// has dispatched nothing, so asking the next one is not a further attempt at a
// target and costs no unit.
func (h *Handlers) routeToOwner(ctx context.Context, snap Snapshot, c *call, ledger *dogretry.Ledger) *answer {
	share := ledger.Attempt(true)
	sub := *c
	sub.spec.Retries = share.Units()
	pause := minOwnerBackoff
	var tried []string
	var a *answer
	for try := 1; ; try++ {
		o, ok := snap.Owner(sub.spec.Service, sub.spec.Key, tried)
		if ok {
			if a != nil {
				a.finish(aborted)
			}
			a = h.sendToOwner(ctx, snap, &sub, o)
			tried = append(tried, o.Node)
		} else if a == nil {
			a = sub.refuse(dogwoodford.ReasonRange, time.Second)
		}
		if try == maxOwnerLookups || a.info.Reason != dogwoodford.ReasonRange || !c.body.replayable() {
			break
		}
		if ok {
			continue // The previous or next owner may hold the key.
		}
		if !sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, maxOwnerBackoff)
		snap, tried = h.cfg.Control.Snapshot(), nil
		if c.generated {
			// No other node knows a generated key, so a key in another range
			// may replace it.
			sub.spec.Key = generateKey(snap, c.spec.Service, time.Now())
		}
	}
	share.Settle(a.info.RetriesUsed)
	return a
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Handlers) sendToOwner(ctx context.Context, snap Snapshot, c *call, o Owner) *answer {
	if o.Node == h.cfg.Name {
		return h.owner(ctx, snap, c)
	}
	a := h.sendToPeer(ctx, c, o.Peer)
	if a.resp == nil && a.info.Outcome == dogwoodford.OutcomeNotRun {
		// This attempt was not written to the owner, but an earlier one may
		// have run.
		reason := a.info.Reason
		if reason == dogwoodford.ReasonNoTarget {
			reason = dogwoodford.ReasonRange
		}
		return c.refuse(reason, time.Second)
	}
	return a
}

// owner runs a call at most once per key, or replays the recorded answer.
func (h *Handlers) owner(ctx context.Context, snap Snapshot, c *call) *answer {
	key, service := c.spec.Key, c.spec.Service
	b := h.cfg.Records.Begin(time.Now(), KeyAttempt{
		Key: key, Service: service, Customer: c.spec.Customer, Digest: c.spec.Digest,
		Attempt: c.spec.Attempt, Fresh: c.fresh,
	})
	if b.Seen && c.spec.Attempt <= 1 && !h.repeatAllowed(snap, c.spec.Customer) {
		h.cfg.Events.Event(c.x.ctx, EventResendRefused, c.spec.Root, nil)
		if b.Run {
			h.cfg.Records.Finish(key, dogwoodford.OutcomeNotRun, nil)
			return notRun(dogwoodford.ReasonRetries)
		}
		return refusal(b.Outcome, dogwoodford.ReasonRetries, time.Second)
	}
	if !b.Run {
		if b.Answer != nil {
			a := refusal(b.Outcome, dogwoodford.ReasonNone, 0)
			a.status, a.header, a.kept = b.Answer.Status, b.Answer.Header, b.Answer
			return a
		}
		return refusal(b.Outcome, b.Reason, 0)
	}
	returned := false
	defer func() {
		if !returned { // A panic; it is not known how far the call progressed.
			h.cfg.Records.Finish(key, dogwoodford.OutcomeUnknown, nil)
		}
	}()
	sub := *c
	// Begin reported that the key has not run and is not running.
	sub.epoch, sub.role, sub.fresh = b.Epoch, RoleOwner, true
	ledger := dogretry.NewLedger(c.spec.Retries)
	a := h.sendWithRetries(ctx, snap, &sub, ledger, h.cfg.Name)
	a.info.RetriesUsed = ledger.Close()
	returned = true
	c.x.track(a)
	kept := captureAnswer(a)
	a.onEnd(func(e ending) {
		o := a.info.Outcome
		if e == truncated {
			o = dogwoodford.OutcomeUnknown
		}
		if e != complete || o != dogwoodford.OutcomeRan || len(kept.Body) > MaxKeptBodyBytes {
			kept = nil
		}
		h.cfg.Records.Finish(key, o, kept)
	})
	return a
}

// repeatAllowed charges the resend budget of the customer for a key with an
// earlier record, although the caller does not declare a resend. It reports
// whether the budget allowed it.
func (h *Handlers) repeatAllowed(snap Snapshot, customer string) bool {
	contract, ok := snap.Contract(customer)
	if !ok {
		return true
	}
	_, burst := contract.ResendBudget()
	return h.resends.TryResend(customer, burst)
}

// captureAnswer copies the answer while it is sent on, up to one byte more than
// may be kept.
func captureAnswer(a *answer) *KeptAnswer {
	k := &KeptAnswer{Status: a.status, Header: a.header.Clone()}
	a.copyTo = func(p []byte) {
		p = p[:min(len(p), MaxKeptBodyBytes+1-len(k.Body))]
		k.Body = append(k.Body, p...)
	}
	return k
}
