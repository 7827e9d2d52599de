package dogrelay

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
)

// result is what became of a call.
type result struct {
	outcome    dogwoodford.Outcome
	reason     dogwoodford.Reason // Empty if the target answered.
	retryAfter time.Duration
	arrived    bool // The request may have reached a target.
	load       *dogwoodford.Load
	// below is the highest cutoff of the services that requests of this class
	// call beneath the one that answers.
	below       dogwoodford.Priority
	childFailed bool // A call that the target made for the request failed.

	// The answer of the target, if outcome is Ran.
	status  int
	header  http.Header // As keepEndToEnd returns it.
	body    *body
	release func() // Called once the body was read; may be nil.
}

// refused is the result of a call that was sent to no target.
func refused(reason dogwoodford.Reason, retryAfter time.Duration) *result {
	return &result{outcome: dogwoodford.NotRun, reason: reason, retryAfter: retryAfter}
}

// lost is the result of a call that may have run.
func lost(reason dogwoodford.Reason) *result {
	return &result{outcome: dogwoodford.Unknown, reason: reason, arrived: true}
}

// end frees what an answer holds.
func (r *result) end() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

// onEnd makes f follow what is done at the end of r.
func (r *result) onEnd(f func()) {
	before := r.release
	r.release = func() {
		if before != nil {
			before()
		}
		f()
	}
}

// targetFailed reports whether the target itself answered with a failure, and
// not because of a call that it made.
func (r *result) targetFailed() bool {
	return r.outcome == dogwoodford.Ran && r.status >= http.StatusInternalServerError && !r.childFailed
}

// ownStatus returns the status of an answer that no target gave.
func (r *result) ownStatus(ctx context.Context) int {
	switch {
	case r.reason == dogwoodford.ReasonNoRoute:
		return http.StatusNotFound
	case r.reason == dogwoodford.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case r.reason == dogwoodford.ReasonBadRequest:
		return http.StatusBadRequest
	case r.outcome == dogwoodford.NotRun:
		return http.StatusServiceUnavailable
	case r.reason == dogwoodford.ReasonDeadline, ctx.Err() == context.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// write sends r to the caller of an entry.
func (r *result) write(ctx context.Context, w http.ResponseWriter, attemptHeader, id string) {
	out := w.Header()
	if r.outcome != dogwoodford.Ran {
		if id != "" {
			out[attemptHeader] = []string{id}
		}
		out[dogcall.HeaderOutcome] = []string{r.outcome.String()}
		out[dogcall.HeaderReason] = []string{string(r.reason)}
		status := r.ownStatus(ctx)
		if status == http.StatusServiceUnavailable {
			out["Retry-After"] = []string{seconds(r.retryAfter)}
		}
		out["Content-Length"] = []string{"0"}
		w.WriteHeader(status)
		return
	}
	r.writeAnswer(w)
}

// writeAnswer sends the answer of the target. If the body breaks off, so does
// the connection, as an answer that ends early must not look complete.
func (r *result) writeAnswer(w http.ResponseWriter) {
	out := w.Header()
	maps.Copy(out, r.header)
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // net/http would guess one.
	}
	if r.body.length >= 0 && hasBody(r.status) {
		out["Content-Length"] = []string{strconv.FormatInt(r.body.length, 10)}
	}
	w.WriteHeader(r.status)
	if err := r.body.writeTo(w); err != nil && err != http.ErrBodyNotAllowed {
		panic(http.ErrAbortHandler)
	}
}

func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// seconds formats a duration as seconds with fractions.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d).Seconds(), 'f', 3, 64)
}

// writePeer sends r to the entry.
func (r *result) writePeer(w http.ResponseWriter, version int64) {
	out := w.Header()
	formatAnswer(out, r, version)
	if r.outcome != dogwoodford.Ran {
		out["Content-Length"] = []string{"0"}
		// The status carries no meaning between nodes; the outcome does.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.writeAnswer(w)
}
