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
	// drainTimeout bounds a drain. It exceeds the longest deadline of a contract
	// (5 min), so that no request in progress is aborted.
	drainTimeout = 6 * time.Minute
	// handoverTimeout bounds the wait for the handover of key ranges, which
	// cannot complete while the platform is down.
	handoverTimeout = 15 * time.Second
	// announceDelay is the time left for a change of this node's state to reach
	// the other nodes before listeners close.
	announceDelay = 300 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks whether the
	// handovers and the requests in progress have ended.
	drainPollInterval = 20 * time.Millisecond
)

// drain stops a node without aborting requests in progress.
type drain struct {
	n       *node
	started atomic.Bool
	marked  chan struct{} // Closed by mark.
	once    sync.Once
}

func newDrain(n *node) *drain { return &drain{n: n, marked: make(chan struct{})} }

// mark starts the drain and makes Run finish it and return. It is called when the
// platform marks the node as draining. It does not block.
func (d *drain) mark() {
	d.begin()
	d.once.Do(func() { close(d.marked) })
}

// begun reports whether the drain has started. From then on the node takes no
// new work.
func (d *drain) begun() bool { return d.started.Load() }

// begin announces to the other nodes that this one takes no new work, and starts
// the handover of its key ranges. Further calls do nothing.
func (d *drain) begin() {
	if d.started.Swap(true) {
		return
	}
	d.n.log(doglog.NodeDraining)
	go d.n.control.post(func(now time.Time) {
		c := d.n.control
		c.setState(now, dogwoodford.StateDraining, c.slots)
		c.onRanges(now, dogrange.Drain{})
	})
}

// finish waits for the handover of key ranges and for the requests in progress,
// closes each listener once no other part needs it, and announces that the node
// has left. A drain that has not begun begins first.
func (d *drain) finish(ctx context.Context) {
	d.begin()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	dogserve.Sleep(ctx, announceDelay)
	d.waitHandover(ctx)
	// Requests that entered at this node finish first; after that, nothing new
	// comes from here to the node's target.
	d.n.servers.shutdown(ctx, "entry")
	d.waitIdle(ctx)
	d.n.servers.shutdown(ctx, "exit")
	d.n.control.ask(ctx, func(now time.Time) {
		d.n.control.onMember(now, dogmember.SelfChanged{State: dogwoodford.StateLeft, Slots: d.n.control.slots})
	})
	dogserve.Sleep(ctx, announceDelay)
	d.n.servers.shutdown(ctx, "peer")
	if ctx.Err() != nil {
		d.n.log(doglog.DrainTimedOut)
	}
}

func (d *drain) waitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for done := false; !done && ctx.Err() == nil; {
		d.n.control.ask(ctx, func(time.Time) { done = d.n.control.ranges.HandoversDone() })
		if !done {
			dogserve.Sleep(ctx, drainPollInterval)
		}
	}
}

func (d *drain) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		l := d.n.gate.Load()
		if l.InFlight == 0 && l.Queued == 0 && d.n.records.Stats().InProgress == 0 {
			return
		}
		dogserve.Sleep(ctx, drainPollInterval)
	}
}
