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

// badRequest is a refusal that says what is wrong.
func badRequest(err error) *answer {
	a := notRun(dogwoodford.ReasonBadRequest)
	a.text += err.Error() + "\n"
	return a
}

// admitCaller takes a request with a customer credential. Without retries the
// request gets no retry budget.
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
		c.spec.Key, c.minted = mint(snap, service, now), true
		c.spec.Root = c.spec.Key.String()
	}
	if c.spec.Root == "" {
		c.spec.Root = newToken()
	}
	if !h.resendAllowed(c.spec.Customer, contract, claims.Attempt) {
		h.cfg.Events.Event(x.ctx, EventResends, c.spec.Root, nil)
		return c.refuse(dogwoodford.ReasonRetries, time.Second)
	}
	return h.start(x, snap, c, limits.MaxBody, dogretry.NewLedger(c.spec.Retries), nil)
}

// authorize checks the credential and finds the class.
func (h *Handlers) authorize(snap Snapshot, x *exchange, c *call, claims dogcall.Claims) (Contract, dogcall.Limits, *answer) {
	none := dogcall.Limits{}
	// The key is set already, so that a refusal of a resend says unknown.
	c.spec.Key = claims.Key
	if !snap.Configured() {
		return nil, none, c.refuse(dogwoodford.ReasonNoConfig, 0)
	}
	contract, ok := snap.Contract(claims.Customer)
	if !ok || claims.Customer == "" || !contract.Authorized(claims.Credential) {
		h.cfg.Events.Event(x.ctx, EventCredential, "", nil)
		return nil, none, c.refuse(dogwoodford.ReasonCredential, 0)
	}
	if x.r.Method == http.MethodConnect || x.r.Method == http.MethodTrace {
		return nil, none, c.refuse(dogwoodford.ReasonNoClass, 0)
	}
	limits, ok := contract.Class(x.service, x.r.Method, c.url.Path)
	if !ok {
		return nil, none, c.refuse(dogwoodford.ReasonNoClass, 0)
	}
	x.class = limits.Class
	return contract, limits, nil
}

func (h *Handlers) resendAllowed(customer string, contract Contract, attempt int) bool {
	percent, burst := contract.Resend()
	if attempt > 1 {
		return h.resends.TryResend(customer, burst)
	}
	h.resends.RecordFirst(customer, percent, burst)
	return true
}

// start does what entry and exit have in common: early refusal, the body, the
// deadline, the dispatch. begin, if set, is called just before the dispatch and
// may refuse.
func (h *Handlers) start(x *exchange, snap Snapshot, c *call, maxBody int64, ledger *dogretry.Ledger, begin func() *answer) *answer {
	r := dogwoodford.NewRequest(c.spec)
	x.span.Call(r)
	if after, refuse := h.cfg.Pressure.Refuse(time.Now(), r); refuse {
		return c.refuse(dogwoodford.ReasonOverload, after)
	}
	if err := c.body.bound(maxBody); err != nil {
		return c.refuse(dogwoodford.ReasonTooLarge, 0)
	}
	ctx, cancel := context.WithDeadline(x.ctx, c.spec.Deadline)
	routed := false
	defer func() {
		if !routed {
			cancel()
		}
	}()
	if err := c.fill(); err != nil {
		return h.unread(x, c, err)
	}
	if left, bad := snap.Quarantined(c.spec.Digest); bad {
		return c.refuse(dogwoodford.ReasonQuarantined, left)
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

// unread refuses a request whose body could not be read.
func (h *Handlers) unread(x *exchange, c *call, err error) *answer {
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
