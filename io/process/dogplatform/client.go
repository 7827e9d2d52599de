package dogplatform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"dogwoodford"
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

// Client is a client of the object service. It is safe for concurrent use.
type Client struct{}

var _ dogwoodford.Platform = (*Client)(nil)

// New returns a client. It panics if Address is empty or Rand is nil.
func New(opt Options) *Client { return &Client{} }

// Get returns the object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (dogwoodford.Object, error) {
	return dogwoodford.Object{}, nil
}

// List returns the objects whose names start with prefix, by name.
func (c *Client) List(ctx context.Context, prefix string) ([]dogwoodford.Object, error) {
	return nil, nil
}

// Put implements dogwoodford.Platform.
func (c *Client) Put(ctx context.Context, name string, expected int64, value []byte) (int64, error) {
	return 0, nil
}

// Delete removes the object if it has the expected version. A deletion whose
// answer was lost gives ErrUnavailable.
func (c *Client) Delete(ctx context.Context, name string, expected int64) error { return nil }

// Watch implements dogwoodford.Platform.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]dogwoodford.Object, int64, error) {
	return nil, 0, nil
}

// Counts returns totals since the start.
func (c *Client) Counts() Counts { return Counts{} }

// Open reports whether the circuit is open.
func (c *Client) Open() bool { return false }
