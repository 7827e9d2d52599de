package dognode

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/core/version/dogcontract"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

const (
	// tickInterval is the interval of the Tick events that dogmember and
	// dogconfig require.
	tickInterval = 100 * time.Millisecond
	// rangeTickInterval is the interval of the Tick events that dogrange
	// requires.
	rangeTickInterval = 250 * time.Millisecond
	// refreshInterval bounds the age of the snapshot, as the targets in it carry
	// the time at which they were last known to be present.
	refreshInterval = time.Second
	// slowStepThreshold is the duration above which a step is logged. A control
	// loop that runs late lets the windows of key ranges lapse.
	slowStepThreshold = 100 * time.Millisecond
	// taskQueueSize is the number of events that may wait for the control loop.
	taskQueueSize = 4096
)

// task handles one event on the control loop.
type task func(now time.Time)

// control is the control loop and the state that it owns.
type control struct {
	n       *node
	tasks   chan task
	stopped chan struct{} // Closed when the node has stopped.

	member   *dogmember.Membership
	config   *dogconfig.Config[*dogcontract.Contract]
	suspects *dogsuspect.Suspects
	ranges   *dogrange.Ranges

	state           dogwoodford.State // State of this node as announced to other nodes.
	slots           int
	table           *dogrange.Table
	isWatcher       bool
	problems        map[string]time.Time
	lastPublish     time.Time
	lastRangeTick   time.Time           // Time of the last dogrange.Tick.
	imports         map[rangeEpoch]bool // Whether all parts so far were imported.
	lastOp          int64
	antiEntropy     antiEntropy
	lastMeasurement measurement
	known           map[string]dogmember.Member // As last logged.

	snap atomic.Pointer[snapshot]
}

func newControl(n *node, started time.Time, rnd *rand.Rand) *control {
	c := &control{
		n:        n,
		tasks:    make(chan task, taskQueueSize),
		stopped:  make(chan struct{}),
		state:    dogwoodford.StateStarting,
		slots:    n.settings.Target.Slots,
		problems: make(map[string]time.Time),
		imports:  make(map[rangeEpoch]bool),
		known:    make(map[string]dogmember.Member),
	}
	c.member = dogmember.New(started, memberOptions(n, started, rnd))
	c.config = dogconfig.New(dogconfig.Options[*dogcontract.Contract]{
		Parse: parseContract, Rand: rnd, Node: n.settings.Node.Name,
	})
	c.suspects = dogsuspect.New(dogsuspect.Options{})
	c.ranges = dogrange.New(dogrange.Config{
		Node:        n.settings.Node.Name,
		Incarnation: uint64(started.UnixMilli()),
		Service:     n.settings.Node.Service,
		DataCentre:  n.settings.Node.DataCentre,
		Peer:        n.settings.Listen.Peer,
	}, rnd)
	c.table = c.ranges.Table()
	c.publish(started)
	return c
}

// String names the service in the supervisor's events.
func (c *control) String() string { return "control" }

// Serve runs the control loop until ctx ends.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.tasks:
			c.step(f)
		case <-tick.C:
			c.step(c.tick)
		}
	}
}

// step runs one event, records its duration and logs it if it was slow.
func (c *control) step(f task) {
	start := time.Now()
	f(start)
	d := time.Since(start)
	c.n.metrics.Add(dogmetric.ControlSteps, 1)
	c.n.metrics.Add(dogmetric.ControlTime, d.Microseconds())
	if d > slowStepThreshold {
		c.n.log(doglog.ControlOverran, attr("duration", d))
	}
}

// post queues an event for the control loop. It blocks while the queue is full
// and drops the event once the node has stopped.
func (c *control) post(f task) {
	select {
	case c.tasks <- f:
	case <-c.stopped:
	}
}

// ask queues an event and waits until it has run, ctx ends or the node has
// stopped. It reports whether the event is known to have run.
func (c *control) ask(ctx context.Context, f task) bool {
	done := make(chan struct{})
	select {
	case c.tasks <- func(now time.Time) { defer close(done); f(now) }:
	case <-ctx.Done():
		return false
	case <-c.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-c.stopped:
		return false
	}
}

func (c *control) tick(now time.Time) {
	c.onMember(now, dogmember.Tick{})
	c.onConfig(now, dogconfig.Tick{})
	if now.Sub(c.lastRangeTick) >= rangeTickInterval {
		c.lastRangeTick = now
		c.onRanges(now, dogrange.Tick{})
		c.onSuspects(now, dogsuspect.Tick{})
	}
	if now.Sub(c.lastPublish) >= refreshInterval {
		c.publish(now)
		c.updateMetrics()
	}
}

