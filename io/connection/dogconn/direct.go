package dogconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"dogwoodford/core/connection/dogoutcome"
)

// inlineBody is the size up to which a body is written before the answer is
// read. It fits the buffers of a connection, so that the write does not wait
// for the other side.
const inlineBody = 4 << 10

// earlyAnswer is how long the rest of a body is written after its answer has
// come. A connection on which it takes longer is not used again, as the other
// side would take a later call for the rest of the body.
const earlyAnswer = 50 * time.Millisecond

// longPast is a deadline that ends reads and writes in progress.
var longPast = time.Unix(1, 0)

// direct sends req over a connection of its own, in the goroutine of the
// caller. Unlike net/http's transport it needs no goroutines for each
// connection, and looks at a kept connection before it uses it: one with
// unread bytes or an end is not used.
func (t *Transport) direct(req *http.Request) (*http.Response, dogoutcome.Stage, error) {
	ctx := req.Context()
	l, err := t.pool.get(ctx, req.URL.Host)
	if err != nil {
		return nil, dogoutcome.DialFailed, fmt.Errorf("send to %s: %w", req.URL.Host, err)
	}
	x := &exchange{pool: t.pool, link: l, before: l.conn.count()}
	x.unhook = context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(longPast) })
	resp, err := x.run(req)
	if err != nil {
		stage := dogoutcome.NothingWritten
		if !l.conn.seal(x.before) {
			stage = dogoutcome.Written
		}
		x.end(false)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, stage, fmt.Errorf("send to %s: %w", req.URL.Host, err)
	}
	return resp, dogoutcome.Headers, nil
}

// exchange is one call on a connection.
type exchange struct {
	pool   *pool
	link   *link
	before uint64 // Writes on the connection before the call.
	unhook func() bool
	wrote  chan error // Gets the end of the write if it goes on beside the answer.
	keep   bool       // The other side keeps the connection.
	ended  bool
}

// run writes the call and reads the headers of the answer.
func (x *exchange) run(req *http.Request) (*http.Response, error) {
	if err := x.write(req); err != nil {
		return nil, err
	}
	resp, err := x.read(req)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	x.keep = !resp.Close && !req.Close && resp.ProtoAtLeast(1, 1)
	if resp.Body == http.NoBody {
		x.end(x.keep)
		return resp, nil
	}
	// The answer of unknown length ends with its connection.
	x.keep = x.keep && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	resp.Body = &answerBody{body: resp.Body, x: x}
	return resp, nil
}

// write writes the call. A long body goes on beside the answer, as the other
// side may answer before it has read all of it.
func (x *exchange) write(req *http.Request) error {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength > 0 && req.ContentLength <= inlineBody {
		return x.flush(req)
	}
	x.wrote = make(chan error, 1)
	go func() {
		err := x.flush(req)
		if err != nil {
			// The other side must not wait for a body that does not come.
			_ = x.link.conn.SetDeadline(longPast)
		}
		x.wrote <- err
	}()
	return nil
}

func (x *exchange) flush(req *http.Request) error {
	trace := httptrace.ContextClientTrace(req.Context())
	if trace != nil {
		// Write would tell of the end of the write before the flush.
		req = req.WithContext(context.Background())
	}
	err := req.Write(x.link.w)
	if err == nil {
		err = x.link.w.Flush()
	}
	if trace != nil && trace.WroteRequest != nil {
		trace.WroteRequest(httptrace.WroteRequestInfo{Err: err})
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// read returns the final answer; those before it only tell of progress.
func (x *exchange) read(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.link.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// end gives the connection back. whole tells that it can carry another call.
func (x *exchange) end(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	whole = x.unhook() && whole && x.written()
	x.pool.put(x.link, whole && x.link.r.Buffered() == 0)
}

// written waits a little for the end of the write.
func (x *exchange) written() bool {
	if x.wrote == nil {
		return true
	}
	timer := time.NewTimer(earlyAnswer)
	defer timer.Stop()
	select {
	case err := <-x.wrote:
		return err == nil
	case <-timer.C:
		return false
	}
}

// answerBody gives the connection back at the end of the body.
type answerBody struct {
	body io.ReadCloser
	x    *exchange
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.x.ended {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	if err != nil {
		b.x.end(err == io.EOF && b.x.keep)
	}
	return n, err
}

// Close implements io.Closer. A connection whose answer was not read to its end
// is closed.
func (b *answerBody) Close() error {
	b.x.end(false)
	return nil
}
