package dogstop

import "time"

const (
	// maxGuardTime is the time after the signal in which other nodes may still send
	// requests because they have not noticed the stop. Once the guard is closed, the
	// target is unused until the node has restarted, so the guard stays open as long
	// as callers use the entry.
	maxGuardTime = 2500 * time.Millisecond
	// maxEntryTime is the time after the signal in which callers may still send
	// requests. They check readiness once a second and stop after two failed checks.
	maxEntryTime = 3 * time.Second
	// answerReserve is the part of the grace period that remains when the requests in
	// progress are answered: for the responses, and for the end of the process.
	answerReserve = 700 * time.Millisecond
	// endReserve is the part of the grace period that remains when the process ends,
	// whether or not the responses have been written.
	endReserve = 350 * time.Millisecond
)

// Shares of the grace period that bound the times above if it is short.
const (
	maxGuardShare   = 0.42
	maxEntryShare   = 0.5
	maxReserveShare = 0.2
)

// Plan is the schedule of one stop. It is immutable.
type Plan struct {
	began time.Time
	grace time.Duration
}

// NewPlan returns the plan of a stop that was signalled at began, and whose process is
// killed after grace.
func NewPlan(began time.Time, grace time.Duration) Plan { return Plan{began: began, grace: grace} }

// share returns d, or the given share of the grace period if that is shorter.
func (p Plan) share(d time.Duration, share float64) time.Duration {
	return min(d, time.Duration(share*float64(p.grace)))
}

// GuardClose returns when the guard stops accepting requests of other nodes.
func (p Plan) GuardClose() time.Time { return p.began.Add(p.share(maxGuardTime, maxGuardShare)) }

// EntryClose returns when the entry stops accepting requests of callers.
func (p Plan) EntryClose() time.Time { return p.began.Add(p.share(maxEntryTime, maxEntryShare)) }

// AnswerBy returns when the requests that are still in progress are answered.
func (p Plan) AnswerBy() time.Time {
	return p.began.Add(p.grace - p.share(answerReserve, maxReserveShare))
}

// End returns when the process ends at the latest.
func (p Plan) End() time.Time {
	return p.began.Add(p.grace - p.share(endReserve, maxReserveShare/2))
}

// AcceptsRequest reports whether the entry accepts a request of a caller.
func (p Plan) AcceptsRequest(now time.Time) bool { return now.Before(p.EntryClose()) }

// AcceptsCall reports whether the entry accepts a child call that lasts at most timeout.
func (p Plan) AcceptsCall(now time.Time, timeout time.Duration) bool {
	return now.Before(p.EntryClose()) || !now.Add(timeout).After(p.AnswerBy())
}

// Done reports whether the process can end: nobody sends requests any more, and none is
// in progress.
func (p Plan) Done(now time.Time, inProgress int) bool {
	return inProgress == 0 && !now.Before(p.GuardClose())
}
