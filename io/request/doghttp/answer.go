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

// ending is how an answer ended.
type ending int

const (
	// aborted answers were not read to their end.
	aborted ending = iota
	// truncated answers broke off at their source.
	truncated
	// whole answers were read to their end, trailers included.
	whole
)

// answer is an answer on its way to whoever asked. Exactly one call of finish
// must follow.
type answer struct {
	status int
	header http.Header
	resp   *http.Response // Nil for a refusal.
	info   dogcall.Answer
	stage  dogoutcome.Stage
	text   string // Body of a refusal.
	kept   *Kept  // A replayed answer.
	data   []byte // The whole body of resp, if it was read already.
	copyTo func([]byte)
	once   sync.Once
	ends   []func(ending)
}

// refusal is an answer of the node itself.
func refusal(o dogwoodford.Outcome, reason dogwoodford.Reason, retryAfter time.Duration) *answer {
	status := statusOf(reason)
	if status == http.StatusServiceUnavailable && retryAfter == 0 && o == dogwoodford.NotRun {
		retryAfter = time.Second
	}
	return &answer{
		status: status,
		header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		info:   dogcall.Answer{Outcome: o, Reason: reason, RetryAfter: retryAfter},
		text:   fmt.Sprintf("%s: %s\n", o, reason),
	}
}

func notRun(reason dogwoodford.Reason) *answer { return refusal(dogwoodford.NotRun, reason, 0) }

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

// onEnd adds what to do when the answer has ended. The first added runs first:
// the inner parts look at contexts that the outer ones cancel.
func (a *answer) onEnd(f func(ending)) {
	if a.ends == nil {
		a.ends = make([]func(ending), 0, 6) // As many as a call through one node adds.
	}
	a.ends = append(a.ends, f)
}

// finish ends the answer. Only the first call counts.
func (a *answer) finish(e ending) {
	a.once.Do(func() {
		if a.resp != nil {
			// Closing an unread body ends its connection or stream, which
			// passes the abort on.
			_ = a.resp.Body.Close()
		}
		for _, f := range a.ends {
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

// relay sends the answer to whoever asked. An answer that breaks off ends in
// an abort of the connection or stream.
func (h *Handlers) relay(x *exchange, a *answer) {
	e := aborted
	defer func() {
		a.finish(e)
		x.span.End(a.info.Outcome, a.info.Reason, a.status)
		h.cfg.Counters.Answered(x.role, x.service, x.class, a.info.Outcome, a.info.Reason, time.Since(x.start))
		h.cfg.Counters.Moved(x.role, x.body.received(), x.out)
	}()
	h.sendHeaders(x, a)
	err := a.copyBody(x)
	if err == nil {
		e = whole
		return
	}
	if !errors.Is(err, errDownstream) && x.r.Context().Err() == nil {
		e = truncated
		h.cfg.Events.Event(x.ctx, EventTruncated, "", err)
	}
	x.abort = true
	panic(http.ErrAbortHandler)
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
	if x.r.ProtoMajor == 1 && !x.body.hasEnded() && (a.resp != nil || !x.body.settle()) {
		// In full duplex, net/http panics on the connection if it finds the end
		// of the request body only when it closes it, and then reads the next
		// request.
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
	x.sent = true
	x.w.WriteHeader(a.status)
}

var errDownstream = eris.New("caller went away")

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// copyBody streams the body and the trailers.
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
			return fmt.Errorf("%w: %w", errDownstream, err)
		}
		x.out += int64(len(data))
		return nil
	}
	if err := a.send(x); err != nil {
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

// send passes the body of resp on.
func (a *answer) send(x *exchange) error {
	if a.data == nil {
		buf := buffers.Get().(*[]byte)
		defer buffers.Put(buf)
		return a.stream(x, *buf)
	}
	if a.copyTo != nil {
		a.copyTo(a.data)
	}
	if _, err := x.w.Write(a.data); err != nil {
		return fmt.Errorf("%w: %w", errDownstream, err)
	}
	x.out += int64(len(a.data))
	return nil
}

func (a *answer) stream(x *exchange, buf []byte) error {
	left := a.resp.ContentLength
	for {
		n, err := a.resp.Body.Read(buf)
		if n > 0 {
			if a.copyTo != nil {
				a.copyTo(buf[:n])
			}
			if _, werr := x.w.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errDownstream, werr)
			}
			x.out += int64(n)
			left -= int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		// What has come is passed on at once, unless the answer ends with it
		// and the server flushes anyway.
		if n > 0 && left != 0 {
			if ferr := x.rc.Flush(); ferr != nil {
				return fmt.Errorf("%w: %w", errDownstream, ferr)
			}
		}
	}
}
