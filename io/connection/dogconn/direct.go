package dogconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"dogwoodford/core/connection/dogoutcome"
)

// maxInlineBody is the size in bytes up to which a body is written before the
// response is read. It fits the socket buffers, so that the write does not wait
// for the server.
const maxInlineBody = 4 << 10

// bodyWriteGrace is how long the rest of a body may still be written after the
// response was read. A connection on which this takes longer is not reused,
// because the server would read a later call as the rest of the body.
const bodyWriteGrace = 50 * time.Millisecond

// errCutShort means that the connection with whose end a response ends was not closed in
// order, so that the rest of the response may be missing.
var errCutShort = errors.New("response cut short")

// pastDeadline is a deadline in the past. Setting it aborts reads and writes in
// progress.
var pastDeadline = time.Unix(1, 0)

// doHTTP1 sends req over a connection that no other call uses, in the goroutine
// of the caller. Unlike net/http's transport it needs no goroutines per
// connection, and it checks an idle connection before reuse: one that has
// unread bytes or was closed by the server is not reused.
func (t *Transport) doHTTP1(req *http.Request) (*http.Response, dogoutcome.Stage, error) {
	ctx := req.Context()
	pc, err := t.pool.get(ctx, req.URL.Host)
	if err != nil {
		return nil, dogoutcome.DialFailed, fmt.Errorf("send to %s: %w", req.URL.Host, err)
	}
	x := t.newExchange(ctx, pc)
	resp, err := x.run(req)
	for errors.Is(err, errUnusable) && x.stopDeadline() {
		if pc, err = t.pool.replace(ctx, pc); err != nil {
			return nil, dogoutcome.DialFailed, fmt.Errorf("send to %s: %w", req.URL.Host, err)
		}
		x = t.newExchange(ctx, pc)
		resp, err = x.run(req)
	}
	if err != nil {
		stage := dogoutcome.NothingWritten
		if !pc.conn.seal(x.writesBefore) {
			stage = dogoutcome.Written
		}
		x.release(false)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, stage, fmt.Errorf("send to %s: %w", req.URL.Host, err)
	}
	return resp, dogoutcome.Headers, nil
}

// newExchange begins a call on pc. The end of ctx aborts it.
func (t *Transport) newExchange(ctx context.Context, pc *pconn) *exchange {
	x := &exchange{pool: t.pool, pconn: pc, writesBefore: pc.conn.writeCount()}
	x.stopDeadline = context.AfterFunc(ctx, func() { _ = pc.conn.SetDeadline(pastDeadline) })
	return x
}

// exchange is one call and its response on a connection.
type exchange struct {
	pool         *pool
	pconn        *pconn
	writesBefore uint64 // Number of writes on the connection before the call.
	stopDeadline func() bool
	watcher      *watcher   // Nil if none is needed.
	writeDone    chan error // Receives the result of a write that runs concurrently with the read; nil if none does.
	keepAlive    bool       // The server keeps the connection open.
}

// run writes the call and reads the headers of the response.
func (x *exchange) run(req *http.Request) (*http.Response, error) {
	resp, err := x.runHead(req)
	if err != nil {
		return nil, err
	}
	// After 421 the connection leads to another server than the caller expects.
	x.keepAlive = !resp.Close && !req.Close && resp.ProtoAtLeast(1, 1) && resp.StatusCode != http.StatusMisdirectedRequest
	if resp.Body == http.NoBody {
		x.release(x.keepAlive)
		return resp, nil
	}
	// A response of unknown length ends when its connection is closed.
	endsWithConn := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	x.keepAlive = x.keepAlive && !endsWithConn
	resp.Body = &responseBody{body: resp.Body, x: x, resp: resp, endsWithConn: endsWithConn}
	return resp, nil
}

// runHead writes the call and reads the headers of the response, whose bytes it bounds.
func (x *exchange) runHead(req *http.Request) (*http.Response, error) {
	x.pconn.head.start()
	defer x.pconn.head.end()
	if err := x.start(req); err != nil {
		return nil, err
	}
	resp, err := x.read(req)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return resp, nil
}

