package dogconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford/core/connection/dogoutcome"
)

// Protocol is the protocol of a transport.
type Protocol int

const (
	// HTTP1 is HTTP/1.1 with one call at a time on a connection.
	HTTP1 Protocol = iota
	// HTTP2 is cleartext HTTP/2 with prior knowledge.
	HTTP2
)

// Options of a transport. Zero values stand for the defaults.
type Options struct {
	Protocol Protocol // Between nodes only.
	// MaxConns bounds the connections to one address; calls beyond it wait
	// for a connection until their context ends. Default 256.
	MaxConns int
	// MaxIdleConns bounds the idle connections to all addresses together.
	// Default 4096.
	MaxIdleConns int
	// IdleTimeout ends idle connections. It should be below the idle timeout
	// of the other side, as a call on a connection that is being closed there
	// has an unknown outcome. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds a dial. Default 500 ms, which is far above the delay
	// within a region and leaves time to try another target.
	DialTimeout time.Duration
	// Liveness says when a silent connection is given up.
	Liveness Liveness
}

// Transport sends calls. It is safe for concurrent use.
type Transport struct {
	protocol Protocol
	base     *http.Transport // For HTTP/2.
	pool     *pool           // For HTTP/1.1.
	opened   atomic.Int64
	open     atomic.Int64
}

// Counts are numbers of connections, for metrics.
type Counts struct {
	Opened int64 // Since the start.
	Open   int64 // At present, idle ones included.
}

// Counts returns the numbers of connections.
func (t *Transport) Counts() Counts { return Counts{Opened: t.opened.Load(), Open: t.open.Load()} }

// NewPeer returns the transport to other nodes.
func NewPeer(o Options) *Transport { return newTransport(o) }

// NewTarget returns the transport to the node's own target, which speaks
// HTTP/1.1 on at most o.MaxConns connections.
func NewTarget(o Options) *Transport {
	o.Protocol = HTTP1
	return newTransport(o)
}

func newTransport(o Options) *Transport {
	o = withDefaults(o)
	dialer := o.Liveness.Dialer(o.DialTimeout)
	var p http.Protocols
	p.SetHTTP1(o.Protocol == HTTP1)
	p.SetUnencryptedHTTP2(o.Protocol == HTTP2)
	t := &Transport{protocol: o.Protocol}
	dial := func(ctx context.Context, addr string) (*conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		t.opened.Add(1)
		t.open.Add(1)
		return &conn{Conn: c, closed: func() { t.open.Add(-1) }}, nil
	}
	t.pool = newPool(dial, o.MaxConns, o.IdleTimeout)
	t.base = &http.Transport{
		Protocols:           &p,
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		DisableCompression:  true, // Answers pass unchanged.
		MaxConnsPerHost:     o.MaxConns,
		MaxIdleConnsPerHost: o.MaxConns,
		MaxIdleConns:        o.MaxIdleConns,
		IdleConnTimeout:     o.IdleTimeout,
	}
	return t
}

func withDefaults(o Options) Options {
	if o.MaxConns <= 0 {
		o.MaxConns = 256
	}
	if o.MaxIdleConns <= 0 {
		o.MaxIdleConns = 4096
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = 500 * time.Millisecond
	}
	return o
}

// Close ends the idle connections.
func (t *Transport) Close() {
	t.base.CloseIdleConnections()
	t.pool.close()
}

// Do sends req and returns the headers of the answer, with the body still to
// come, and the stage dogoutcome.Headers. On an error the stage says whether
// anything may have been written; after NothingWritten or DialFailed nothing
// will be. Do removes Idempotency-Key headers from req and clears GetBody.
func (t *Transport) Do(req *http.Request) (*http.Response, dogoutcome.Stage, error) {
	t.forbidReplay(req)
	if t.protocol == HTTP1 {
		return t.direct(req)
	}
	c := &call{}
	trace := &httptrace.ClientTrace{GotConn: c.gotConn, WroteHeaderField: func(string, []string) { c.headersStarted() }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, c.fail(req.Context()), fmt.Errorf("send to %s: %w", req.URL.Host, err)
	}
	return resp, dogoutcome.Headers, nil
}

// forbidReplay makes req one that net/http does not send a second time unless
// nothing was written. Without it, net/http repeats GET, HEAD, OPTIONS and
// TRACE, and anything with an Idempotency-Key, when a reused connection
// breaks, and HTTP/2 repeats any call without a body after some stream errors.
func (t *Transport) forbidReplay(req *http.Request) {
	req.GetBody = nil
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	if t.protocol == HTTP1 {
		req.Body, req.ContentLength = http.NoBody, 0
		return
	}
	// The end of the stream follows the headers in a frame of its own.
	req.Body, req.ContentLength = emptyBody{}, 0
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// call follows the connections that one call of HTTP/2 was given.
type call struct {
	mu      sync.Mutex
	got     bool
	written bool
}

func (c *call) gotConn(httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got = true
}

func (c *call) headersStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = true
}

// fail returns the stage of a call that failed.
func (c *call) fail(ctx context.Context) dogoutcome.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.got:
		return dogoutcome.DialFailed
	case c.written:
		return dogoutcome.Written
	case ctx.Err() != nil:
		// HTTP/2 may still be about to write the headers of a cancelled call.
		return dogoutcome.Written
	}
	return dogoutcome.NothingWritten
}

// conn counts writes, and can be sealed against any first write of a call.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	closed func() // Called once, at the first Close; may be nil.
	once   sync.Once
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.closed != nil {
		c.once.Do(c.closed)
	}
	return c.Conn.Close()
}

var errSealed = errors.New("connection given up")

// Write counts before it writes, so that a write in progress counts.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all further writes if there was none since the count before,
// and reports whether it did.
func (c *conn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
		return false
	}
	c.sealed = true
	return true
}
