package doghttp

import (
	"context"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/request/dogretry"
)

func (h *Handlers) exit(x *exchange) *answer {
	claims, err := dogcall.ParseClaims(x.r.Header)
	if err != nil {
		return badRequest(err)
	}
	p := h.lookup(claims.Token)
	if p == nil {
		h.cfg.Events.Event(x.ctx, EventUnknownToken, claims.Token, nil)
		return h.admitCaller(x, claims, false)
	}
	service, u, err := splitPath(x.r.URL)
	if err != nil {
		return badRequest(err)
	}
	x.service, x.class = service, p.req.Class()
	snap := h.cfg.Control.Snapshot()
	limits := childLimits(snap, p.req.Customer(), service, x.r.Method, u.Path)

	// A child call that the target sends again counts as one further attempt.
	if claims.Attempt > 1 && !p.ledger.Retry() {
		return notRun(dogwoodford.ReasonRetries)
	}
	share := p.ledger.Child()
	ledger := dogretry.NewLedger(share.Units())
	settle := func() { share.Settle(ledger.Close()) }
	defer settle() // The count is final once the headers of the answer are received.

	now := time.Now()
	c := newCall(x, u)
	if c.traceparent == "" {
		c.traceparent = p.traceparent
	}
	c.fresh = claims.Attempt == 1
	key := claims.Key
	if key.IsZero() || key == p.req.Key() || key.String() == p.req.Root() {
		// A key that equals that of the parent request is replaced: a target
		// that repeats it does not mean to identify the child call, and two
		// child calls with it would count as one.
		key, c.fresh, c.generated = generateKey(snap, service, now), true, true
	}
	c.spec, err = dogcall.Child(p.req, dogcall.ChildSpec{
		Service: service, Idempotent: limits.Idempotent, Retries: share.Units(),
		ClaimedDeadline: claims.Deadline, Key: key,
	}, now)
	if err != nil {
		return badRequest(err)
	}
	if !c.fresh {
		c.spec.Attempt = claims.Attempt
	}
	// Child calls end with their parent request.
	ctx, cancel := context.WithCancel(x.ctx)
	stop := context.AfterFunc(p.ctx, cancel)
	x.ctx = ctx
	p.children.begin(now)
	a := h.dispatch(x, snap, c, limits.MaxBody, ledger, func() *answer {
		if !share.RecordDispatch() {
			return notRun(dogwoodford.ReasonCancelled)
		}
		return nil
	})
	a.onEnd(func(ending) { stop(); cancel(); p.children.end(time.Now()) })
	return a
}

// childLimits returns the limits of a child call: those of its class, or
// defaults by method if it has none.
func childLimits(snap Snapshot, customer, service, method, path string) dogcall.Limits {
	if contract, ok := snap.Contract(customer); ok {
		if l, ok := contract.Class(service, method, path); ok {
			return l
		}
	}
	return dogcall.Limits{
		Idempotent: method == http.MethodGet || method == http.MethodHead,
		MaxBody:    -1,
	}
}
