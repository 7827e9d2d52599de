package dogrelay

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/request/dogcall"
)

// result is the result of a call.
type result struct {
	outcome        dogwoodford.Outcome
	reason         dogwoodford.Reason // Empty if the target answered.
	retryAfter     time.Duration
	mayHaveArrived bool // The request may have reached a target, which may not have run it.
	load           *dogwoodford.Load
	// downstreamCutoff is the highest cutoff of the services that requests of
	// this class call downstream of the one that answers.
	downstreamCutoff dogwoodford.Priority
	runs             dogtree.Runs // Recent runs of the class at the target, for requests of callers.
	childFailed      bool         // A child call that the target made for the request failed.

	// The response of the target, if outcome is OutcomeRan.
	status  int
	header  http.Header // End-to-end headers only.
	body    *body
	release func() // Called by close; may be nil.
}

// refused returns the result of a call that was sent to no target.
func refused(reason dogwoodford.Reason, retryAfter time.Duration) *result {
	return &result{outcome: dogwoodford.OutcomeNotRun, reason: reason, retryAfter: retryAfter}
}

// unknownOutcome returns the result of a call that may have run.
func unknownOutcome(reason dogwoodford.Reason) *result {
	return &result{outcome: dogwoodford.OutcomeUnknown, reason: reason, mayHaveArrived: true}
}

// close releases the resources of r. Further calls have no effect.
func (r *result) close() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

// discard closes r and frees its body.
func (r *result) discard() {
	r.close()
	r.body.free()
}

// onClose makes close call f, after the functions that were added before.
func (r *result) onClose(f func()) {
	previous := r.release
	r.release = func() {
		if previous != nil {
			previous()
		}
		f()
	}
}

// completed reports whether the target ran the request to its end. A target that
// answers 5xx may have stopped before the part that crashes it.
func (r *result) completed() bool {
	return r.outcome == dogwoodford.OutcomeRan && r.status < http.StatusInternalServerError
}

// targetFailed reports whether the target answered 5xx and none of its child
// calls failed, which would be the likely cause.
func (r *result) targetFailed() bool {
	return r.outcome == dogwoodford.OutcomeRan && r.status >= http.StatusInternalServerError && !r.childFailed
}

// served reports whether the target answered, and not with a failure of its own.
func (r *result) served() bool { return r.outcome == dogwoodford.OutcomeRan && !r.targetFailed() }

// errorStatus returns the HTTP status for a result without a response of a
// target.
func (r *result) errorStatus(ctx context.Context) int {
	switch {
	case r.reason == dogwoodford.ReasonNoRoute:
		return http.StatusNotFound
	case r.reason == dogwoodford.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case r.reason == dogwoodford.ReasonBadRequest:
		return http.StatusBadRequest
	case r.reason == dogwoodford.ReasonCredential:
		return http.StatusUnauthorized
	case r.reason == dogwoodford.ReasonQuota:
		return http.StatusTooManyRequests
	case r.outcome == dogwoodford.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case r.reason == dogwoodford.ReasonDeadline, ctx.Err() == context.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// write sends r from the entry to the caller. After an error the response must not look
// complete.
func (r *result) write(ctx context.Context, w http.ResponseWriter, attemptHeader, id string) error {
	out := w.Header()
	if r.outcome != dogwoodford.OutcomeRan {
		if id != "" {
			out[attemptHeader] = []string{id}
		}
		out[dogcall.HeaderOutcome] = []string{r.outcome.String()}
		out[dogcall.HeaderReason] = []string{string(r.reason)}
		status := r.errorStatus(ctx)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			out["Retry-After"] = []string{seconds(r.retryAfter)}
		}
		out["Content-Length"] = []string{"0"}
		w.WriteHeader(status)
		return nil
	}
	return r.writeAnswer(w)
}

// writeAnswer sends the response of the target. After an error the response must not look
// complete.
func (r *result) writeAnswer(w http.ResponseWriter) error {
	out := w.Header()
	maps.Copy(out, r.header)
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // Otherwise net/http would guess one.
	}
	if r.body.length >= 0 && r.status != http.StatusNoContent {
		out["Content-Length"] = []string{strconv.FormatInt(r.body.length, 10)}
	}
	w.WriteHeader(r.status)
	if err := r.body.writeTo(w); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	return nil
}

// seconds formats a duration in seconds, with three decimal places.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d).Seconds(), 'f', 3, 64)
}

// writePeer sends r from the guard to the entry. After an error the response must not look
// complete.
func (r *result) writePeer(w http.ResponseWriter, version int64) error {
	out := w.Header()
	formatAnswer(out, r, version)
	if r.outcome != dogwoodford.OutcomeRan {
		out["Content-Length"] = []string{"0"}
		// Entries read headerAnswer and ignore this status.
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	return r.writeAnswer(w)
}
