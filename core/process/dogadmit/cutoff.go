package dogadmit

import (
	"time"

	"dogwoodford"
)

const (
	// cutoffWindow is the time over which the queue must stay long before the
	// cutoff rises, and short before it falls.
	cutoffWindow = 100 * time.Millisecond
	// cutoffMemory is the share of the counts kept from one window to the
	// next; 0.9 averages over a second, which gives targets with 15 slots
	// enough arrivals to estimate from.
	cutoffMemory = 0.9
	// cutoffMargin keeps the cutoff on the low side of the estimate: the queue
	// chooses exactly, and a cutoff that is too high leaves places empty.
	cutoffMargin = 1.05
	// maxWindows bounds the work after an idle time. The cutoff reaches zero
	// from any value in fewer windows.
	maxWindows = 20
)

// cutoff is the lowest admitted priority. It rises at once to the value that
// the recent arrivals and starts call for, and falls in steps that double while
// the queue stays empty, so the full range is crossed in about a second.
type cutoff struct {
	value    dogwoodford.Priority
	step     dogwoodford.Priority
	arrivals [dogwoodford.MaxPriority + 1]float32
	starts   float64
	end      time.Time // End of the present window.
	least    int       // Shortest queue in the window.
	drain    bool      // Make room for the requests that wait beyond the allowed length.
}

func (c *cutoff) arrived(p dogwoodford.Priority) { c.arrivals[p]++ }

func (c *cutoff) started() { c.starts++ }

// sawQueue records a queue length at the moment when it is shortest.
func (c *cutoff) sawQueue(n int) { c.least = min(c.least, n) }

// advance closes the windows that ended. queued is the present queue length and
// allowed the length that the target delay permits.
func (c *cutoff) advance(now time.Time, queued, allowed int) {
	if c.end.IsZero() {
		c.end = now.Add(cutoffWindow)
		c.least = queued
		return
	}
	for i := 0; !now.Before(c.end); i++ {
		if i == maxWindows {
			c.end = now.Add(cutoffWindow)
			return
		}
		c.close(allowed)
		c.end = c.end.Add(cutoffWindow)
		c.least = queued
	}
}

func (c *cutoff) close(allowed int) {
	switch {
	case c.least > allowed:
		c.raise(c.least - allowed)
		c.step = 0
	case c.least == 0 && c.value > 0:
		c.step = max(1, 2*c.step)
		c.value = max(0, c.value-c.step)
	default:
		c.step = 0
	}
	for i := range c.arrivals {
		c.arrivals[i] *= cutoffMemory
	}
	c.starts *= cutoffMemory
}

// raise sets the cutoff to the lowest value above which the recent arrivals do
// not exceed the recent starts by more than the margin. A queue that remains
// while the arrivals do not exceed the starts is drained by priority; raising
// the cutoff for it too would refuse work that can be served. With drain it is
// raised by excess requests more: those that wait are not refused then, and
// without room for them all that follow would wait as long.
func (c *cutoff) raise(excess int) {
	sum := 0.0
	if c.drain {
		sum = float64(excess)
	}
	for p := dogwoodford.MaxPriority; p > c.value; p-- {
		if sum += float64(c.arrivals[p]); sum > c.starts*cutoffMargin {
			c.value = p
			return
		}
	}
}