// start writes the call. On a connection that was idle it looks first whether the
// connection is open and has no unread bytes, and then waits for the response: a look and
// a wait in one read save a system call. The error is errUnusable if nothing was written
// because of the look.
func (x *exchange) start(req *http.Request) error {
	if !x.pconn.used {
		return x.write(req)
	}
	x.pconn.src.beforeWait = func() error { return x.write(req) }
	_, err := x.pconn.r.Peek(1)
	if x.pconn.src.beforeWait != nil {
		x.pconn.src.beforeWait = nil
		if err == nil {
			err = errUnusable // Unread bytes were buffered.
		}
	}
	if err != nil {
		return fmt.Errorf("wait for response: %w", err)
	}
	return nil
}

// write writes the call. A long body is written concurrently with the read of
// the response, because the server may respond before it has read all of it.
func (x *exchange) write(req *http.Request) error {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength > 0 && req.ContentLength <= maxInlineBody {
		return x.writeAndFlush(req)
	}
	x.writeDone = make(chan error, 1)
	x.watcher = x.pool.liveness.watch(x.pconn.conn.Conn)
	go func() {
		err := x.writeAndFlush(req)
		if err != nil && !x.pconn.conn.writeFailed() {
			// The body could not be read. Aborts the read of the response: the
			// server would wait for the rest of the body. A connection that has
			// failed ends the read by itself, behind a response that has arrived.
			_ = x.pconn.conn.SetDeadline(pastDeadline)
		}
		x.writeDone <- err
	}()
	return nil
}

func (x *exchange) writeAndFlush(req *http.Request) error {
	trace := httptrace.ContextClientTrace(req.Context())
	if trace != nil {
		// Write would call WroteRequest before the flush.
		req = req.WithContext(context.Background())
	}
	err := req.Write(x.pconn.w)
	if err == nil {
		err = x.pconn.w.Flush()
	}
	if trace != nil && trace.WroteRequest != nil {
		trace.WroteRequest(httptrace.WroteRequestInfo{Err: err})
	}
	if err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// read returns the final response. It skips informational (1xx) responses.
func (x *exchange) read(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.pconn.r, req)
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		buffered, err := x.pconn.r.Peek(x.pconn.r.Buffered())
		if err != nil {
			return nil, err
		}
		if err := x.pconn.head.next(buffered); err != nil {
			return nil, err
		}
	}
}

// release returns the connection to the pool. It must be called once. reusable tells
// whether the connection can carry another call.
func (x *exchange) release(reusable bool) {
	unchanged := x.watcher.stop()
	reusable = x.stopDeadline() && reusable && unchanged && x.waitWritten()
	x.pool.put(x.pconn, reusable && x.pconn.r.Buffered() == 0)
}

// waitWritten waits at most bodyWriteGrace for the end of the write, and
// reports whether the whole call was written.
func (x *exchange) waitWritten() bool {
	if x.writeDone == nil {
		return true
	}
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case err := <-x.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

// responseBody releases the connection at the end of the body.
type responseBody struct {
	body         io.ReadCloser
	x            *exchange
	resp         *http.Response
	endsWithConn bool  // Its end is that of the connection.
	err          error // How it ended; nil if it has not.
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	if err != nil {
		b.end(err)
	}
	return n, err
}

// end ends the body with err, io.EOF if it is whole. Only the first call has an effect.
func (b *responseBody) end(err error) {
	if b.err == nil {
		b.err = err
		b.x.release(err == io.EOF && b.x.keepAlive)
	}
}

// checkEnd returns io.EOF, or an error if the end of the body is not that of a whole
// response.
func (b *responseBody) checkEnd() error {
	if err := checkNames(b.resp.Trailer); err != nil {
		return fmt.Errorf("trailer: %w", err)
	}
	if !b.endsWithConn {
		return io.EOF
	}
	if err := b.x.pconn.conn.endWrites(); err != nil {
		return fmt.Errorf("%w: %w", errCutShort, err)
	}
	return io.EOF
}

// Close implements io.Closer. A connection whose response was not read to its
// end is closed.
func (b *responseBody) Close() error {
	b.end(http.ErrBodyReadAfterClose)
	return nil
}
