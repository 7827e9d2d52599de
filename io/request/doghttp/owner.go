package doghttp

import (
	"context"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogretry"
)

const (
	// ownerTries bounds how often the owner of a call is looked up. Most tries
	// are in pairs, owner and nobody left; with the pauses between pairs, a call
	// waits about 4 s for a range that changes hands.
	ownerTries = 24
	// firstOwnerPause is longer than a message between data centres takes; the
	// pauses double up to lastOwnerPause.
	firstOwnerPause = 50 * time.Millisecond
	lastOwnerPause  = 400 * time.Millisecond
)

// toOwner sends a non-idempotent call to the owner of its key range, with all
// that is left in the ledger. An owner that does not have the key has
// dispatched nothing, so asking the next one is no further attempt at a target
// and costs no unit.
func (h *Handlers) toOwner(ctx context.Context, snap Snapshot, c *call, ledger *dogretry.Ledger) *answer {
	share := ledger.Attempt(true)
	sub := *c
	sub.spec.Retries = share.Units()
	pause := firstOwnerPause
	var tried []string
	var a *answer
	for try := 1; ; try++ {
		o, ok := snap.Owner(sub.spec.Service, sub.spec.Key, tried)
		if ok {
			if a != nil {
				a.finish(aborted)
			}
			a = h.fromOwner(ctx, snap, &sub, o)
			tried = append(tried, o.Node)
		} else if a == nil {
			a = sub.refuse(dogwoodford.ReasonRange, time.Second)
		}
		if try == ownerTries || a.info.Reason != dogwoodford.ReasonRange || !c.body.replayable() {
			break
		}
		if ok {
			continue // The holder before or after it may have the key.
		}
		if !wait(ctx, pause) {
			break
		}
		pause = min(2*pause, lastOwnerPause)
		snap, tried = h.cfg.Control.Snapshot(), nil
		if c.minted {
			// Nobody else knows the key, so another range will do.
			sub.spec.Key = mint(snap, c.spec.Service, time.Now())
		}
	}
	share.Settle(a.info.RetriesUsed)
	return a
}

// wait reports whether ctx lasted for d.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Handlers) fromOwner(ctx context.Context, snap Snapshot, c *call, o Owner) *answer {
	if o.Node == h.cfg.Name {
		return h.owner(ctx, snap, c)
	}
	a := h.send(ctx, c, o.Peer)
	if a.resp == nil && a.info.Outcome == dogwoodford.NotRun {
		// This attempt was never written. An earlier one may have run.
		reason := a.info.Reason
		if reason == dogwoodford.ReasonNoTarget {
			reason = dogwoodford.ReasonRange
		}
		return c.refuse(reason, time.Second)
	}
	return a
}

// owner runs a call at most once.
func (h *Handlers) owner(ctx context.Context, snap Snapshot, c *call) *answer {
	key, service := c.spec.Key, c.spec.Service
	b := h.cfg.Records.Begin(time.Now(), KeyAttempt{
		Key: key, Service: service, Customer: c.spec.Customer, Digest: c.spec.Digest,
		Attempt: c.spec.Attempt, Fresh: c.fresh,
	})
	if b.Seen && c.spec.Attempt <= 1 && !h.seenAllowed(snap, c.spec.Customer) {
		h.cfg.Events.Event(c.x.ctx, EventResends, c.spec.Root, nil)
		if b.Run {
			h.cfg.Records.Finish(key, dogwoodford.NotRun, nil)
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
		if !returned { // A panic; how far the call came is not known.
			h.cfg.Records.Finish(key, dogwoodford.Unknown, nil)
		}
	}()
	sub := *c
	// Begin said that the key has not run and is not running.
	sub.epoch, sub.role, sub.fresh = b.Epoch, RoleOwner, true
	ledger := dogretry.NewLedger(c.spec.Retries)
	a := h.attempts(ctx, snap, &sub, ledger, h.cfg.Name)
	a.info.RetriesUsed = ledger.Close()
	returned = true
	c.x.track(a)
	kept := keep(a)
	a.onEnd(func(e ending) {
		o := a.info.Outcome
		if e == truncated {
			o = dogwoodford.Unknown
		}
		if e != whole || o != dogwoodford.Ran || len(kept.Body) > KeptBytes {
			kept = nil
		}
		h.cfg.Records.Finish(key, o, kept)
	})
	return a
}

// seenAllowed takes a resend for a key that was seen before, although the
// caller calls it the first attempt.
func (h *Handlers) seenAllowed(snap Snapshot, customer string) bool {
	contract, ok := snap.Contract(customer)
	if !ok {
		return true
	}
	_, burst := contract.Resend()
	return h.resends.TryResend(customer, burst)
}

// keep collects the answer while it is passed on, up to one byte more than may
// be kept.
func keep(a *answer) *Kept {
	k := &Kept{Status: a.status, Header: a.header.Clone()}
	a.copyTo = func(p []byte) {
		p = p[:min(len(p), KeptBytes+1-len(k.Body))]
		k.Body = append(k.Body, p...)
	}
	return k
}
