package dogpace

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultSpacing is the mean time between two polls of the whole fleet. A
	// change spreads among nodes that exchange requests within some tenths of a
	// second, so that both together stay well below two seconds.
	defaultSpacing = 100 * time.Millisecond
	// defaultMaxWait bounds the wait in large fleets. It is below the usual
	// timeouts of idle connections.
	defaultMaxWait = 10 * time.Second
	// minMessageRate is the number of messages per second from other nodes at
	// which a node relies on them for changes.
	minMessageRate = 5
	// jitter is the fraction of a wait that is random, so that nodes that start
	// together do not poll together.
	jitter = 0.5
)

const (
	// pausePerNode, minPause and maxPause determine the time in which changes
	// of other nodes are collected. During a rolling restart each change would
	// otherwise cost one call by each node. Nodes send their changes to each
	// other; the pause delays those that were lost.
	pausePerNode = 50 * time.Millisecond
	minPause     = time.Second
	maxPause     = 5 * time.Second
)

// Pause returns the time from a change of one of the given number of nodes to
// the next poll for such changes.
func Pause(nodes int) time.Duration {
	return min(max(minPause, time.Duration(nodes)*pausePerNode), maxPause)
}

// Options configure a Pace. Zero fields take the defaults, except for MinWait
// and Rand, which are required.
type Options struct {
	MinWait time.Duration // Shortest wait; used by a node that receives few messages from others.
	MaxWait time.Duration // Longest wait, unless MinWait is longer; default 10 s.
	Spacing time.Duration // Mean time between two polls of all nodes together; default 0.1 s.
	Rand    *rand.Rand    // Source of jitter.
}

// Pace determines how long the watch calls of one node wait. It is not safe for
// concurrent use.
type Pace struct {
	opts     Options
	messages int       // Messages from other nodes since the last call of Wait.
	lastWait time.Time // Time of the last call of Wait; zero before the first.
}

// New returns the Pace of one node. It panics if MinWait is not positive or
// Rand is nil.
func New(o Options) *Pace {
	if o.MinWait <= 0 || o.Rand == nil {
		panic("dogpace: Options need MinWait and Rand")
	}
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.Spacing == 0 {
		o.Spacing = defaultSpacing
	}
	return &Pace{opts: o}
}

// RecordMessage records a message from another node that carries the version
// of its configuration.
func (p *Pace) RecordMessage() { p.messages++ }

// Wait returns how long the next watch call of a node waits for a change, in a
// fleet of the given number of nodes. It also starts a new count of messages.
func (p *Pace) Wait(now time.Time, nodes int) time.Duration {
	elapsed := now.Sub(p.lastWait).Seconds()
	informed := !p.lastWait.IsZero() && float64(p.messages) >= minMessageRate*elapsed
	p.messages, p.lastWait = 0, now
	wait := min(time.Duration(nodes)*p.opts.Spacing, p.opts.MaxWait)
	if !informed || wait <= p.opts.MinWait {
		return p.opts.MinWait
	}
	wait -= time.Duration(jitter * p.opts.Rand.Float64() * float64(wait))
	return max(wait, p.opts.MinWait)
}
