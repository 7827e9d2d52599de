package dogadmit

import (
	"slices"
	"time"
)

const (
	// serviceWindow and minServiceSamples are the least duration and number of
	// requests of one measurement of the service time.
	serviceWindow     = 250 * time.Millisecond
	minServiceSamples = 4
	// serviceWindows is the number of measurements whose median is the service
	// time. Targets that are slow for half a second fill two to three of them, which
	// leaves the median as it is.
	serviceWindows = 11
)

// serviceTime is the recent time of a request at the target: the median over the
// means of the last windows.
type serviceTime struct {
	means   [serviceWindows]float64 // Seconds; of the last windows, in a ring.
	windows int                     // Windows that have ended.
	median  float64                 // Of means; of the first window its mean so far.

	start time.Time // Start of the current window.
	sum   float64
	n     int
}

func (s *serviceTime) observe(now time.Time, d time.Duration) {
	if s.start.IsZero() {
		s.start = now
	}
	s.sum += d.Seconds()
	s.n++
	if s.windows == 0 {
		s.median = s.sum / float64(s.n)
	}
	if s.n < minServiceSamples || now.Sub(s.start) < serviceWindow {
		return
	}
	s.means[s.windows%serviceWindows] = s.sum / float64(s.n)
	s.windows++
	sorted := s.means
	n := min(s.windows, serviceWindows)
	slices.Sort(sorted[:n])
	s.median = sorted[n/2]
	s.start, s.sum, s.n = now, 0, 0
}

// value returns the service time, 0 before the first request.
func (s *serviceTime) value() time.Duration {
	return time.Duration(s.median * float64(time.Second))
}
