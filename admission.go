package dogwoodford

import (
	"time"
)

// Action is what to do with an offered request.
type Action int

const (
	// Refuse answers the request as not run.
	Refuse Action = iota
	// Run starts the request now.
	Run
	// Wait keeps the request until Done or Expire names it.
	Wait
)

// Verdict is the decision on an offered request.
type Verdict struct {
	action     Action
	reason     Reason
	retryAfter time.Duration
}

// RunVerdict starts the request now.
func RunVerdict() Verdict { return Verdict{action: Run} }

// WaitVerdict queues the request.
func WaitVerdict() Verdict { return Verdict{action: Wait} }

// RefuseVerdict refuses the request for a reason; retryAfter is a hint for the
// caller.
func RefuseVerdict(reason Reason, retryAfter time.Duration) Verdict {
	return Verdict{action: Refuse, reason: reason, retryAfter: retryAfter}
}

// Action returns what to do.
func (v Verdict) Action() Action { return v.action }

// Reason returns why the request is refused; empty if it is not.
func (v Verdict) Reason() Reason { return v.reason }

// RetryAfter returns when the caller may come back; zero means no hint.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// Release names a queued request that leaves the queue, and how.
type Release struct {
	ID      string
	Verdict Verdict
}

// Sample is what was observed of a request that ended.
type Sample struct {
	Latency   time.Duration // From start to the last byte of the answer.
	Children  time.Duration // Part of Latency spent waiting for child calls.
	Failed    bool          // The target broke off or answered 5xx.
	Cancelled bool          // The caller went away; the latency says nothing.
}

// Load describes a target for routing and early refusal.
type Load struct {
	InFlight int      // Requests that run.
	Queued   int      // Requests that wait.
	Limit    int      // Requests that may run at once.
	Cutoff   Priority // Lowest priority that is admitted.
}

// Admission decides which requests a target runs and in which order. It is
// not safe for concurrent use; the guard holds its own lock around it.
type Admission interface {
	// Offer decides on a new request. The releases name queued requests that
	// it displaced.
	Offer(now time.Time, r Request) (Verdict, []Release)
	// Done records the end of a request that ran and returns the queued
	// requests to start or refuse now.
	Done(now time.Time, id string, s Sample) []Release
	// Cancel removes a queued request whose caller went away. It reports
	// whether the request was queued.
	Cancel(now time.Time, id string) bool
	// Expire refuses queued requests that can no longer be served in time, and
	// starts others if the limit has risen. Drivers call it at least every
	// 10 ms while requests wait.
	Expire(now time.Time) []Release
	// SetSlots tells how many requests the target says that it can run at once.
	SetSlots(n int)
	// Load returns the present load.
	Load(now time.Time) Load
}
