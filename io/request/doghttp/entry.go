package doghttp

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/request/dogretry"
)

func (h *Handlers) entry(x *exchange) *answer {
	claims, err := dogcall.ParseClaims(x.r.Header)
	if err != nil {
		return badRequest(err)
	}
	return h.admitCaller(x, claims, true)
}

// badRequest returns a refusal whose text includes err.
func badRequest(err error) *answer {
	a := notRun(dogwoodford.ReasonBadRequest)
	a.text += err.Error() + "\n"
	return a
}

// admitCaller handles a request with a customer credential. Unless retries is
// set, the request gets no retry budget.
func (h *Handlers) admitCaller(x *exchange, claims dogcall.Claims, retries bool) *answer {
	service, u, err := splitPath(x.r.URL)
	if err != nil {
		return badRequest(err)
	}
	x.service = service
	snap := h.cfg.Control.Snapshot()
	c := newCall(x, u)
	c.fresh = claims.Key.IsZero() || claims.Attempt == 1
	contract, limits, a := h.authorize(snap, x, c, claims)
	if a != nil {
		return a
	}
	now := time.Now()
	c.spec = dogcall.EntrySpec(claims, limits, now)
	c.spec.Service = service
	if !retries {
		c.spec.Retries = 0
	}
	if !c.spec.Idempotent && c.spec.Key.IsZero() {
		c.spec.Key, c.generated = generateKey(snap, service, now), true
		c.spec.Root = c.spec.Key.String()
	}
	if c.spec.Root == "" {
		c.spec.Root = newToken()
	}
	if !h.resendAllowed(c.spec.Customer, contract, claims.Attempt) {
		h.cfg.Events.Event(x.ctx, EventResendRefused, c.spec.Root, nil)
		return c.refuse(dogwoodford.ReasonRetries, time.Second)
	}
	return h.dispatch(x, snap, c, limits.MaxBody, dogretry.NewLedger(c.spec.Retries), nil)
}

// authorize checks the credential and returns the contract and the limits of
// the class, or a refusal.
func (h *Handlers) authorize(snap Snapshot, x *exchange, c *call, claims dogcall.Claims) (Contract, dogcall.Limits, *answer) {
	noLimits := dogcall.Limits{}
	// The key is set first, so that the refusal of a resend reports unknown.
	c.spec.Key = claims.Key
	if !snap.Configured() {
		return nil, noLimits, c.refuse(dogwoodford.ReasonNoConfig, 0)
	}
	contract, ok := snap.Contract(claims.Customer)
	if !ok || claims.Customer == "" || !contract.Authorized(claims.Credential) {
		h.cfg.Events.Event(x.ctx, EventBadCredential, "", nil)
		return nil, noLimits, c.refuse(dogwoodford.ReasonCredential, 0)
	}
	if x.r.Method == http.MethodConnect || x.r.Method == http.MethodTrace {
		return nil, noLimits, c.refuse(dogwoodford.ReasonNoClass, 0)
	}
	limits, ok := contract.Class(x.service, x.r.Method, c.url.Path)
	if !ok {
		return nil, noLimits, c.refuse(dogwoodford.ReasonNoClass, 0)
	}
	x.class = limits.Class
	return contract, limits, nil
}

func (h *Handlers) resendAllowed(customer string, contract Contract, attempt int) bool {
	percent, burst := contract.ResendBudget()
	if attempt > 1 {
		return h.resends.TryResend(customer, burst)
	}
	h.resends.RecordFirst(customer, percent, burst)
	return true
}

// dispatch is the part that entry and exit have in common: it refuses early,
// sets the deadline, reads the start of the body and sends the call. begin, if
// not nil, is called just before the call is sent and may refuse.
func (h *Handlers) dispatch(x *exchange, snap Snapshot, c *call, maxBody int64, ledger *dogretry.Ledger, begin func() *answer) *answer {
	r := dogwoodford.NewRequest(c.spec)
	x.span.SetCall(r)
	if after, refuse := h.cfg.Pressure.Refuse(time.Now(), r); refuse {
		return c.refuse(dogwoodford.ReasonOverload, after)
	}
	if err := c.body.setLimit(maxBody); err != nil {
		return c.refuse(dogwoodford.ReasonTooLarge, 0)
	}
	ctx, cancel := context.WithDeadline(x.ctx, c.spec.Deadline)
	routed := false
	defer func() {
		if !routed {
			cancel()
		}
	}()
	if err := c.readPrefix(); err != nil {
		return h.bodyReadRefusal(x, c, err)
	}
	if remaining, quarantined := snap.Quarantined(c.spec.Digest); quarantined {
		return c.refuse(dogwoodford.ReasonQuarantined, remaining)
	}
	if begin != nil {
		if a := begin(); a != nil {
			return a
		}
	}
	a := h.route(ctx, snap, c, ledger)
	routed = true
	a.onEnd(func(ending) { cancel() })
	return a
}

// bodyReadRefusal returns the refusal of a request whose body could not be read
// because of err.
func (h *Handlers) bodyReadRefusal(x *exchange, c *call, err error) *answer {
	switch {
	case errors.Is(err, errTooLarge):
		return c.refuse(dogwoodford.ReasonTooLarge, 0)
	case x.ctx.Err() != nil:
		return c.refuse(dogwoodford.ReasonCancelled, 0)
	}
	a := c.refuse(dogwoodford.ReasonBadRequest, 0)
	a.text += "body is incomplete\n"
	return a
}
