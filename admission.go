package dogwoodford

import (
	"time"
)

// Action is the admission decision for an offered request.
type Action int

const (
	// Refuse rejects the request; its outcome is OutcomeNotRun.
	Refuse Action = iota
	// Run starts the request at once.
	Run
	// Wait queues the request until Done, Expire or a later Offer returns it.
	Wait
)

// Verdict is the decision on an offered request.
type Verdict struct {
	action     Action
	reason     Reason
	retryAfter time.Duration
}

// RunVerdict returns the verdict that starts the request at once.
func RunVerdict() Verdict { return Verdict{action: Run} }

// WaitVerdict returns the verdict that queues the request.
func WaitVerdict() Verdict { return Verdict{action: Wait} }

// RefuseVerdict returns the verdict that refuses the request for a reason.
// retryAfter is a hint for the caller; zero means no hint.
func RefuseVerdict(reason Reason, retryAfter time.Duration) Verdict {
	return Verdict{action: Refuse, reason: reason, retryAfter: retryAfter}
}

// Action returns the action to take.
func (v Verdict) Action() Action { return v.action }

// Reason returns why the request is refused; empty if it is not.
func (v Verdict) Reason() Reason { return v.reason }

// RetryAfter returns the delay after which the caller may retry; zero means no
// hint.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// Dequeued is a request that leaves the queue, with the verdict on it.
type Dequeued struct {
	ID      string
	Verdict Verdict
}

// Sample is the measurement of a request that ended.
type Sample struct {
	Latency   time.Duration // From start to the last byte of the response.
	ChildTime time.Duration // Part of Latency spent waiting for child calls.
	Failed    bool          // The target aborted the response or answered 5xx.
	Cancelled bool          // The caller disconnected; Latency is not meaningful.
}

// Load describes a target for routing and early refusal.
type Load struct {
	InFlight int      // Running requests.
	Queued   int      // Waiting requests.
	Limit    int      // Maximum number of running requests.
	Cutoff   Priority // Lowest priority that is admitted.
	// ServiceTime is the recent time of a request at the target without child
	// calls; 0 if it is not known.
	ServiceTime time.Duration
}

// Start describes a target that begins to take requests.
type Start struct {
	Fresh bool // The target was started, or is another one; otherwise it has recovered.
	Cold  bool // The target says that it is still slow.
	Alone bool // No other target of the service has been ready for longer.
}

// Admission decides which requests a target runs and in which order. It is
// not safe for concurrent use; the guard serialises access with its own lock.
type Admission interface {
	// Offer decides on a new request. It also returns the queued requests that
	// the new one displaced.
	Offer(now time.Time, r Request) (Verdict, []Dequeued)
	// Done records the end of a request that ran and returns the queued
	// requests to start or refuse now.
	Done(now time.Time, id string, s Sample) []Dequeued
	// Cancel removes a queued request whose caller disconnected. It reports
	// whether the request was queued.
	Cancel(now time.Time, id string) bool
	// Expire refuses queued requests that can no longer meet their deadline,
	// and starts others if the limit has risen. Drivers call it at least every
	// 10 ms while requests are queued.
	Expire(now time.Time) []Dequeued
	// SetSlots sets the number of requests that the target reports it can run
	// concurrently.
	SetSlots(n int)
	// Restart records that the target has started or recovered.
	Restart(now time.Time, s Start)
	// Ramping reports whether the limit is held down after a Restart.
	Ramping() bool
	// SetRate sets the number of requests that the target takes per second; 0
	// means that it does not limit them.
	SetRate(now time.Time, perSecond float64)
	// Load returns the current load.
	Load(now time.Time) Load
}
