package dogplatform

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure a Client. Zero values take the defaults in the comments.
type Options struct {
	Address    string            // IP address and port of the service.
	Rand       *rand.Rand        // Source of jitter; used under the client's lock.
	Transport  http.RoundTripper // http.Transport with bounded connections if nil.
	Timeout    time.Duration     // Longest time of a call other than Watch; 2 s.
	WatchWait  time.Duration     // Longest time of one waiting watch; 40 s, as the service waits up to 30 s.
	Concurrent int               // Calls at once, watches excluded; 4.
	Attempts   int               // Attempts of a read; 3.
	PauseMin   time.Duration     // First pause between attempts and trials; 100 ms.
	PauseMax   time.Duration     // Longest pause between trials; 10 s.
	OpenAfter  int               // Failures in a row that open the circuit; 4.
	Ramp       int               // Successes after an outage until the rate of calls is free again; 8.
	// Observe, if set, is told of each HTTP call when it has ended: its kind
	// (get, list, put, delete, watch) and the error if it had no usable answer.
	// It must be safe for concurrent use.
	Observe func(kind string, err error)
}

// Counts are totals since the start, for metrics.
type Counts struct {
	Calls      int64 // HTTP calls made, watches included.
	Failures   int64 // HTTP calls without a usable answer.
	Retries    int64 // Further attempts of reads.
	Conflicts  int64 // Writes that lost to another.
	Rejected   int64 // Calls refused by the open circuit.
	Opened     int64 // Times that the circuit opened.
	InProgress int64 // Calls that run now.
}

type counters struct {
	calls, failures, retries, conflicts, rejected, opened, inProgress atomic.Int64
}

// Client is a client of the object service. It is safe for concurrent use.
type Client struct {
	opt   Options
	http  *http.Client
	slots chan struct{}
	counters

	mu      sync.Mutex // Guards the circuit and opt.Rand.
	circuit circuit
}

// New returns a client. It panics if Address is empty or Rand is nil.
func New(opt Options) *Client {
	if opt.Address == "" || opt.Rand == nil {
		panic("dogplatform: options lack Address or Rand")
	}
	opt = opt.withDefaults()
	if opt.Transport == nil {
		opt.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: opt.Timeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: opt.Concurrent + 2,
			MaxConnsPerHost:     2*opt.Concurrent + 4,
			IdleConnTimeout:     90 * time.Second,
		}
	}
	return &Client{
		opt: opt,
		http: &http.Client{
			Transport:     opt.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		slots: make(chan struct{}, opt.Concurrent),
	}
}

func (o Options) withDefaults() Options {
	durations := []struct {
		d *time.Duration
		v time.Duration
	}{
		{&o.Timeout, 2 * time.Second},
		{&o.WatchWait, 40 * time.Second},
		{&o.PauseMin, 100 * time.Millisecond},
		{&o.PauseMax, 10 * time.Second},
	}
	for _, x := range durations {
		if *x.d == 0 {
			*x.d = x.v
		}
	}
	counts := []struct {
		n *int
		v int
	}{{&o.Concurrent, 4}, {&o.Attempts, 3}, {&o.OpenAfter, 4}, {&o.Ramp, 8}}
	for _, x := range counts {
		if *x.n == 0 {
			*x.n = x.v
		}
	}
	return o
}

// Counts returns totals since the start.
func (c *Client) Counts() Counts {
	return Counts{
		Calls:      c.calls.Load(),
		Failures:   c.failures.Load(),
		Retries:    c.retries.Load(),
		Conflicts:  c.conflicts.Load(),
		Rejected:   c.rejected.Load(),
		Opened:     c.opened.Load(),
		InProgress: c.inProgress.Load(),
	}
}

// Open reports whether the circuit is open.
func (c *Client) Open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.open
}

// jitter returns a random duration in [d/2, 3d/2).
func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return jitter(c.opt.Rand, d)
}

func jitter(rnd *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
