package dogadmit

import (
	"time"

	"dogwoodford"
)

const (
	// cutoffWindow is the time over which the queue must stay long before the
	// cutoff rises, and short before it falls.
	cutoffWindow = 100 * time.Millisecond
	// cutoffDecay is the factor by which the counts decay from one window to
	// the next; 0.9 averages over a second, which gives targets with 15 slots
	// enough arrivals for an estimate.
	cutoffDecay = 0.9
	// cutoffMargin is the ratio of admitted arrivals to starts. It is above 1
	// because the queue still selects by priority, whereas a cutoff that is too
	// high leaves places unused.
	cutoffMargin = 1.05
	// maxWindows bounds the windows that are closed after an idle period. The
	// cutoff falls to zero from any value in fewer windows.
	maxWindows = 20
)

// cutoff is the lowest admitted priority. It rises in one step to the value
// that follows from the recent arrivals and starts. It falls in steps that
// double while the queue is empty, so that it falls from the maximum to zero in
// about a second.
type cutoff struct {
	value        dogwoodford.Priority
	step         dogwoodford.Priority
	arrivals     [dogwoodford.MaxPriority + 1]float32 // Decaying count by priority.
	starts       float64                              // Decaying count.
	windowEnd    time.Time                            // End of the current window.
	minQueued    int                                  // Shortest queue in the window.
	drainBacklog bool                                 // Refuse more arrivals while the queue exceeds the allowed length, to shorten it.
}

func (c *cutoff) arrived(p dogwoodford.Priority) { c.arrivals[p]++ }

func (c *cutoff) started() { c.starts++ }

// observeQueueLen records the queue length after requests were started, when
// the queue is shortest.
func (c *cutoff) observeQueueLen(n int) { c.minQueued = min(c.minQueued, n) }

// advance closes the windows that have ended. queued is the current queue
// length and allowed the length that the target delay permits.
func (c *cutoff) advance(now time.Time, queued, allowed int) {
	if c.windowEnd.IsZero() {
		c.windowEnd = now.Add(cutoffWindow)
		c.minQueued = queued
		return
	}
	for i := 0; !now.Before(c.windowEnd); i++ {
		if i == maxWindows {
			c.windowEnd = now.Add(cutoffWindow)
			return
		}
		c.closeWindow(allowed)
		c.windowEnd = c.windowEnd.Add(cutoffWindow)
		c.minQueued = queued
	}
}

func (c *cutoff) closeWindow(allowed int) {
	switch {
	case c.minQueued > allowed:
		c.raise(c.minQueued - allowed)
		c.step = 0
	case c.minQueued == 0 && c.value > 0:
		c.step = max(1, 2*c.step)
		c.value = max(0, c.value-c.step)
	default:
		c.step = 0
	}
	for i := range c.arrivals {
		c.arrivals[i] *= cutoffDecay
	}
	c.starts *= cutoffDecay
}

// raise sets the cutoff to the lowest value above which the recent arrivals do
// not exceed the recent starts by more than the margin. While they do not, a
// remaining queue empties by priority, and raising the cutoff would refuse
// requests that can be served. With drainBacklog, excess is added to the
// arrivals: queued requests are then not refused, and without room for them all
// later requests would wait as long.
func (c *cutoff) raise(excess int) {
	sum := 0.0
	if c.drainBacklog {
		sum = float64(excess)
	}
	for p := dogwoodford.MaxPriority; p > c.value; p-- {
		if sum += float64(c.arrivals[p]); sum > c.starts*cutoffMargin {
			c.value = p
			return
		}
	}
}
