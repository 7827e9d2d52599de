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

// Config is what the handlers work with. All fields are required unless the
// comment says otherwise.
type Config struct {
	Name          string // Of this node.
	Service       string // Of the target beside this node.
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

// Handlers are the handlers of one node. They share the requests in progress,
// so that the exit finds the request that a child call belongs to.
type Handlers struct {
	cfg     Config
	resends *dogretry.ResendBudgets
	given   givenKeys
	present atomic.Int64 // Requests at the entry and the exit.

	mu       sync.Mutex
	progress map[string]*progress // By token.
}

// progress is a request in progress at the own target.
type progress struct {
	ctx         context.Context
	req         dogwoodford.Request
	ledger      *dogretry.Ledger
	traceparent string
	children    stopwatch
}

// stopwatch adds up the time in which at least one child call was in progress.
// It is safe for concurrent use.
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

// elapsed returns the time until now.
func (s *stopwatch) elapsed(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running > 0 {
		return s.total + now.Sub(s.since)
	}
	return s.total
}

// New returns the handlers. It panics if a required field is not set.
func New(cfg Config) *Handlers {
	if cfg.Name == "" || cfg.Service == "" || cfg.TargetAddress == "" || cfg.PeerKey == "" {
		panic("doghttp: name, service, target address and peer key are required")
	}
	if cfg.Control == nil || cfg.Gate == nil || cfg.Router == nil || cfg.Pressure == nil ||
		cfg.Records == nil || cfg.Peers == nil || cfg.Target == nil {
		panic("doghttp: a required part is nil")
	}
	withoutOptional(&cfg)
	return &Handlers{cfg: cfg, resends: dogretry.NewResendBudgets(), progress: make(map[string]*progress)}
}

// Entry returns the handler for callers.
func (h *Handlers) Entry() http.Handler {
	return h.handler(func(*http.Request) Role { return RoleEntry }, h.entry)
}

// Exit returns the handler for child calls of the own target.
func (h *Handlers) Exit() http.Handler {
	return h.handler(func(*http.Request) Role { return RoleExit }, h.exit)
}

// Peer returns the handler for calls of other nodes: owner and guard. Mount
// the messages between nodes beside it.
func (h *Handlers) Peer() http.Handler {
	return h.handler(func(r *http.Request) Role {
		if r.Header.Get(dogcall.HeaderKey) != "" && r.Header.Get(dogcall.HeaderEpoch) == "" {
			return RoleOwner
		}
		return RoleGuard
	}, h.peer)
}

// Present returns how many requests are at the entry and the exit.
func (h *Handlers) Present() int64 { return h.present.Load() }

// InProgress returns the digests of the requests in progress at the target,
// for the report of suspects when the target dies.
func (h *Handlers) InProgress() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]uint64, 0, len(h.progress))
	for _, p := range h.progress {
		if d := p.req.Digest(); d != 0 {
			out = append(out, d)
		}
	}
	return out
}

func (h *Handlers) register(token string, p *progress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.progress[token] = p
}

func (h *Handlers) unregister(token string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.progress, token)
}

func (h *Handlers) lookup(token string) *progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.progress[token]
}

// exchange is one request at a handler.
type exchange struct {
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	rc    *http.ResponseController
	role  Role
	start time.Time
	span  Span
	body  *body
	sent  bool // Headers of the answer were sent.
	abort bool // The answer was broken off.
	// answers are finished if the request panics, so that nothing that it holds
	// is kept from other requests.
	answers []*answer
	out     int64 // Bytes of the body of the answer.
	// traceparent is what hops below send on.
	traceparent string
	service     string
	class       string
}

func (x *exchange) track(a *answer) { x.answers = append(x.answers, a) }

func (h *Handlers) handler(role func(*http.Request) Role, serve func(*exchange) *answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, rc: http.NewResponseController(w), role: role(r), start: time.Now()}
		x.ctx, x.traceparent, x.span = h.cfg.Tracer.Start(r.Context(), x.role, firstTraceparent(r.Header))
		x.body = newBody(r, x.rc)
		if x.role == RoleEntry || x.role == RoleExit {
			h.present.Add(1)
			defer h.present.Add(-1)
		}
		defer h.recover(x)
		defer func() { x.body.stop(x.abort) }()
		// Without it, HTTP/1.1 ends the request body when the answer starts.
		// Other protocols do not need it and say that it is not supported.
		if err := x.rc.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			h.cfg.Events.Event(x.ctx, EventPanic, "", fmt.Errorf("full duplex: %w", err))
		}
		h.relay(x, serve(x))
	})
}

// recover ends the request that panicked, and no other.
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
	if x.sent {
		panic(http.ErrAbortHandler)
	}
	// How far the request came is not known here.
	h.relay(x, refusal(dogwoodford.Unknown, dogwoodford.ReasonInternal, 0))
}

func firstTraceparent(h http.Header) string {
	if v := h[dogcall.HeaderTraceparent]; len(v) == 1 && dogcall.ValidTraceparent(v[0]) {
		return v[0]
	}
	return ""
}

func withoutOptional(cfg *Config) {
	if cfg.Suspects == nil {
		cfg.Suspects = nothing{}
	}
	if cfg.Tracer == nil {
		cfg.Tracer = nothing{}
	}
	if cfg.Events == nil {
		cfg.Events = nothing{}
	}
	if cfg.Counters == nil {
		cfg.Counters = nothing{}
	}
}

// nothing stands for the optional parts that are not set.
type nothing struct{}

func (nothing) Enter(time.Time, string, uint64) dogwoodford.Verdict { return dogwoodford.RunVerdict() }
func (nothing) Leave(string, End)                                   {}

func (nothing) Start(ctx context.Context, _ Role, traceparent string) (context.Context, string, Span) {
	return ctx, traceparent, nothing{}
}
func (nothing) Call(dogwoodford.Request)                         {}
func (nothing) End(dogwoodford.Outcome, dogwoodford.Reason, int) {}
func (nothing) Event(context.Context, Event, string, error)      {}
func (nothing) Attempted(Role, dogwoodford.Target, int)          {}
func (nothing) Guarded(dogwoodford.Reason, time.Duration)        {}
func (nothing) Served(time.Duration)                             {}
func (nothing) Moved(Role, int64, int64)                         {}
func (nothing) Answered(Role, string, string, dogwoodford.Outcome, dogwoodford.Reason, time.Duration) {
}
