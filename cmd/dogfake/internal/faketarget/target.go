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
	Service   string
	Slots     int           // Requests that run at once; further ones wait.
	Time      time.Duration // Service time.
	Jitter    time.Duration // The service time varies by up to this much each way.
	ColdStart time.Duration // Time after the start with slow service and health 503.
	Exit      string        // Address of the node's exit for child calls.
	Rules     []Rule        // Child calls.
	Retries   int           // Blind retries of a child call that fails.
	Marker    string        // Content that crashes the target; empty for none.
	Seed      uint64        // Seed of the jitter.
	Client    *http.Client  // Client for child calls; a default if nil.
	Crash     func()        // Ends the process at once.
	Stop      func()        // Ends the process as planned, after a drain.
	Journal   io.Writer     // Takes a line with key and id of each request that starts; nil for none.
}

// coldFactor is how much slower the service is during a cold start.
const coldFactor = 5

// Target is a stand-in for one worker. It is safe for concurrent use.
type Target struct {
	cfg      Config
	mux      *http.ServeMux
	slots    chan struct{}
	started  time.Time
	inFlight atomic.Int64
	waiting  atomic.Int64
	slow     atomic.Int64 // Service time in nanoseconds; 0 means that of cfg.
	draining atomic.Bool  // Shown on the health endpoint.
	closed   atomic.Bool  // New requests are refused.

	mu     sync.Mutex
	rng    *rand.Rand
	health healthMode
	ran    Ran
}

// New returns a target that starts now.
func New(cfg Config) *Target {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots, DisableCompression: true}}
	}
	t := &Target{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		slots:   make(chan struct{}, cfg.Slots),
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		ran:     newRan(),
	}
	t.mux.HandleFunc("GET /health", t.serveHealth)
	t.mux.HandleFunc("GET /load", t.serveLoad)
	t.mux.HandleFunc("GET /control/ran", t.serveRan)
	t.mux.HandleFunc("POST /control/slow", t.serveSlow)
	t.mux.HandleFunc("POST /control/health", t.serveHealthMode)
	t.mux.HandleFunc("POST /control/drain", t.serveDrain)
	t.mux.HandleFunc("POST /control/crash", func(http.ResponseWriter, *http.Request) { t.cfg.Crash() })
	t.mux.HandleFunc("/", t.serveRequest)
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Drain shows the drain on the health endpoint, goes on serving for the grace,
// then refuses new requests as not run. It returns when nothing is in progress
// or ctx ends.
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

// serviceTime returns how long the next request runs.
func (t *Target) serviceTime() time.Duration {
	d := t.cfg.Time
	if ns := t.slow.Load(); ns > 0 {
		d = time.Duration(ns)
	}
	if t.cfg.Jitter > 0 {
		t.mu.Lock()
		d += time.Duration(t.rng.Int64N(int64(2*t.cfg.Jitter)+1)) - t.cfg.Jitter
		t.mu.Unlock()
	}
	if t.cold() {
		d *= coldFactor
	}
	return max(d, 0)
}

// cold reports whether the cold start still lasts.
func (t *Target) cold() bool { return time.Since(t.started) < t.cfg.ColdStart }

// acquire takes a slot. It returns false if ctx ends first.
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

// sleep waits for d or until ctx ends, which it reports as false.
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
