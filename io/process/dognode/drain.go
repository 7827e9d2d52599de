package dognode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

const (
	// drainLimit bounds a drain. It exceeds the longest deadline of a contract
	// (5 min), so that no request in progress is cut.
	drainLimit = 6 * time.Minute
	// handoverLimit bounds the wait for the handover of key ranges, which
	// cannot end while the platform is down.
	handoverLimit = 15 * time.Second
	// settleTime lets the news of a drain reach the other nodes before the
	// listeners close.
	settleTime = 300 * time.Millisecond
	// drainPoll is the interval at which the end of a drain is looked for.
	drainPoll = 20 * time.Millisecond
)

// drain ends a node without cutting requests in progress.
type drain struct {
	n       *node
	started atomic.Bool
	marked  chan struct{} // Closed by mark.
	once    sync.Once
}

func newDrain(n *node) *drain { return &drain{n: n, marked: make(chan struct{})} }

// mark drains and ends the node, as the mark of the platform asks for. It does
// not block.
func (d *drain) mark() {
	d.begin()
	d.once.Do(func() { close(d.marked) })
}

// begun reports whether the node takes no new work for good.
func (d *drain) begun() bool { return d.started.Load() }

// begin tells the other nodes that this one takes no new work. Further calls
// do nothing.
func (d *drain) begin() {
	if d.started.Swap(true) {
		return
	}
	d.n.log(doglog.NodeDraining)
	go d.n.control.post(func(now time.Time) {
		c := d.n.control
		c.setState(now, dogwoodford.Draining, c.slots)
		c.onRanges(now, dogrange.Drain{})
	})
}

// finish waits until nothing is in progress, then stops the listeners, each
// when no other part needs it any more, and says that the node has left.
func (d *drain) finish(ctx context.Context) {
	d.begin()
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	dogserve.Pause(ctx, settleTime)
	d.waitHandover(ctx)
	// Callers that use this node as their entry are let finish; then nothing
	// new comes to the own target from here.
	d.n.servers.shutdown(ctx, "entry")
	d.waitIdle(ctx)
	d.n.servers.shutdown(ctx, "exit")
	d.n.control.ask(ctx, func(now time.Time) {
		d.n.control.onMember(now, dogmember.SelfChanged{State: dogwoodford.Left, Slots: d.n.control.slots})
	})
	dogserve.Pause(ctx, settleTime)
	d.n.servers.shutdown(ctx, "peer")
	if ctx.Err() != nil {
		d.n.log(doglog.DrainTimedOut)
	}
}

func (d *drain) waitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for handed := false; !handed && ctx.Err() == nil; {
		d.n.control.ask(ctx, func(time.Time) { handed = d.n.control.ranges.HandoversDone() })
		if !handed {
			dogserve.Pause(ctx, drainPoll)
		}
	}
}

func (d *drain) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		l := d.n.gate.Load()
		if l.InFlight == 0 && l.Queued == 0 && d.n.records.Stats().InProgress == 0 {
			return
		}
		dogserve.Pause(ctx, drainPoll)
	}
}
