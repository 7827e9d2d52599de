package dogadmit

import (
	"math"
	"time"

	"dogwoodford"
)

const (
	// limitWindow and limitSamples bound one measurement from below. Fewer
	// samples make the mean of usual service times too noisy.
	limitWindow  = 500 * time.Millisecond
	limitSamples = 40
	// tolerance is the rise of latency over the minimum that is not taken for
	// a sign of overcommitment.
	tolerance = 1.5
	// maxCut is the most that one measurement lowers the limit by.
	maxCut = 0.8
	// restAfterRevert is the time without a new trial after a lower limit did
	// not lower the latency.
	restAfterRevert = 5 * time.Second
	// highWindows is the number of windows with high latency before a trial. A
	// trial in the first second of an overload, before the cutoff has risen,
	// cost the top class 0.6% of its demand in factdesk-both.
	highWindows = 3
	// drift raises the long-term minimum per measurement, so that a minimum
	// from other circumstances is forgotten within minutes.
	drift = 1.002
)

// limiter adapts the number of requests that may run at once.
//
// A window whose mean latency is far above the long-term minimum, while the
// limit is in use, starts a trial: the limit is lowered, one window passes to
// settle, and the next is compared. By Little's law, latency falls with the
// limit if requests queue inside the target. If it does not, the target itself
// became slower; the limit is restored and the minimum replaced. Without this
// check a target that becomes five times slower also loses most of its places.
type limiter struct {
	slots, min int
	value      float64

	self time.Duration // Moving mean of the time without child calls.
	hold time.Duration // Moving mean of the whole time.

	base     float64 // Long-term minimum of the window means, in seconds.
	trial    float64 // Limit before the present trial; zero if there is none.
	trialAt  float64 // Mean latency before the trial.
	high     int     // Windows in a row with high latency.
	settling bool    // The present window follows a change and is not judged.
	restEnd  time.Time

	start time.Time // Start of the present window.
	sum   float64
	n     int
	full  int
}

func newLimiter(slots, least int) limiter {
	return limiter{slots: slots, min: min(least, slots), value: float64(slots)}
}

func (l *limiter) limit() int { return max(l.min, int(l.value)) }

// interval returns the mean time between two ends when the limit is in use.
func (l *limiter) interval() time.Duration { return l.hold / time.Duration(l.limit()) }

func (l *limiter) setSlots(n int) {
	if n == l.slots {
		return
	}
	if l.trial == 0 && int(l.value) == l.slots {
		l.value = float64(n)
	}
	l.slots = n
	l.min = min(l.min, n)
	l.value = min(l.value, float64(n))
}

// observe records the end of a request; full tells whether the limit was in
// use.
func (l *limiter) observe(now time.Time, s dogwoodford.Sample, full bool) {
	if s.Cancelled || s.Failed {
		return
	}
	self := max(0, s.Latency-s.ChildTime)
	if l.hold == 0 {
		l.self, l.hold = self, s.Latency
	}
	l.self += (self - l.self) / 32
	l.hold += (s.Latency - l.hold) / 32
	if l.start.IsZero() {
		l.start = now
	}
	l.sum += self.Seconds()
	l.n++
	if full {
		l.full++
	}
}

// advance closes the present window if it is long enough.
func (l *limiter) advance(now time.Time) {
	if l.n < limitSamples || now.Sub(l.start) < max(limitWindow, 2*l.hold) {
		return
	}
	mean, used := l.sum/float64(l.n), 2*l.full > l.n
	l.start, l.sum, l.n, l.full = now, 0, 0, 0
	if l.settling {
		l.settling = false
		return
	}
	l.adapt(now, mean, used)
}

func (l *limiter) adapt(now time.Time, mean float64, used bool) {
	if l.trial > 0 {
		l.judge(now, mean, used)
		return
	}
	if l.base == 0 || mean < l.base {
		l.base = mean
	}
	l.base *= drift
	gradient := tolerance * l.base / mean
	switch {
	case gradient >= 1:
		l.high = 0
		l.value = min(float64(l.slots), l.value+math.Sqrt(l.value))
	case used && !now.Before(l.restEnd):
		if l.high++; l.high < highWindows {
			return
		}
		l.high = 0
		l.trial, l.trialAt = l.value, mean
		l.value = max(float64(l.min), l.value*max(gradient, maxCut))
		l.settling = true
	}
}

// judge ends a trial. The cut stands if latency fell by more than half of what
// the cut would explain.
func (l *limiter) judge(now time.Time, mean float64, used bool) {
	explained := 1 - l.value/l.trial
	if used && 1-mean/l.trialAt < explained/2 {
		l.value = l.trial
		l.base = min(mean, l.trialAt)
		l.restEnd = now.Add(restAfterRevert)
	}
	l.trial = 0
}
