package dogpressure

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which the weight of past requests in the
	// share of refused ones halves.
	shareHalfLife = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After hint before jitter.
	// Callers that return earlier than the minimum would find the same queue.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// refusalShare holds exponentially decaying counts of the requests of one class
// for one service, and of those refused.
type refusalShare struct {
	total, refused float64
	at             time.Time // Last update.
}

// record decays the counts to now and adds a request.
func (s *refusalShare) record(now time.Time, refused bool) {
	weight := math.Exp2(-now.Sub(s.at).Seconds() / shareHalfLife.Seconds())
	s.total, s.refused, s.at = s.total*weight+1, s.refused*weight, now
	if refused {
		s.refused++
	}
}

// retryAfter returns the time after which a caller that is refused now should
// return, before jitter. If few requests are refused, a caller that returns
// soon is most probably admitted, and still served early. If most are refused,
// there is no capacity for callers that return before the demand has fallen.
func (s *refusalShare) retryAfter() time.Duration {
	admitted := s.total - s.refused
	if admitted <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(s.refused / admitted * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
