package dogramp

import (
	"slices"
	"time"
)

const (
	// initialDivisor is the part of the ordinary limit, as a divisor, with which a
	// ramp starts. With less, entries that compare targets by their use would send
	// none of a moderate load to a target that has started.
	initialDivisor = 4
	// hintedDivisor is used instead if the target says that it is slow.
	hintedDivisor = 8
	// aloneDivisor is used instead if all targets of a service start at once, as
	// requests have nowhere else to go.
	aloneDivisor = 2
	// MinLimit is the lowest limit. With a single place, one slow request would
	// leave the target without answers to judge by.
	MinLimit = 2
	// minRound and minRoundAnswers are the least duration and number of answers of
	// a round. The median of fewer answers is too noisy. If all targets of a service
	// start at once, a round is half as many answers as may run at once, as requests
	// then wait for it.
	minRound        = 150 * time.Millisecond
	minRoundAnswers = 12
	// maxRound ends a round of a target with few requests.
	maxRound = time.Second
	// maxRoundAnswers bounds the memory of a round. Later answers are left out.
	maxRoundAnswers = 256
	// goodRatio and slowRatio relate the median time of a round to the lowest of
	// the ramp: up to the first a round is good, from the second on it is slow.
	goodRatio = 1.4
	slowRatio = 2.0
	// improvedRatio is the ratio to the lowest median below which a target has
	// become faster.
	improvedRatio = 0.9
	// settledRounds is the number of rounds without a higher limit and without
	// faster answers after which the limit counts as found.
	settledRounds = 4
	// flapWindow is the time after the start of a ramp in which a further start
	// counts as flapping.
	flapWindow = 10 * time.Second
	// maxFlaps bounds the halvings of the initial limit.
	maxFlaps = 8
)

// Answer is the measurement of one answer of the target.
type Answer struct {
	Time   time.Duration // Time at the target without child calls.
	Failed bool          // The target itself failed.
}

// Ramp is the limit of one target. The zero value is a target that is not in a
// ramp.
type Ramp struct {
	active    bool
	alone     bool // The service has no target that has been ready for longer.
	limit     int
	startedAt time.Time
	flaps     int // Successive starts, each within flapWindow of the one before.

	best    time.Duration // Lowest median of a round; zero before the first one.
	settled int           // Rounds without progress.

	roundStart time.Time
	times      []time.Duration // Of the good answers of this round.
	failures   int
}

// Conditions describe a start.
type Conditions struct {
	Cold  bool // The target itself says that it is slow, which only lowers the first limit.
	Alone bool // The service has no target that has been ready for longer.
}

// divisor returns the part of the ordinary limit with which the ramp starts.
func (c Conditions) divisor() int {
	switch {
	case c.Alone:
		return aloneDivisor
	case c.Cold:
		return hintedDivisor
	}
	return initialDivisor
}

// Start begins a ramp towards the ordinary limit. A start soon after another one
// begins lower.
func (rp *Ramp) Start(now time.Time, ordinary int, c Conditions) {
	if !rp.startedAt.IsZero() && now.Sub(rp.startedAt) < flapWindow {
		rp.flaps = min(rp.flaps+1, maxFlaps)
	} else {
		rp.flaps = 0
	}
	rp.limit = max(MinLimit, (ordinary/c.divisor())>>rp.flaps)
	rp.active = rp.limit < ordinary
	rp.startedAt, rp.alone = now, c.Alone
	rp.best, rp.settled = 0, 0
	rp.beginRound(time.Time{})
}

// Active reports whether the ramp holds the limit down.
func (rp *Ramp) Active() bool { return rp.active }

// Limit returns the limit of an active ramp, or the last one of an ended ramp.
func (rp *Ramp) Limit() int { return rp.limit }

// Observe records an answer. ordinary is the limit at which the ramp ends.
func (rp *Ramp) Observe(now time.Time, a Answer, ordinary int) {
	if !rp.active {
		return
	}
	if rp.roundStart.IsZero() {
		rp.roundStart = now
	}
	switch {
	case a.Failed:
		rp.failures++
	case len(rp.times) < maxRoundAnswers:
		rp.times = append(rp.times, a.Time)
	}
	if rp.roundEnded(now) {
		rp.endRound(ordinary)
		rp.beginRound(now)
	}
}

// roundEnded reports whether a round is long enough to be evaluated. It holds at
// least as many answers as may run at once, so that it shows the latest limit.
func (rp *Ramp) roundEnded(now time.Time) bool {
	n, age := len(rp.times)+rp.failures, now.Sub(rp.roundStart)
	if age >= maxRound {
		return n >= MinLimit
	}
	if rp.alone {
		return n >= max(MinLimit, rp.limit/2)
	}
	return age >= minRound && n >= min(max(minRoundAnswers, rp.limit), maxRoundAnswers)
}

func (rp *Ramp) beginRound(now time.Time) {
	rp.roundStart = now
	rp.times, rp.failures = rp.times[:0], 0
}

// endRound sets the limit by the answers of the round.
func (rp *Ramp) endRound(ordinary int) {
	if rp.failures >= max(1, len(rp.times)) {
		rp.limit = max(MinLimit, rp.limit/2)
		rp.settled = 0
		return
	}
	m := median(rp.times)
	ratio := 1.0
	if rp.best > 0 {
		ratio = float64(m) / float64(rp.best)
	}
	switch {
	case ratio <= goodRatio:
		rp.limit *= 2
		rp.settled = 0
	case ratio >= slowRatio:
		rp.limit = max(MinLimit, rp.limit/2)
		rp.settled++
	default:
		rp.settled++
	}
	if ratio < improvedRatio {
		rp.settled = 0
	}
	if rp.best == 0 || m < rp.best {
		rp.best = m
	}
	rp.limit = min(rp.limit, ordinary)
	rp.active = rp.limit < ordinary && rp.settled < settledRounds
}

// median returns the median of times, which it sorts; there is at least one.
func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}
