package dogplatform

import (
	"math/rand/v2"
	"time"
)

// circuit is a circuit breaker that decides whether a call may be made. The zero
// value is closed. It is protected by Client.mu.
type circuit struct {
	open                bool
	consecutiveFailures int           // Reset by a success.
	backoff             time.Duration // Mean wait before the next trial.
	nextCall            time.Time     // Earliest next trial while open; earliest next call during the ramp.
	trialRunning        bool          // A trial is in progress.
	rampLeft            int           // Successes needed until the call rate is unlimited.
}

// allow reports whether a call may be made at now. The caller reports the end of
// an allowed call with record or recordCancelled.
func (c *circuit) allow(now time.Time, opt Options) bool {
	switch {
	case c.open:
		if c.trialRunning || now.Before(c.nextCall) {
			return false
		}
		c.trialRunning = true
		return true
	case c.rampLeft > 0:
		// The interval between calls shrinks with each success.
		if now.Before(c.nextCall) {
			return false
		}
		c.nextCall = now.Add(c.interval(opt))
		return true
	}
	return true
}

// interval returns the minimum time between calls during the ramp. It starts at
// one second, so that each node adds at most about one call per second to those
// of the other nodes when an outage ends.
func (c *circuit) interval(opt Options) time.Duration {
	return time.Second * time.Duration(c.rampLeft) / time.Duration(opt.RampCalls)
}

// record records the result of a call that was allowed. It reports whether the
// call opened the circuit.
func (c *circuit) record(now time.Time, ok bool, opt Options, rnd *rand.Rand) bool {
	wasTrial := c.trialRunning
	c.trialRunning = false
	if ok {
		c.consecutiveFailures = 0
		if c.open {
			c.open = false
			c.backoff = 0
			c.rampLeft = opt.RampCalls
			// The trials of many nodes succeed at about the same time; the
			// jitter spreads their next calls.
			c.nextCall = now.Add(jitter(rnd, time.Second))
		} else if c.rampLeft > 0 {
			c.rampLeft--
		}
		return false
	}
	c.consecutiveFailures++
	if c.open && !wasTrial || !c.open && c.consecutiveFailures < opt.OpenAfter && c.rampLeft == 0 {
		return false
	}
	c.backoff = min(max(2*c.backoff, opt.MinBackoff), opt.MaxBackoff)
	c.nextCall = now.Add(jitter(rnd, c.backoff))
	opened := !c.open
	c.open = true
	return opened
}

// recordCancelled records that the caller cancelled an allowed call, whose end
// therefore says nothing about the service.
func (c *circuit) recordCancelled() { c.trialRunning = false }
