package faketarget

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config describes a target.
type Config struct {
	Service     string
	Slots       int           // Requests that run concurrently; further ones wait.
	ServiceTime time.Duration // Time that a request takes.
	Jitter      time.Duration // Maximum deviation of the service time in either direction.
	ColdStart   time.Duration // Time after the start in which service is slow and health is 503.
	Exit        string        // Address of the node's exit for child calls.
	Rules       []Rule        // Child calls.
	Retries     int           // Immediate retries of a child call that fails.
	CrashMarker string        // Text in a URI or body that crashes the target; empty for none.
	Seed        uint64        // Seed of the jitter.
	Client      *http.Client  // Client for child calls; nil for a default client.
	Crash       func()        // Ends the process at once.
	Stop        func()        // Drains the target and ends the process.
	Journal     io.Writer     // Receives a line with the key and id of each request before it runs; nil for none.
}

// coldStartFactor multiplies the service time during a cold start.
const coldStartFactor = 5

// Target is a fake of one worker of a service. It is safe for concurrent use.
type Target struct {
	cfg                 Config
	mux                 *http.ServeMux
	slots               chan struct{}
	started             time.Time
	inFlight            atomic.Int64
	waiting             atomic.Int64
	serviceTimeOverride atomic.Int64 // In nanoseconds; 0 for the service time of cfg.
	draining            atomic.Bool  // Reported by the health endpoint.
	closed              atomic.Bool  // New requests are refused.

	mu        sync.Mutex
	rng       *rand.Rand
	health    healthMode
	runCounts RunCounts
}

// New returns a target. Its cold start begins with the call.
func New(cfg Config) *Target {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots, DisableCompression: true}}
	}
	t := &Target{
		cfg:       cfg,
		mux:       http.NewServeMux(),
		slots:     make(chan struct{}, cfg.Slots),
		started:   time.Now(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		runCounts: newRunCounts(),
	}
	t.mux.HandleFunc("GET /health", t.serveHealth)
	t.mux.HandleFunc("GET /load", t.serveLoad)
	t.mux.HandleFunc("GET /control/ran", t.serveRunCounts)
	t.mux.HandleFunc("POST /control/slow", t.serveServiceTime)
	t.mux.HandleFunc("POST /control/health", t.serveHealthMode)
	t.mux.HandleFunc("POST /control/drain", t.serveDrain)
	t.mux.HandleFunc("POST /control/crash", func(http.ResponseWriter, *http.Request) { t.cfg.Crash() })
	t.mux.HandleFunc("/", t.serveRequest)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Drain reports draining on the health endpoint, continues to serve for the
// grace period, and then refuses new requests as not run. It returns when no
// request is in progress or waits for a slot, or when ctx ends.
func (t *Target) Drain(ctx context.Context, grace time.Duration) {
	t.draining.Store(true)
	sleep(ctx, grace)
	t.closed.Store(true)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for t.inFlight.Load()+t.waiting.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// serviceTime returns the service time of the next request.
func (t *Target) serviceTime() time.Duration {
	d := t.cfg.ServiceTime
	if ns := t.serviceTimeOverride.Load(); ns > 0 {
		d = time.Duration(ns)
	}
	if t.cfg.Jitter > 0 {
		t.mu.Lock()
		d += time.Duration(t.rng.Int64N(int64(2*t.cfg.Jitter)+1)) - t.cfg.Jitter
		t.mu.Unlock()
	}
	if t.cold() {
		d *= coldStartFactor
	}
	return max(d, 0)
}

// cold reports whether the cold start has not yet ended.
func (t *Target) cold() bool { return time.Since(t.started) < t.cfg.ColdStart }

// acquire waits for a slot and takes it. It returns false if ctx ends first.
func (t *Target) acquire(ctx context.Context) bool {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.inFlight.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) release() {
	t.inFlight.Add(-1)
	<-t.slots
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
