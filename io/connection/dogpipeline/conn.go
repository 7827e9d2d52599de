package dogpipeline

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes is the size of the read and write buffers of a connection. It holds
	// typical requests and responses.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the request line and headers of a request.
	maxHeadBytes = 64 << 10
	// maxAhead bounds the requests of one connection that run at the same time. The
	// server reads no further ones meanwhile.
	maxAhead = 32
	// maxDiscardBytes is the length up to which the unread rest of a request's body is
	// read and dropped, so that the connection can be used again.
	maxDiscardBytes = 256 << 10
	// lingerTime is how long the server reads on after its last response. A connection
	// that is closed with unread bytes is reset, which may destroy the response.
	lingerTime = 500 * time.Millisecond
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// conn is one connection of a client. The goroutine of serve reads the requests; each
// of them runs in a goroutine of the server's workers.
type conn struct {
	srv    *Server
	rwc    net.Conn
	remote string // Address of the client.
	src    *source
	br     *bufio.Reader
	out    *output // Used by the response whose turn it is.
	ctx    context.Context
	cancel context.CancelFunc

	call    func()        // The method callHandler, allocated once.
	body    *requestBody  // Body of the last request that has one; nil if none has.
	waiting *response     // Started request whose handler is called at the next peek; nil if none.
	slots   chan struct{} // Semaphore; holds one element per request in progress.
	running sync.WaitGroup
	served  bool  // A complete request was read.
	cost    int64 // Memory that the head that is read takes, see costOf.

	part     part          // Guarded by the mutex of the budget.
	unserved *list.Element // Place in the connections without a complete request; guarded by the mutex of srv.
	evicted  bool          // The connection was closed for another one; guarded by the mutex of srv.

	// Times in Unix nanoseconds, 0 if there is none.
	writing     atomic.Int64 // Start of the write in progress.
	readingBody atomic.Int64 // Start of the read of a body in progress.
	bodyStarted atomic.Int64 // Start of the body in progress.
	bodyEnd     atomic.Int64 // Time by which the body in progress must have ended.

	mu          sync.Mutex
	reading     bool // A request has begun to arrive.
	inFlight    int  // Requests in progress.
	closed      bool // No further request is read.
	state       http.ConnState
	idleSince   time.Time // Last change to http.StateIdle.
	headStarted time.Time // Start of the head that is read; zero if none is.
	expired     Reason    // Why the head that is read was ended; empty if it was not.
}

func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{srv: s, rwc: rwc, src: newSource(rwc), slots: make(chan struct{}, maxAhead)}
	c.src.grow = c.growHead
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.call, c.remote = c.callHandler, rwc.RemoteAddr().String()
	return c
}

// serve reads requests until the client or the server ends the connection.
func (c *conn) serve() {
	c.br, _ = readers.Get().(*bufio.Reader)
	c.out = newOutput(c.rwc, &c.writing)
	c.br.Reset(c.src)
	last := closedChannel
	for {
		resp, err := c.readRequest(last)
		if err != nil {
			c.endReading(err, last)
			break
		}
		last = resp.done
		if !c.run(resp) {
			break
		}
	}
	c.running.Wait()
	c.finish()
	c.srv.removeConn(c)
}

// closedChannel is the turn of the first request of a connection.
var closedChannel = func() chan struct{} { ch := make(chan struct{}); close(ch); return ch }()

// errClosed means that the server reads no further request of the connection.
var errClosed = errors.New("connection closing")

// peek waits for the next byte of the client, and calls the handler of the request that
// waits for that. It calls it as soon as it is known that the client has not left yet, as
// far as the connection can tell, or else with a context that is cancelled: the request
// may have arrived long ago.
func (c *conn) peek() error {
	c.src.beforeWait = c.call
	_, err := c.br.Peek(1)
	c.src.beforeWait = nil
	if err != nil && c.busy() {
		c.cancel() // Nobody waits for the responses.
	}
	c.callHandler()
	return err
}

// callHandler calls the handler of the request that waits for it, if any, or lets the
// handler of the last request go on behind the end of its body.
func (c *conn) callHandler() {
	if c.body != nil {
		c.body.markChecked()
	}
	if c.waiting != nil {
		c.srv.workers.handle(c.waiting)
		c.waiting = nil
	}
}

// busy reports whether requests are in progress.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// awaitRequest prepares the connection for the next request and reports whether one
// may be read.
func (c *conn) awaitRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 && !c.closed && !c.reading {
		c.becomeIdle()
	}
	return !c.closed
}

// becomeIdle starts the idle timeout. The caller must hold c.mu.
func (c *conn) becomeIdle() {
	if c.srv.IdleTimeout > 0 {
		_ = c.rwc.SetReadDeadline(time.Now().Add(c.srv.IdleTimeout))
	}
	c.setStateLocked(http.StateIdle)
}

// beginRequest records that a request has begun to arrive. It reports whether the
// request is to be read.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.reading = true
	_ = c.rwc.SetReadDeadline(time.Time{}) // Fails only on a closed connection, as the next read does.
	c.startHead()
	c.setStateLocked(http.StateActive)
	return true
}

