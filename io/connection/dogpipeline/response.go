package dogpipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// response writes the response to one request. It implements http.ResponseWriter.
type response struct {
	c      *conn
	req    *http.Request
	cancel context.CancelFunc
	body   *requestBody  // nil if the request has none.
	turn   chan struct{} // Closed when all earlier responses have been written.
	done   chan struct{} // Closed when this response has been written.
	last   bool          // The connection is closed after this response.
	ahead  bool          // The request started before the responses to earlier ones.
	held   int64         // Bytes of the server's budget that the head holds.

	header  http.Header
	status  int       // 0 before WriteHeader.
	chunks  io.Writer // Writes the body in chunks; nil if its length is declared.
	length  int64     // Declared length of the body in bytes.
	written int64     // Bytes of the body written so far.
	err     error     // First error of a write.
}

// exchangeKey is the key of the *exchange in the context of a request.
type exchangeKey struct{}

// exchange is what handlers can learn of the connection of a request.
type exchange struct {
	turn    <-chan struct{}
	arrived time.Time
	c       *conn
	hasBody bool
}

// BoundBody makes the server close the connection if the body of the request to which ctx
// belongs has not been read to its end by about t. It has no effect if ctx does not belong
// to a request of a Server, or if the request has no body: a later one on the connection
// may have one that is not bounded.
func BoundBody(ctx context.Context, t time.Time) {
	if e, ok := ctx.Value(exchangeKey{}).(*exchange); ok && e.hasBody {
		e.c.bodyEnd.Store(t.UnixNano())
	}
}

// AwaitTurn waits until the responses to all earlier requests of the connection have
// been written, so that none of them can break off the connection any more. It returns
// the error of ctx if ctx is done before. It returns nil at once if ctx does not belong
// to a request of a Server.
func AwaitTurn(ctx context.Context) error {
	e, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return nil
	}
	select {
	case <-e.turn:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Arrival returns when the head of a request arrived, which may be well before its
// handler is called, or the current time if ctx does not belong to a request of a
// Server.
func Arrival(ctx context.Context) time.Time {
	if e, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		return e.arrived
	}
	return time.Now()
}

func (c *conn) newResponse(req *http.Request, turn chan struct{}, arrived time.Time) *response {
	e := &exchange{turn: turn, arrived: arrived, c: c, hasBody: req.Body != http.NoBody}
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, exchangeKey{}, e))
	r := &response{c: c, cancel: cancel, turn: turn, done: make(chan struct{}), header: make(http.Header)}
	if e.hasBody {
		r.body = &requestBody{resp: r, src: req.Body, ended: make(chan struct{}), checked: make(chan struct{})}
		c.bodyEnd.Store(0)
		r.body.expects.Store(expectsContinue(req))
		req.Body = r.body
	}
	req.RemoteAddr = c.remote
	r.req = req.WithContext(ctx)
	return r
}

func expectsContinue(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// parallel reports whether the request may run at the same time as others.
func (r *response) parallel() bool {
	switch r.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return r.body == nil
	}
	return false
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. It waits until all earlier responses have
// been written.
func (r *response) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	<-r.turn
	if r.err = r.setFraming(); r.err != nil {
		return
	}
	r.err = r.writeHead()
}

// writeHead writes the status line and the headers.
func (r *response) writeHead() error {
	h := r.header
	stop := strings.EqualFold(h.Get("Connection"), "close") || r.body != nil && !r.body.discardable()
	delete(h, "Connection")
	if r.c.isLast(r, stop) {
		h["Connection"] = []string{"close"}
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	if err := r.c.out.writeStatus(r.status); err != nil {
		return fmt.Errorf("write status line: %w", err)
	}
	if err := h.Write(r.c.out); err != nil {
		return fmt.Errorf("write headers: %w", err)
	}
	if _, err := io.WriteString(r.c.out, "\r\n"); err != nil {
		return fmt.Errorf("write headers: %w", err)
	}
	return nil
}

// setFraming decides how the end of the body is marked.
func (r *response) setFraming() error {
	h := r.header
	delete(h, "Transfer-Encoding")
	switch {
	case r.status == http.StatusNoContent || r.status < http.StatusOK:
		delete(h, "Content-Length")
	case h.Get("Content-Length") != "":
		n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("content length %q: %w", h.Get("Content-Length"), errFraming)
		}
		r.length = n
	case !r.hasBody():
	case !r.req.ProtoAtLeast(1, 1):
		// The body ends with the connection, as HTTP/1.0 knows no chunks.
		r.length = -1
		r.c.resetOnClose(true)
	default:
		h["Transfer-Encoding"] = []string{"chunked"}
		r.chunks = httputil.NewChunkedWriter(r.c.out)
	}
	return nil
}

// errFraming means that a handler wrote a body of another length than it declared.
var errFraming = errors.New("length of the response body does not match")

// Write implements http.ResponseWriter. As with package net/http, an empty write does
// nothing, and the body of a response to HEAD is dropped.
func (r *response) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	switch {
	case r.err != nil:
		return 0, r.err
	case len(p) == 0:
		return 0, nil // An empty chunk would end the body.
	case !allowsBody(r.status):
		return 0, http.ErrBodyNotAllowed
	case r.req.Method == http.MethodHead:
		return len(p), nil
	case r.chunks != nil:
		n, err := r.chunks.Write(p)
		r.err = err
		return n, err
	case r.length >= 0 && r.written+int64(len(p)) > r.length:
		return 0, http.ErrContentLength
	}
	n, err := r.c.out.Write(p)
	r.written += int64(n)
	r.err = err
	return n, err
}

func (r *response) hasBody() bool { return r.req.Method != http.MethodHead && allowsBody(r.status) }

// allowsBody reports whether responses with this status may have a body.
func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// complete ends the response. It returns an error if the connection cannot be used any
// more, in which case the response must not look complete.
func (r *response) complete() error {
	if r.status == 0 {
		r.header["Content-Length"] = []string{"0"}
	}
	r.WriteHeader(http.StatusOK)
	if r.err != nil {
		return r.err
	}
	if r.hasBody() && r.chunks == nil && r.length >= 0 && r.written < r.length {
		return fmt.Errorf("%d of %d bytes written: %w", r.written, r.length, errFraming)
	}
	if closer, ok := r.chunks.(io.Closer); ok {
		if err := closer.Close(); err != nil {
			return fmt.Errorf("end chunks: %w", err)
		}
		if _, err := io.WriteString(r.c.out, "\r\n"); err != nil { // The end of the trailer.
			return fmt.Errorf("end chunks: %w", err)
		}
	}
	if err := r.c.out.Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	if r.length < 0 {
		r.c.resetOnClose(false)
	}
	if r.body != nil && !r.last {
		return r.body.discard()
	}
	return nil
}
