package dogplatform

import (
	"math/rand/v2"
	"time"
)

// circuit decides whether a call may be made. The zero value is closed. It is
// guarded by Client.mu.
type circuit struct {
	open     bool
	failures int           // In a row.
	pause    time.Duration // Pause before the next trial.
	next     time.Time     // Next trial while open; next call while the rate grows.
	trial    bool          // A trial is in progress.
	ramp     int           // Successes still needed until the rate is free.
}

// allow reports whether a call may be made now.
func (c *circuit) allow(now time.Time, opt Options) bool {
	switch {
	case c.open:
		if c.trial || now.Before(c.next) {
			return false
		}
		c.trial = true
		return true
	case c.ramp > 0:
		// After an outage the interval between calls shrinks with each success.
		if now.Before(c.next) {
			return false
		}
		c.next = now.Add(c.interval(opt))
		return true
	}
	return true
}

// interval is the pause between calls while the rate grows. It starts at a
// second: each node then adds about one call a second to those of the others.
func (c *circuit) interval(opt Options) time.Duration {
	return time.Second * time.Duration(c.ramp) / time.Duration(opt.Ramp)
}

// done records the end of a call that was allowed. It reports whether the
// circuit opened.
func (c *circuit) done(now time.Time, ok bool, opt Options, rnd *rand.Rand) bool {
	wasTrial := c.trial
	c.trial = false
	if ok {
		c.failures = 0
		if c.open {
			c.open = false
			c.pause = 0
			c.ramp = opt.Ramp
			// The trials of many nodes succeed at about the same time. The
			// jitter keeps their next calls apart.
			c.next = now.Add(jitter(rnd, time.Second))
		} else if c.ramp > 0 {
			c.ramp--
		}
		return false
	}
	c.failures++
	if c.open && !wasTrial || !c.open && c.failures < opt.OpenAfter && c.ramp == 0 {
		return false
	}
	c.pause = min(max(2*c.pause, opt.PauseMin), opt.PauseMax)
	c.next = now.Add(jitter(rnd, c.pause))
	opened := !c.open
	c.open = true
	return opened
}

// abandon records that a call ended without telling anything of the service,
// as its caller went away.
func (c *circuit) abandon() { c.trial = false }
