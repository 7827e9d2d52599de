package doghttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/request/dogretry"
	"dogwoodford/io/request/doggate"
)

// Config holds the settings and dependencies of the handlers. All fields are
// required unless the comment says otherwise.
type Config struct {
	Name          string // Of this node.
	Service       string // Of the node's own target.
	TargetAddress string // IP address and port.
	PeerKey       string

	Control  Control
	Gate     *doggate.Gate
	Router   *doggate.Balancer
	Pressure Pressure
	Records  Records
	Suspects Suspects // Optional.
	Tracer   Tracer   // Optional.
	Events   Events   // Optional.
	Counters Counters // Optional.

	Peers  Sender // To other nodes.
	Target Sender // To the target.
}

// Handlers holds the handlers of one node. They share the requests in progress,
// so that the exit finds the request to which a child call belongs. It is safe
// for concurrent use.
type Handlers struct {
	cfg     Config
	resends *dogretry.ResendBudgets
	recent  recentKeys
	active  atomic.Int64 // Requests at the entry and the exit.

	mu         sync.Mutex
	inProgress map[string]*inProgress // By token.
}

// inProgress is a request in progress at the node's own target.
type inProgress struct {
	ctx         context.Context
	req         dogwoodford.Request
	ledger      *dogretry.Ledger
	traceparent string
	children    stopwatch
}

// stopwatch measures the time during which at least one child call was in
// progress. It is safe for concurrent use.
type stopwatch struct {
	mu      sync.Mutex
	running int
	since   time.Time
	total   time.Duration
}

func (s *stopwatch) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == 0 {
		s.since = now
	}
	s.running++
}

func (s *stopwatch) end(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		s.total += now.Sub(s.since)
	}
}

// elapsed returns the time measured up to now.
func (s *stopwatch) elapsed(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running > 0 {
		return s.total + now.Sub(s.since)
	}
	return s.total
}

// New returns the handlers for cfg. It panics if a required field is not set.
func New(cfg Config) *Handlers {
	if cfg.Name == "" || cfg.Service == "" || cfg.TargetAddress == "" || cfg.PeerKey == "" {
		panic("doghttp: name, service, target address and peer key are required")
	}
	if cfg.Control == nil || cfg.Gate == nil || cfg.Router == nil || cfg.Pressure == nil ||
		cfg.Records == nil || cfg.Peers == nil || cfg.Target == nil {
		panic("doghttp: a required interface or pointer of Config is nil")
	}
	setDefaults(&cfg)
	return &Handlers{cfg: cfg, resends: dogretry.NewResendBudgets(), inProgress: make(map[string]*inProgress)}
}

// Entry returns the handler for callers.
func (h *Handlers) Entry() http.Handler {
	return h.handler(func(*http.Request) Role { return RoleEntry }, h.entry)
}

// Exit returns the handler for child calls of the node's own target.
func (h *Handlers) Exit() http.Handler {
	return h.handler(func(*http.Request) Role { return RoleExit }, h.exit)
}

// Peer returns the handler for calls from other nodes to the owner and the
// guard. The messages between nodes need a handler of their own on the same
// listener.
func (h *Handlers) Peer() http.Handler {
	return h.handler(func(r *http.Request) Role {
		if r.Header.Get(dogcall.HeaderKey) != "" && r.Header.Get(dogcall.HeaderEpoch) == "" {
			return RoleOwner
		}
		return RoleGuard
	}, h.peer)
}

// ActiveRequests returns the number of requests at the entry and the exit.
func (h *Handlers) ActiveRequests() int64 { return h.active.Load() }

// DigestsInProgress returns the digests of the requests in progress at the target,
// which become suspects if the target dies.
func (h *Handlers) DigestsInProgress() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]uint64, 0, len(h.inProgress))
	for _, p := range h.inProgress {
		if d := p.req.Digest(); d != 0 {
			out = append(out, d)
		}
	}
	return out
}

func (h *Handlers) register(token string, p *inProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inProgress[token] = p
}

func (h *Handlers) unregister(token string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inProgress, token)
}

func (h *Handlers) lookup(token string) *inProgress {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inProgress[token]
}

