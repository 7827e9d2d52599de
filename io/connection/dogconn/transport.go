package dogconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford/core/connection/dogoutcome"
)

// Protocol is the version of HTTP that a transport speaks.
type Protocol int

const (
	// HTTP1 is HTTP/1.1 with one call at a time on a connection.
	HTTP1 Protocol = iota
	// HTTP2 is cleartext HTTP/2 with prior knowledge.
	HTTP2
)

// Options configure a Transport. Zero fields take the defaults.
type Options struct {
	Protocol Protocol // Ignored by NewTarget.
	// MaxConns bounds the connections to one address; further calls wait for
	// a connection until their context ends. Default 256.
	MaxConns int
	// MaxIdleConns bounds the idle connections to all addresses together.
	// Default 4096.
	MaxIdleConns int
	// IdleTimeout is the time after which an idle connection is closed. It
	// should be shorter than the idle timeout of the server, because a call on
	// a connection that the server is closing has an unknown outcome. Default
	// 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds a dial. Default 500 ms, which is far above the round
	// trip time within a region and leaves time to try another target.
	DialTimeout time.Duration
	// Liveness determines when a silent connection is closed.
	Liveness Liveness
}

// Transport sends calls over HTTP/1.1 or HTTP/2. It is safe for concurrent use.
type Transport struct {
	protocol Protocol
	http2    *http.Transport // Used with HTTP2.
	pool     *pool           // Used with HTTP1.
	opened   atomic.Int64
	open     atomic.Int64
}

// Counts are the numbers of connections of a Transport, for metrics.
type Counts struct {
	Opened int64 // Opened since the start.
	Open   int64 // Open now, including idle ones.
}

// Counts returns the current numbers of connections.
func (t *Transport) Counts() Counts { return Counts{Opened: t.opened.Load(), Open: t.open.Load()} }

// NewPeer returns a transport to other nodes.
func NewPeer(o Options) *Transport { return newTransport(o) }

// NewTarget returns a transport to the node's own target, which uses HTTP/1.1
// on at most o.MaxConns connections.
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
		return &conn{Conn: c, onClose: func() { t.open.Add(-1) }}, nil
	}
	t.pool = newPool(dial, o)
	t.http2 = &http.Transport{
		Protocols:           &p,
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		DisableCompression:  true, // Responses are passed on unchanged.
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

// Close closes the idle connections.
func (t *Transport) Close() {
	t.http2.CloseIdleConnections()
	t.pool.close()
}

// Do sends req and returns the response, whose body is still to be read, and
// the stage dogoutcome.Headers. On an error the stage tells whether anything
// may have been written; after NothingWritten or DialFailed nothing will be. Do
// clears GetBody and replaces an absent body; with HTTP2 it removes Idempotency-Key
// headers from req. The caller must close the body of the response.
func (t *Transport) Do(req *http.Request) (*http.Response, dogoutcome.Stage, error) {
	t.forbidReplay(req)
	if t.protocol == HTTP1 {
		return t.doHTTP1(req)
	}
	c := &call{}
	trace := &httptrace.ClientTrace{GotConn: c.gotConn, WroteHeaderField: func(string, []string) { c.headersStarted() }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.http2.RoundTrip(req)
	if err != nil {
		return nil, c.failureStage(req.Context()), fmt.Errorf("send to %s: %w", req.URL.Host, err)
	}
	return resp, dogoutcome.Headers, nil
}

// forbidReplay modifies req so that net/http does not send it a second time
// unless nothing was written. Only calls over HTTP/2 pass through its transport, which
// otherwise repeats GET, HEAD, OPTIONS and TRACE, and anything with an Idempotency-Key,
// when a reused connection breaks, and any call without a body after some stream errors.
func (t *Transport) forbidReplay(req *http.Request) {
	req.GetBody = nil
	if t.protocol == HTTP2 {
		req.Header.Del("Idempotency-Key")
		req.Header.Del("X-Idempotency-Key")
	}
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	if t.protocol == HTTP1 {
		req.Body, req.ContentLength = http.NoBody, 0
		return
	}
	// With this body, a separate frame after the headers ends the stream.
	req.Body, req.ContentLength = emptyBody{}, 0
}

// emptyBody is a body without content that net/http does not recognise as
// http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// call tracks the progress of one HTTP/2 call. It is safe for concurrent use.
type call struct {
	mu        sync.Mutex
	connected bool
	written   bool
}

func (c *call) gotConn(httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connected = true
}

func (c *call) headersStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = true
}

// failureStage returns the stage that a failed call reached.
func (c *call) failureStage(ctx context.Context) dogoutcome.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.connected:
		return dogoutcome.DialFailed
	case c.written:
		return dogoutcome.Written
	case ctx.Err() != nil:
		// net/http may still write the headers of a cancelled HTTP/2 call.
		return dogoutcome.Written
	}
	return dogoutcome.NothingWritten
}

// conn counts writes, and can be sealed so that a call of which nothing was
// written yet cannot be written any more. It is safe for concurrent use.
type conn struct {
	net.Conn
	mu      sync.Mutex
	writes  uint64
	sealed  bool
	onClose func() // Called once, at the first Close; may be nil.
	once    sync.Once

	writing  sync.Mutex // Held during each write.
	writeErr error      // First error of a write; guarded by writing.
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.onClose != nil {
		c.once.Do(c.onClose)
	}
	return c.Conn.Close()
}

var errSealed = errors.New("connection sealed after a failed call")

// Write implements net.Conn. It counts before it writes, so that a write in
// progress is included in the count.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endWrites ends the write in progress, if any, and makes all further ones fail. It
// returns the error if one has failed before, which tells what a read cannot: the kernel
// reports a reset to one system call only, and if that was a write, reads return io.EOF as
// if the peer had closed the connection in order.
func (c *conn) endWrites() error {
	_ = c.SetWriteDeadline(pastDeadline) // Fails only on a closed connection.
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

// writeFailed reports whether a write has failed.
func (c *conn) writeFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr != nil
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all further writes fail if there was none since writeCount
// returned writesBefore, and reports whether it did.
func (c *conn) seal(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}
