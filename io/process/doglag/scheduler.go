package doglag

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// schedulerLatencies is the runtime's histogram of the times that goroutines waited for
// a processor after they had become ready.
const schedulerLatencies = "/sched/latencies:seconds"

// scheduler finds the longest wait of a goroutine for a processor. Timers go before other
// goroutines that are ready, so that their delay alone says little of those. It is not
// safe for concurrent use.
type scheduler struct {
	sample []metrics.Sample
	counts []uint64 // At the last call of longestWait.
}

func newScheduler() *scheduler {
	return &scheduler{sample: []metrics.Sample{{Name: schedulerLatencies}}}
}

// longestWait returns the longest wait that ended since the last call, rounded down to a
// bucket of the histogram. The first call covers the time since the start of the process.
func (s *scheduler) longestWait() time.Duration {
	metrics.Read(s.sample)
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // A later runtime may lack it.
	}
	h := s.sample[0].Value.Float64Histogram()
	longest := time.Duration(0)
	for i, n := range slices.Backward(h.Counts) {
		if len(s.counts) <= i || n > s.counts[i] {
			longest = bucketStart(h.Buckets[i])
			break
		}
	}
	s.counts = append(s.counts[:0], h.Counts...)
	return longest
}

// bucketStart returns the lower bound of a bucket as a duration.
func bucketStart(seconds float64) time.Duration {
	if math.IsInf(seconds, 0) || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
