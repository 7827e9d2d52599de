package dogdeparture

import (
	"cmp"
	"slices"
	"time"

	"dogwoodford/core/process/dogtarget"
)

const (
	// minCopies is the number of other nodes that must keep a departure before it is
	// acknowledged, so that it outlasts the end of its own node and of one more. All
	// reachable nodes are sent it.
	minCopies = 2
	// copyLifetime is the time for which a copy is kept after it was last received. It
	// exceeds the time for which a heartbeat from before the departure can be delayed.
	copyLifetime = time.Minute
	// maxCopies bounds the copies that a node keeps.
	maxCopies = 4096
)

const (
	// minInterval is the shortest time between two rounds of messages.
	minInterval = time.Second
	// intervalPerNode is the time by which it grows with each node of the fleet. The
	// messages that all others return to one node then come at a constant rate.
	intervalPerNode = 20 * time.Millisecond
)

// Interval returns the time between two rounds of messages in a fleet of n nodes.
func Interval(n int) time.Duration { return max(minInterval, time.Duration(n)*intervalPerNode) }

// assuranceMargin is the time by which a node must have run for longer than another to be sure
// of its departures, in addition to an interval. It exceeds the restart of a process.
const assuranceMargin = 10 * time.Second

// Assures reports whether another node, whose process has run for peer, was sent every
// departure that an earlier process of this node acknowledged; the present one has run for
// own, in a fleet of n nodes. The earlier process sent its departure in each round to all
// nodes that ran.
func Assures(peer, own time.Duration, n int) bool { return peer-own >= Interval(n)+assuranceMargin }

// Copy is a departure that is kept for the node beside whose target it happened.
type Copy struct {
	Node      string
	Departure dogtarget.Departure
}

// Ledger is what one node knows of departures that the store may not hold. It is not safe for
// concurrent use.
type Ledger struct {
	own    dogtarget.Departure
	keptBy map[string]bool // Nodes that keep a copy of own.
	copies map[copyKey]keptCopy
}

// copyKey identifies a copy. A node may have several until the store is back.
type copyKey struct{ node, target string }

// keptCopy is a copy that is kept for another node.
type keptCopy struct {
	born     int64
	received time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{keptBy: make(map[string]bool), copies: make(map[copyKey]keptCopy)}
}

// SetOwn sets the departure of the node's own target. Copies of an earlier one count no
// longer.
func (l *Ledger) SetOwn(d dogtarget.Departure) {
	if d == l.own {
		return
	}
	l.own = d
	clear(l.keptBy)
}

// Copied records that another node keeps a copy of d.
func (l *Ledger) Copied(node string, d dogtarget.Departure) {
	if d == l.own {
		l.keptBy[node] = true
	}
}

// Safe reports whether so many of the n other nodes keep a copy of the own departure that it
// may be acknowledged though the store does not hold it.
func (l *Ledger) Safe(n int) bool { return n > 0 && len(l.keptBy) >= min(minCopies, n) }

// Keep keeps a copy for another node, and reports whether there was room for it.
func (l *Ledger) Keep(now time.Time, c Copy) bool {
	l.expire(now)
	key := copyKey{c.Node, c.Departure.ID}
	have, ok := l.copies[key]
	if !ok && len(l.copies) >= maxCopies {
		return false
	}
	l.copies[key] = keptCopy{born: max(have.born, c.Departure.Born), received: now}
	return true
}

// Stored records the departure that the entry of another node holds in the store. A copy of
// it is no longer needed.
func (l *Ledger) Stored(node string, d dogtarget.Departure) {
	key := copyKey{node, d.ID}
	if have, ok := l.copies[key]; ok && have.born <= d.Born {
		delete(l.copies, key)
	}
}

// Copies returns the copies that are to be returned to their nodes, in the order of the nodes
// and targets.
func (l *Ledger) Copies(now time.Time) []Copy {
	l.expire(now)
	out := make([]Copy, 0, len(l.copies))
	for key, c := range l.copies {
		out = append(out, Copy{Node: key.node, Departure: dogtarget.Departure{ID: key.target, Born: c.born}})
	}
	slices.SortFunc(out, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Departure.ID, b.Departure.ID))
	})
	return out
}

// CopiesOf returns the departures that are kept for a node, in the order of the targets.
func (l *Ledger) CopiesOf(now time.Time, node string) []dogtarget.Departure {
	var out []dogtarget.Departure
	for _, c := range l.Copies(now) {
		if c.Node == node {
			out = append(out, c.Departure)
		}
	}
	return out
}

// expire drops the copies that were not received for copyLifetime.
func (l *Ledger) expire(now time.Time) {
	for key, c := range l.copies {
		if now.Sub(c.received) >= copyLifetime {
			delete(l.copies, key)
		}
	}
}