// exchange is one request at a handler.
type exchange struct {
	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	rc          *http.ResponseController
	role        Role
	start       time.Time
	span        Span
	body        *body
	headersSent bool // The headers of the answer were sent.
	abort       bool // The answer was aborted.
	// answers are finished if the request panics, so that slots, records and
	// connections are released.
	answers   []*answer
	bytesSent int64 // Bytes sent of the body of the answer.
	// traceparent is sent with calls made for this request.
	traceparent string
	service     string
	class       string
}

func (x *exchange) track(a *answer) { x.answers = append(x.answers, a) }

// breakOff ends the request and its connection or stream, so that the answer, whose headers
// were sent, does not look complete. It does not return.
func (x *exchange) breakOff() {
	x.abort = true
	if !x.r.ProtoAtLeast(1, 1) {
		x.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection. An answer without a length to an HTTP/1.0 request ends with
// its connection, so that a close in order would look like its end.
func (x *exchange) reset() {
	c, _, err := x.rc.Hijack()
	if err != nil {
		return // The connection is closed.
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // Fails only on a closed connection.
	}
	_ = c.Close()
}

func (h *Handlers) handler(role func(*http.Request) Role, serve func(*exchange) *answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, rc: http.NewResponseController(w), role: role(r), start: time.Now()}
		x.ctx, x.traceparent, x.span = h.cfg.Tracer.Start(r.Context(), x.role, receivedTraceparent(r.Header))
		x.body = newBody(r, x.rc)
		if x.role == RoleEntry || x.role == RoleExit {
			h.active.Add(1)
			defer h.active.Add(-1)
		}
		defer h.recover(x)
		defer func() { x.body.stop(x.abort) }()
		// Without full duplex, HTTP/1.1 ends the request body when the answer
		// starts. Other protocols do not need it and return ErrNotSupported.
		if err := x.rc.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			h.cfg.Events.Event(x.ctx, EventPanic, "", fmt.Errorf("full duplex: %w", err))
		}
		h.relay(x, serve(x))
	})
}

// recover ends only the request that panicked.
func (h *Handlers) recover(x *exchange) {
	v := recover()
	if v == nil {
		return
	}
	for _, a := range x.answers {
		a.finish(aborted)
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	h.cfg.Events.Event(x.ctx, EventPanic, "", fmt.Errorf("panic: %v", v))
	if x.headersSent {
		x.breakOff()
	}
	// It is not known here how far the request progressed.
	h.relay(x, refusal(dogwoodford.OutcomeUnknown, dogwoodford.ReasonInternal, 0))
}

func receivedTraceparent(h http.Header) string {
	if v := h[dogcall.HeaderTraceparent]; len(v) == 1 && dogcall.ValidTraceparent(v[0]) {
		return v[0]
	}
	return ""
}

func setDefaults(cfg *Config) {
	if cfg.Suspects == nil {
		cfg.Suspects = noop{}
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop{}
	}
	if cfg.Events == nil {
		cfg.Events = noop{}
	}
	if cfg.Counters == nil {
		cfg.Counters = noop{}
	}
}

// noop implements the optional interfaces that are not set.
type noop struct{}

func (noop) Enter(time.Time, string, uint64) dogwoodford.Verdict { return dogwoodford.RunVerdict() }
func (noop) Leave(string, End)                                   {}

func (noop) Start(ctx context.Context, _ Role, traceparent string) (context.Context, string, Span) {
	return ctx, traceparent, noop{}
}
func (noop) SetCall(dogwoodford.Request)                          {}
func (noop) End(dogwoodford.Outcome, dogwoodford.Reason, int)     {}
func (noop) Event(context.Context, Event, string, error)          {}
func (noop) CountAttempt(Role, dogwoodford.Target, int)           {}
func (noop) CountGuardDecision(dogwoodford.Reason, time.Duration) {}
func (noop) CountTargetCall(time.Duration)                        {}
func (noop) CountBodyBytes(Role, int64, int64)                    {}
func (noop) CountAnswer(Role, string, string, dogwoodford.Outcome, dogwoodford.Reason, time.Duration) {
}
