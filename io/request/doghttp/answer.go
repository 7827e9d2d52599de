package doghttp

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/request/dogcall"
)

var errTrailer = eris.New("announced trailer is missing")

// ending is the way in which an answer ended.
type ending int

const (
	// aborted answers were not read to their end by this node.
	aborted ending = iota
	// truncated answers ended prematurely at their source.
	truncated
	// complete answers were read to their end, trailers included.
	complete
)

// answer is an answer that is to be sent to the caller or to another node.
// finish must be called in the end.
type answer struct {
	status     int
	header     http.Header
	resp       *http.Response // Nil for a refusal.
	info       dogcall.Answer
	stage      dogoutcome.Stage
	text       string      // Body of a refusal.
	kept       *KeptAnswer // A replayed answer.
	prefetched []byte      // The whole body of resp, if prefetch read it.
	copyTo     func([]byte)
	once       sync.Once
	endFuncs   []func(ending)
}

// refusal returns an answer that the node itself gives.
func refusal(o dogwoodford.Outcome, reason dogwoodford.Reason, retryAfter time.Duration) *answer {
	status := statusOf(reason)
	if status == http.StatusServiceUnavailable && retryAfter == 0 && o == dogwoodford.OutcomeNotRun {
		retryAfter = time.Second
	}
	return &answer{
		status: status,
		header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		info:   dogcall.Answer{Outcome: o, Reason: reason, RetryAfter: retryAfter},
		text:   fmt.Sprintf("%s: %s\n", o, reason),
	}
}

func notRun(reason dogwoodford.Reason) *answer { return refusal(dogwoodford.OutcomeNotRun, reason, 0) }

func statusOf(reason dogwoodford.Reason) int {
	switch reason {
	case dogwoodford.ReasonCredential:
		return http.StatusUnauthorized
	case dogwoodford.ReasonNoClass:
		return http.StatusNotFound
	case dogwoodford.ReasonBadRequest:
		return http.StatusBadRequest
	case dogwoodford.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case dogwoodford.ReasonDeadline:
		return http.StatusGatewayTimeout
	case dogwoodford.ReasonRetries:
		return http.StatusTooManyRequests
	case dogwoodford.ReasonKeyAge, dogwoodford.ReasonDuplicate:
		return http.StatusConflict
	case dogwoodford.ReasonLost, dogwoodford.ReasonCancelled:
		return http.StatusBadGateway
	case dogwoodford.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// onEnd adds a function that finish calls. The functions are called in the
// order in which they were added: inner ones check contexts that outer ones
// cancel.
func (a *answer) onEnd(f func(ending)) {
	if a.endFuncs == nil {
		a.endFuncs = make([]func(ending), 0, 6) // The number that a call through one node adds.
	}
	a.endFuncs = append(a.endFuncs, f)
}

// finish ends the answer. Only the first call has an effect.
func (a *answer) finish(e ending) {
	a.once.Do(func() {
		if a.resp != nil {
			// Closing an unread body ends its connection or stream, which
			// propagates the abort to the source.
			_ = a.resp.Body.Close()
		}
		for _, f := range a.endFuncs {
			f(e)
		}
	})
}

// trailers returns the trailers, or an error if an announced one is missing.
func (a *answer) trailers() (http.Header, error) {
	if a.resp == nil {
		return nil, nil
	}
	for k, v := range a.resp.Trailer {
		if len(v) == 0 {
			return nil, fmt.Errorf("trailer %s: %w", k, errTrailer)
		}
	}
	return a.resp.Trailer, nil
}

// relay sends the answer to the client of x. If the answer ends prematurely,
// relay aborts the connection or stream.
func (h *Handlers) relay(x *exchange, a *answer) {
	e := aborted
	defer func() {
		a.finish(e)
		x.span.End(a.info.Outcome, a.info.Reason, a.status)
		h.cfg.Counters.CountAnswer(x.role, x.service, x.class, a.info.Outcome, a.info.Reason, time.Since(x.start))
		h.cfg.Counters.CountBodyBytes(x.role, x.body.bytesRead(), x.bytesSent)
	}()
	h.sendHeaders(x, a)
	err := a.copyBody(x)
	if err == nil {
		e = complete
		return
	}
	if !errors.Is(err, errWriteToCaller) && x.r.Context().Err() == nil {
		e = truncated
		h.cfg.Events.Event(x.ctx, EventTruncated, "", err)
	}
	x.breakOff()
}

func (h *Handlers) sendHeaders(x *exchange, a *answer) {
	out := x.w.Header()
	for k, v := range a.header {
		out[k] = v
	}
	if x.role == RoleOwner || x.role == RoleGuard {
		a.info.FormatPeer(out)
	} else {
		a.info.Format(out)
	}
	if a.info.Reason == dogwoodford.ReasonCredential {
		out.Set("Www-Authenticate", "Bearer")
	}
	if x.r.ProtoMajor == 1 && !x.body.atEOF() && (a.resp != nil || !x.body.drain()) {
		// In full duplex, net/http panics on the connection if it finds the end
		// of the request body only when it closes the body, and then reads the
		// next request.
		out.Set("Connection", "close")
	}
	if a.resp != nil {
		for k := range a.resp.Trailer {
			out.Add("Trailer", k)
		}
		if a.resp.ContentLength >= 0 {
			out.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
		}
	}
	x.headersSent = true
	x.w.WriteHeader(a.status)
}

var errWriteToCaller = eris.New("write to caller failed")

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// copyBody sends the body and the trailers.
func (a *answer) copyBody(x *exchange) error {
	if x.r.Method == http.MethodHead {
		return nil
	}
	if a.resp == nil {
		data := []byte(a.text)
		if a.kept != nil {
			data = a.kept.Body
		}
		if _, err := x.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return fmt.Errorf("%w: %w", errWriteToCaller, err)
		}
		x.bytesSent += int64(len(data))
		return nil
	}
	if err := a.sendBody(x); err != nil {
		return err
	}
	trailers, err := a.trailers()
	if err != nil {
		return err
	}
	for k, v := range trailers {
		x.w.Header()[k] = v
	}
	return nil
}

// sendBody sends the body of resp.
func (a *answer) sendBody(x *exchange) error {
	if a.prefetched == nil {
		buf := buffers.Get().(*[]byte)
		defer buffers.Put(buf)
		return a.stream(x, *buf)
	}
	if a.copyTo != nil {
		a.copyTo(a.prefetched)
	}
	if _, err := x.w.Write(a.prefetched); err != nil {
		return fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	x.bytesSent += int64(len(a.prefetched))
	return nil
}

func (a *answer) stream(x *exchange, buf []byte) error {
	remaining := a.resp.ContentLength
	for {
		n, err := a.resp.Body.Read(buf)
		if n > 0 {
			if a.copyTo != nil {
				a.copyTo(buf[:n])
			}
			if _, werr := x.w.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errWriteToCaller, werr)
			}
			x.bytesSent += int64(n)
			remaining -= int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		// Received data is flushed at once, unless the answer ends with it and
		// the server flushes anyway.
		if n > 0 && remaining != 0 {
			if ferr := x.rc.Flush(); ferr != nil {
				return fmt.Errorf("%w: %w", errWriteToCaller, ferr)
			}
		}
	}
}
