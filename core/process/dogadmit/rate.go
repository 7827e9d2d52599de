package dogadmit

import "time"

const (
	// burstTime is the time whose requests may start at once at a target that limits
	// their rate, after as long without any.
	burstTime = 100 * time.Millisecond
	// minRate is the lower bound of a rate, in requests per second. A target that is
	// sent nothing could not say that it takes more again.
	minRate = 0.5
)

// rate limits how many requests start per second. The zero rate does not limit them.
type rate struct {
	perSecond float64
	tokens    float64 // Requests that may start now.
	at        time.Time
}

// set replaces the rate; 0 means no limit.
func (r *rate) set(now time.Time, perSecond float64) {
	if perSecond > 0 {
		perSecond = max(perSecond, minRate)
	}
	r.refill(now)
	if r.perSecond == 0 {
		r.tokens = 1
	}
	r.perSecond = perSecond
	r.tokens = min(r.tokens, r.burst())
}

func (r *rate) limits() bool { return r.perSecond > 0 }

// burst returns the largest number of requests that may start at once.
func (r *rate) burst() float64 { return max(1, r.perSecond*burstTime.Seconds()) }

func (r *rate) refill(now time.Time) {
	if elapsed := now.Sub(r.at).Seconds(); elapsed > 0 {
		r.tokens = min(r.burst(), r.tokens+elapsed*r.perSecond)
		r.at = now
	}
}

// allows reports whether a request may start now.
func (r *rate) allows(now time.Time) bool {
	if !r.limits() {
		return true
	}
	r.refill(now)
	return r.tokens >= 1
}

// take records the start of a request.
func (r *rate) take() { r.tokens-- }

// interval returns the mean time between two starts at the limit, 0 without one.
func (r *rate) interval() time.Duration {
	if !r.limits() {
		return 0
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}
