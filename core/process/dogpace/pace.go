package dogpace

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultSpacing is the mean time between two questions of the whole fleet.
	// News spread among nodes that exchange requests within some tenths of a
	// second, so that both together stay well below two seconds.
	defaultSpacing = 100 * time.Millisecond
	// defaultMost bounds the wait in large fleets. It is below the time for
	// which connections without traffic are usually kept.
	defaultMost = 10 * time.Second
	// leastHeard is the number of messages of other nodes per second above
	// which a node relies on them.
	leastHeard = 5
	// jitter is the part of a wait that is left to chance. Nodes that start
	// together must not ask together.
	jitter = 0.5
)

const (
	// pauseEach, leastPause and mostPause give the time in which the changes of
	// other nodes gather. In a fleet that is stopped and started in turn, each
	// change would otherwise cost a call of each node. A new target waits for
	// its first request that long, so that the bound is a few seconds.
	pauseEach  = 25 * time.Millisecond
	leastPause = time.Second
	mostPause  = 3 * time.Second
)

// Pause returns the time from a change of one of the given number of nodes to
// the next question for such changes.
func Pause(nodes int) time.Duration {
	return min(max(leastPause, time.Duration(nodes)*pauseEach), mostPause)
}

// Options are the settings of a Pace. Zero fields take the defaults, but for
// Least and Rand, which are required.
type Options struct {
	Least   time.Duration // Wait of a node that hears nothing of others.
	Most    time.Duration // Longest wait; default 10 s.
	Spacing time.Duration // Mean time between two questions of all nodes together; default 0.1 s.
	Rand    *rand.Rand    // Spreads the questions of the nodes.
}

// Pace decides how long the watches of one node wait. It is not safe for
// concurrent use.
type Pace struct {
	opts  Options
	heard int       // Messages since the last call of Wait.
	asked time.Time // Last call of Wait.
}

// New returns the pace of a node. It panics if Least or Rand is missing.
func New(o Options) *Pace {
	if o.Least <= 0 || o.Rand == nil {
		panic("dogpace: Options need Least and Rand")
	}
	if o.Most == 0 {
		o.Most = defaultMost
	}
	if o.Spacing == 0 {
		o.Spacing = defaultSpacing
	}
	return &Pace{opts: o}
}

// Heard records a message of another node that carries the version of its
// configuration.
func (p *Pace) Heard() { p.heard++ }

// Wait returns how long the next watch of a node in a fleet of the given size
// waits for a change.
func (p *Pace) Wait(now time.Time, nodes int) time.Duration {
	passed := now.Sub(p.asked).Seconds()
	connected := !p.asked.IsZero() && float64(p.heard) >= leastHeard*passed
	p.heard, p.asked = 0, now
	wait := min(time.Duration(nodes)*p.opts.Spacing, p.opts.Most)
	if !connected || wait <= p.opts.Least {
		return p.opts.Least
	}
	wait -= time.Duration(jitter * p.opts.Rand.Float64() * float64(wait))
	return max(wait, p.opts.Least)
}