// publish replaces the snapshot that goroutines serving requests load.
func (c *control) publish(now time.Time) {
	c.lastPublish = now
	c.snap.Store(&snapshot{
		node:         c.n.settings.Node.Name,
		entries:      c.config.Snapshot(),
		targets:      c.member.Targets(now),
		table:        c.table,
		suspects:     c.suspects.View(),
		closedReason: closedReason(c.state),
	})
}

// setState sets the state and the slots of this node and announces them to the
// other nodes.
func (c *control) setState(now time.Time, s dogwoodford.State, slots int) {
	if s == c.state && slots == c.slots {
		return
	}
	if s == dogwoodford.StateReady && c.state != s && c.config.Hash() != 0 {
		c.n.log(doglog.NodeReady)
	}
	c.state, c.slots = s, slots
	c.onMember(now, dogmember.SelfChanged{State: s, Slots: slots})
	c.publish(now)
}

// addProblem adds a problem to the status page, up to a fixed number of problems.
func (c *control) addProblem(now time.Time, text string) {
	const maxProblems = 32
	if len(c.problems) < maxProblems {
		c.problems[text] = now
	}
}

func (c *control) updateMetrics() {
	m := c.n.metrics
	s := c.member.Status()
	m.Store(dogmetric.Members, int64(s.Alive))
	var suspected, quarantined int64
	for _, e := range c.suspects.View().Entries() {
		if e.Standing == dogsuspect.Quarantined {
			quarantined++
		} else {
			suspected++
		}
	}
	m.Store(dogmetric.SuspectsHeld, suspected)
	m.Store(dogmetric.QuarantinesHeld, quarantined)
	m.Store(dogmetric.RangesOwned, int64(len(c.ownedRanges())))
	m.Store(dogmetric.RecordsHeld, int64(c.n.records.Stats().Records))
	l := c.n.gate.Load()
	m.Store(dogmetric.TargetInFlight, int64(l.InFlight))
	m.Store(dogmetric.TargetQueued, int64(l.Queued))
	m.Store(dogmetric.TargetLimit, int64(l.Limit))
	m.Store(dogmetric.TargetCutoff, int64(l.Cutoff))
	m.Store(dogmetric.RequestsInProgress, c.n.handlers.ActiveRequests())
	peers, target := c.n.peerTransport.Counts(), c.n.targetTransport.Counts()
	m.Store(dogmetric.ConnectionsToTarget, target.Open)
	c.raiseTo(dogmetric.ConnectionsOpened, peers.Opened+target.Opened)
	sent := c.n.peers.Counts()
	c.raiseTo(dogmetric.PeerMessages, sent.Calls)
	c.raiseTo(dogmetric.PeerBytes, sent.BytesSent)
	c.logChanges(l, s.Counts.Refutations)
}

// raiseTo raises a counter to n, the total that another package has counted.
// Only the control loop may raise such a counter, as the read and the addition
// are separate.
func (c *control) raiseTo(m dogmetric.Metric, n int64) {
	c.n.metrics.Add(m, n-c.n.metrics.Value(m))
}

// logChanges logs changes of the cutoff and the limit, and new refutations,
// since the last measurement.
func (c *control) logChanges(l dogwoodford.Load, refutations int64) {
	was := c.lastMeasurement
	c.lastMeasurement = measurement{limit: l.Limit, cutoff: l.Cutoff, refutations: refutations}
	switch {
	case l.Cutoff > was.cutoff:
		c.n.log(doglog.CutoffRaised, attr("from", int(was.cutoff)), attr("to", int(l.Cutoff)))
	case l.Cutoff < was.cutoff:
		c.n.log(doglog.CutoffLowered, attr("from", int(was.cutoff)), attr("to", int(l.Cutoff)))
	}
	if l.Limit != was.limit {
		c.n.log(doglog.LimitChanged, attr("from", was.limit), attr("to", l.Limit))
	}
	if refutations > was.refutations {
		c.n.log(doglog.SelfRefuted)
	}
}

// measurement holds the values of the last measurement that logChanges compares.
type measurement struct {
	limit       int
	cutoff      dogwoodford.Priority
	refutations int64
}

// nextOp returns the operation number of a promise that a peer asks for. The
// numbers are negative, as dogrange gives its own operations positive ones.
func (c *control) nextOp() int64 {
	c.lastOp--
	return c.lastOp
}
