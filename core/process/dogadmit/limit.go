package dogadmit

import (
	"math"
	"time"

	"dogwoodford"
)

const (
	// minWindow and minWindowSamples are the least duration and number of
	// samples of one measurement. With fewer samples the mean of usual service
	// times is too noisy.
	minWindow        = 500 * time.Millisecond
	minWindowSamples = 40
	// tolerance is the ratio of mean to minimum latency up to which a target
	// does not count as overcommitted.
	tolerance = 1.5
	// minCutFactor is the lower bound of the factor by which one measurement
	// reduces the limit.
	minCutFactor = 0.8
	// trialPause is the time without a new trial after a lower limit has
	// not reduced the latency.
	trialPause = 5 * time.Second
	// trialWindows is the number of consecutive windows with high latency that
	// start a trial. A trial in the first second of an overload, before the
	// cutoff has risen, costs the top class 0.6% of its demand in the trace
	// factdesk-both.
	trialWindows = 3
	// minLatencyGrowth is the factor by which the long-term minimum grows per
	// measurement, so that an outdated minimum is replaced within minutes.
	minLatencyGrowth = 1.002
)

// limiter adapts the number of requests that may run concurrently.
//
// Several consecutive windows whose mean latency is far above the long-term
// minimum, while the limit is reached, start a trial: the limit is lowered, one
// window passes to settle, and the mean latency of the next is compared. By
// Little's law, latency falls with the limit if requests queue inside the
// target. If it does not fall, the target itself has become slower, so the
// limit is restored and the minimum replaced. Without this check a target that
// becomes five times slower also loses most of its places.
type limiter struct {
	slots, min int
	value      float64

	selfTime time.Duration // Moving average of latency without child calls.
	latency  time.Duration // Moving average of latency with child calls.

	minLatency         float64   // Long-term minimum of the window means, in seconds, without child calls.
	limitBeforeTrial   float64   // Limit before the current trial; zero if there is none.
	latencyBeforeTrial float64   // Mean latency before the trial, in seconds.
	highCount          int       // Consecutive windows with high latency.
	settling           bool      // The current window follows a change and is not evaluated.
	nextTrial          time.Time // Earliest start of the next trial.

	windowStart time.Time // Start of the current window.
	sum         float64   // Seconds without child calls.
	n           int       // Requests that ended.
	atLimit     int       // Requests that ended while the limit was reached.
}

func newLimiter(slots, minLimit int) limiter {
	return limiter{slots: slots, min: min(minLimit, slots), value: float64(slots)}
}

func (l *limiter) limit() int { return max(l.min, int(l.value)) }

func (l *limiter) setSlots(n int) {
	if n == l.slots {
		return
	}
	if l.limitBeforeTrial == 0 && int(l.value) == l.slots {
		l.value = float64(n)
	}
	l.slots = n
	l.min = min(l.min, n)
	l.value = min(l.value, float64(n))
}

// setLimit sets the limit that was found by other means, and ends the measurement and
// the trial in progress.
func (l *limiter) setLimit(n int) {
	l.value = min(float64(n), float64(l.slots))
	l.limitBeforeTrial, l.highCount, l.settling = 0, 0, false
	l.windowStart, l.sum, l.n, l.atLimit = time.Time{}, 0, 0, 0
}

// average adds a request to the moving averages.
func (l *limiter) average(s dogwoodford.Sample) {
	if s.Cancelled || s.Failed {
		return
	}
	selfTime := max(0, s.Latency-s.ChildTime)
	if l.latency == 0 {
		l.selfTime, l.latency = selfTime, s.Latency
	}
	l.selfTime += (selfTime - l.selfTime) / 32
	l.latency += (s.Latency - l.latency) / 32
}

// observe records the end of a request. atLimit tells whether the limit was
// reached.
func (l *limiter) observe(now time.Time, s dogwoodford.Sample, atLimit bool) {
	if s.Cancelled || s.Failed {
		return
	}
	l.average(s)
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.sum += max(0, s.Latency-s.ChildTime).Seconds()
	l.n++
	if atLimit {
		l.atLimit++
	}
}

// advance closes the current window if it is long enough.
func (l *limiter) advance(now time.Time) {
	if l.n < minWindowSamples || now.Sub(l.windowStart) < max(minWindow, 2*l.latency) {
		return
	}
	mean, used := l.sum/float64(l.n), 2*l.atLimit > l.n
	l.windowStart, l.sum, l.n, l.atLimit = now, 0, 0, 0
	if l.settling {
		l.settling = false
		return
	}
	l.adapt(now, mean, used)
}

func (l *limiter) adapt(now time.Time, mean float64, used bool) {
	if l.limitBeforeTrial > 0 {
		l.endTrial(now, mean, used)
		return
	}
	if l.minLatency == 0 || mean < l.minLatency {
		l.minLatency = mean
	}
	l.minLatency *= minLatencyGrowth
	gradient := tolerance * l.minLatency / mean
	switch {
	case gradient >= 1:
		l.highCount = 0
		l.value = min(float64(l.slots), l.value+math.Sqrt(l.value))
	case used && !now.Before(l.nextTrial):
		if l.highCount++; l.highCount < trialWindows {
			return
		}
		l.highCount = 0
		l.limitBeforeTrial, l.latencyBeforeTrial = l.value, mean
		l.value = max(float64(l.min), l.value*max(gradient, minCutFactor))
		l.settling = true
	}
}

// endTrial ends a trial. The lower limit stays if the latency fell by at least
// half of the share by which the limit was lowered, or if it was not reached.
func (l *limiter) endTrial(now time.Time, mean float64, used bool) {
	explained := 1 - l.value/l.limitBeforeTrial
	if used && 1-mean/l.latencyBeforeTrial < explained/2 {
		l.value = l.limitBeforeTrial
		l.minLatency = min(mean, l.latencyBeforeTrial)
		l.nextTrial = now.Add(trialPause)
	}
	l.limitBeforeTrial = 0
}