// run starts a request, and returns when the next one may be read. It reports false if
// none may.
func (c *conn) run(resp *response) bool {
	if !resp.parallel() || c.srv.MaxAhead > 0 && c.srv.ahead.Load() >= c.srv.MaxAhead {
		// Whatever closes the connection is known then, and the request has not begun.
		select {
		case <-resp.turn:
		case <-c.ctx.Done():
		}
	}
	if !c.start(resp) {
		c.srv.Budget.endRequest(c, resp.held)
		return false
	}
	if resp.body != nil {
		c.body = resp.body
	}
	c.slots <- struct{}{}
	c.running.Add(1)
	c.waiting = resp
	if resp.parallel() {
		return true
	}
	if resp.body != nil {
		c.callHandler()
		select {
		case <-resp.body.ended:
		case <-resp.done:
			if !resp.body.isEnded() {
				return false // The connection ends, and another goroutine may still read the body from it.
			}
		}
	}
	return c.awaitBarrier(resp)
}

// awaitBarrier waits for the end of a request that holds up those behind it. Until the
// next one begins to arrive, it watches for the departure of the client.
func (c *conn) awaitBarrier(resp *response) bool {
	if err := c.peek(); err != nil {
		c.endReading(fmt.Errorf("%w: %w", errDeparted, err), resp.done)
		return false
	}
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	<-resp.done
	return true
}

// start counts a request as in progress, unless the connection is closing.
func (c *conn) start(resp *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closed {
		return false
	}
	c.inFlight++
	if c.inFlight > 1 {
		resp.ahead = true
		c.srv.ahead.Add(1)
	}
	if resp.req.Close || !resp.req.ProtoAtLeast(1, 1) {
		c.closed = true
		resp.last = true
	}
	return true
}

// handle runs the handler of a request and completes its response.
func (c *conn) handle(resp *response) {
	defer c.running.Done()
	defer c.ended(resp)
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); (!ok || !errors.Is(err, http.ErrAbortHandler)) && c.srv.Panicked != nil {
				c.srv.Panicked(v)
			}
			c.abort()
		}
	}()
	c.srv.Handler.ServeHTTP(resp, resp.req)
	if err := resp.complete(); err != nil {
		c.abort()
	}
}

// ended records the end of a request and lets the next response be written.
func (c *conn) ended(resp *response) {
	resp.cancel()
	c.srv.Budget.endRequest(c, resp.held)
	if resp.ahead {
		c.srv.ahead.Add(-1)
	}
	<-c.slots
	c.mu.Lock()
	c.inFlight--
	switch {
	case c.inFlight > 0:
	case c.closed:
		// Wakes the reader, which may wait for a request that is not served any more.
		_ = c.rwc.SetReadDeadline(time.Now())
	case !c.reading:
		c.becomeIdle()
	}
	c.mu.Unlock()
	close(resp.done)
}

// isLast reports whether the response of resp, whose turn it is, is the last one of
// the connection. stop tells that no further request is to be read; those that have
// started are answered all the same.
func (c *conn) isLast(resp *response, stop bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || stop
	if c.closed && c.inFlight == 1 {
		resp.last = true
	}
	return resp.last
}

// awaitLast waits for the end of the last requests of the connection, or for the
// departure of the client. Whatever else the client sends is dropped.
func (c *conn) awaitLast() {
	for c.busy() {
		if c.peek() != nil {
			return
		}
		_, _ = c.br.Discard(c.br.Buffered()) // These bytes are there.
	}
}

// finish closes the connection after its last response.
func (c *conn) finish() {
	_ = c.out.Flush() // A failure means that the client is gone.
	c.srv.markEnding(c)
	if half, ok := c.rwc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil && c.ctx.Err() == nil {
		_ = c.rwc.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.rwc) // Ends with the client's close or the deadline.
	}
	c.cancel()
	_ = c.rwc.Close() // Its responses were written or cannot be any more.
	if c.body != nil {
		c.body.stop()
	}
	c.br.Reset(nil)
	readers.Put(c.br)
	c.out.free()
}

// abort closes the connection at once, so that an unfinished response is visibly
// broken.
func (c *conn) abort() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	_ = c.rwc.Close() // The reader and the other responses fail from now on.
}

// resetOnClose sets whether the close of the connection, which the end of the process is too,
// resets it. Otherwise it looks to the client like the end of a whole response.
func (c *conn) resetOnClose(reset bool) {
	sec := -1 // The kernel's default: in order.
	if reset {
		sec = 0
	}
	if l, ok := c.rwc.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(sec) // Fails only on a closed connection.
	}
}

// closeIfIdle closes the connection if it carries no request, and reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 0 || c.reading || c.closed {
		return false
	}
	c.closed = true
	_ = c.rwc.Close() // The reader fails and removes the connection.
	return true
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setStateLocked(state)
}

// setStateLocked reports a change of the state. The caller must hold c.mu.
func (c *conn) setStateLocked(state http.ConnState) {
	if c.state == state && state != http.StateNew {
		return
	}
	c.state = state
	if state == http.StateIdle {
		c.idleSince = time.Now()
	}
	if c.srv.ConnState != nil {
		c.srv.ConnState(c.rwc, state)
	}
}
