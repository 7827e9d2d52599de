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

// Options configures a Client. A zero value selects the default that ends the
// comment of the field.
type Options struct {
	Address       string            // IP address and port of the service; required.
	Rand          *rand.Rand        // Source of jitter, used under the client's lock; required.
	Transport     http.RoundTripper // HTTP transport; an http.Transport with a limit on connections.
	Timeout       time.Duration     // Timeout of a call other than Watch; 2 s.
	WatchWait     time.Duration     // Timeout of one watch request, which the service holds for up to 30 s; 40 s.
	MaxConcurrent int               // Limit on concurrent calls, watches excluded; 4.
	MaxAttempts   int               // Limit on attempts of a read; 3.
	MinBackoff    time.Duration     // Initial backoff between attempts and between trials; 100 ms.
	MaxBackoff    time.Duration     // Limit on the backoff; 10 s.
	OpenAfter     int               // Consecutive failures that open the circuit; 4.
	RampCalls     int               // Successful calls after an outage until the call rate is unlimited; 8.
	// Observe, if set, is called at the end of each HTTP call that its caller
	// did not cancel, with the kind of the call (get, list, put, delete, watch)
	// and the error if there was no usable response. It must be safe for
	// concurrent use.
	Observe func(kind string, err error)
}

// Counts holds totals since the client was created and one current value, for
// metrics.
type Counts struct {
	Calls         int64 // HTTP calls, watches included.
	Failures      int64 // HTTP calls without a usable response.
	Retries       int64 // Attempts of reads after the first.
	Conflicts     int64 // Writes and deletions whose expected version had changed.
	Rejected      int64 // Calls that the circuit did not allow.
	CircuitOpened int64 // Transitions of the circuit from closed to open.
	InProgress    int64 // HTTP calls in progress at present.
}

type counters struct {
	calls, failures, retries, conflicts, rejected, opened, inProgress atomic.Int64
}

// Client is a client of the object service. It implements dogwoodford.Platform
// and is safe for concurrent use.
type Client struct {
	opt       Options
	http      *http.Client
	semaphore chan struct{}
	counters

	mu      sync.Mutex // Protects circuit and opt.Rand.
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
			MaxIdleConnsPerHost: opt.MaxConcurrent + 2,
			MaxConnsPerHost:     2*opt.MaxConcurrent + 4,
			IdleConnTimeout:     90 * time.Second,
		}
	}
	return &Client{
		opt: opt,
		http: &http.Client{
			Transport:     opt.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		semaphore: make(chan struct{}, opt.MaxConcurrent),
	}
}

func (o Options) withDefaults() Options {
	durations := []struct {
		d *time.Duration
		v time.Duration
	}{
		{&o.Timeout, 2 * time.Second},
		{&o.WatchWait, 40 * time.Second},
		{&o.MinBackoff, 100 * time.Millisecond},
		{&o.MaxBackoff, 10 * time.Second},
	}
	for _, x := range durations {
		if *x.d == 0 {
			*x.d = x.v
		}
	}
	counts := []struct {
		n *int
		v int
	}{{&o.MaxConcurrent, 4}, {&o.MaxAttempts, 3}, {&o.OpenAfter, 4}, {&o.RampCalls, 8}}
	for _, x := range counts {
		if *x.n == 0 {
			*x.n = x.v
		}
	}
	return o
}

// Counts returns the current counts.
func (c *Client) Counts() Counts {
	return Counts{
		Calls:         c.calls.Load(),
		Failures:      c.failures.Load(),
		Retries:       c.retries.Load(),
		Conflicts:     c.conflicts.Load(),
		Rejected:      c.rejected.Load(),
		CircuitOpened: c.opened.Load(),
		InProgress:    c.inProgress.Load(),
	}
}

// CircuitOpen reports whether the circuit is open.
func (c *Client) CircuitOpen() bool {
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

// sleep waits for d or until ctx is done, in which case it returns ctx.Err().
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
