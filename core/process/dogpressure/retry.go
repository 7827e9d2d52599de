package dogpressure

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which past requests count half for the
	// share of refused ones.
	shareHalfLife = 500 * time.Millisecond
	// leastRetry and mostRetry bound the hint before its jitter. Callers that
	// come back within the least time would meet the same queue.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// share counts the requests of one class for one service, and those refused,
// with less weight for older ones.
type share struct {
	asked, refused float64
	at             time.Time
}

// record adds a request.
func (s *share) record(now time.Time, refused bool) {
	weight := math.Exp2(-now.Sub(s.at).Seconds() / shareHalfLife.Seconds())
	s.asked, s.refused, s.at = s.asked*weight+1, s.refused*weight, now
	if refused {
		s.refused++
	}
}

// retryAfter returns when a caller that is refused now should come back, before
// jitter. If few are refused, one that comes back soon is most probably
// admitted, and still served early. If most are, there is no room for those
// that come back before the demand has passed.
func (s *share) retryAfter() time.Duration {
	admitted := s.asked - s.refused
	if admitted <= 0 {
		return mostRetry
	}
	wait := time.Duration(s.refused / admitted * float64(time.Second))
	return min(max(wait, leastRetry), mostRetry)
}
