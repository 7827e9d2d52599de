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
	// tickEvery is the interval that dogmember and dogconfig ask for.
	tickEvery = 100 * time.Millisecond
	// rangeEvery is the interval that dogrange asks for.
	rangeEvery = 250 * time.Millisecond
	// refreshEvery bounds the age of the snapshot, as the targets in it carry
	// the time at which they were last known present.
	refreshEvery = time.Second
	// slowStep is the duration of a step that is worth a log line: a loop that
	// is late lets leases lapse.
	slowStep = 100 * time.Millisecond
	// taskQueue bounds the events that wait for the control loop.
	taskQueue = 4096
)

// task is one event for the control loop.
type task func(now time.Time)

// control is the control loop and the state that it owns.
type control struct {
	n     *node
	tasks chan task
	ended chan struct{} // Closed when the node has stopped.

	member   *dogmember.Membership
	config   *dogconfig.Config[*dogcontract.Contract]
	suspects *dogsuspect.Suspects
	ranges   *dogrange.Ranges

	state     dogwoodford.State // Of this node, as told to the others.
	slots     int
	table     *dogrange.Table
	keeper    bool
	problems  map[string]time.Time
	refreshed time.Time
	stepped   time.Time // When dogrange last had a tick.
	imports   map[rangeEpoch]bool
	ops       int64
	compare   compare
	seen      measured
	known     map[string]dogmember.Member // As last logged.

	snap atomic.Pointer[snapshot]
}

func newControl(n *node, started time.Time, rnd *rand.Rand) *control {
	c := &control{
		n:        n,
		tasks:    make(chan task, taskQueue),
		ended:    make(chan struct{}),
		state:    dogwoodford.Starting,
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
	tick := time.NewTicker(tickEvery)
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

// step runs one event and watches how long it takes.
func (c *control) step(f task) {
	start := time.Now()
	f(start)
	d := time.Since(start)
	c.n.metrics.Add(dogmetric.ControlSteps, 1)
	c.n.metrics.Add(dogmetric.ControlTime, d.Microseconds())
	if d > slowStep {
		c.n.log(doglog.ControlOverran, attr("duration", d))
	}
}

// post hands an event to the control loop. It waits while the queue is full
// and gives up when the node has stopped.
func (c *control) post(f task) {
	select {
	case c.tasks <- f:
	case <-c.ended:
	}
}

// ask posts an event and waits until it has run or ctx ends. It reports
// whether it has run.
func (c *control) ask(ctx context.Context, f task) bool {
	done := make(chan struct{})
	select {
	case c.tasks <- func(now time.Time) { defer close(done); f(now) }:
	case <-ctx.Done():
		return false
	case <-c.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-c.ended:
		return false
	}
}

func (c *control) tick(now time.Time) {
	c.onMember(now, dogmember.Tick{})
	c.onConfig(now, dogconfig.Tick{})
	if now.Sub(c.stepped) >= rangeEvery {
		c.stepped = now
		c.onRanges(now, dogrange.Tick{})
		c.onSuspects(now, dogsuspect.Tick{})
	}
	if now.Sub(c.refreshed) >= refreshEvery {
		c.publish(now)
		c.measure()
	}
}

// publish replaces the snapshot that traffic goroutines load.
func (c *control) publish(now time.Time) {
	c.refreshed = now
	c.snap.Store(&snapshot{
		node:     c.n.settings.Node.Name,
		entries:  c.config.Snapshot(),
		targets:  c.member.Targets(now),
		table:    c.table,
		suspects: c.suspects.View(),
		closed:   closed(c.state),
	})
}

// setState tells the other nodes the state of this one.
func (c *control) setState(now time.Time, s dogwoodford.State, slots int) {
	if s == c.state && slots == c.slots {
		return
	}
	if s == dogwoodford.Ready && c.state != s && c.config.Hash() != 0 {
		c.n.log(doglog.NodeReady)
	}
	c.state, c.slots = s, slots
	c.onMember(now, dogmember.SelfChanged{State: s, Slots: slots})
	c.publish(now)
}

// note keeps a condition for the status page.
func (c *control) note(now time.Time, text string) {
	const most = 32
	if len(c.problems) < most {
		c.problems[text] = now
	}
}

func (c *control) measure() {
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
	m.Store(dogmetric.RangesOwned, int64(len(c.owned())))
	m.Store(dogmetric.RecordsHeld, int64(c.n.records.Stats().Records))
	l := c.n.gate.Load()
	m.Store(dogmetric.TargetInFlight, int64(l.InFlight))
	m.Store(dogmetric.TargetQueued, int64(l.Queued))
	m.Store(dogmetric.TargetLimit, int64(l.Limit))
	m.Store(dogmetric.TargetCutoff, int64(l.Cutoff))
	m.Store(dogmetric.RequestsInProgress, c.n.handlers.Present())
	peers, target := c.n.toPeers.Counts(), c.n.toTarget.Counts()
	m.Store(dogmetric.ConnectionsToTarget, target.Open)
	c.total(dogmetric.ConnectionsOpened, peers.Opened+target.Opened)
	sent := c.n.peers.Counts()
	c.total(dogmetric.PeerMessages, sent.Calls)
	c.total(dogmetric.PeerBytes, sent.BytesSent)
	c.logChanges(l, s.Counts.Refutations)
}

// total raises a counter to the total that another package has counted. Only
// the control loop raises such a counter.
func (c *control) total(m dogmetric.Metric, n int64) {
	c.n.metrics.Add(m, n-c.n.metrics.Value(m))
}

// logChanges tells of what changed since the last second.
func (c *control) logChanges(l dogwoodford.Load, refutations int64) {
	was := c.seen
	c.seen = measured{limit: l.Limit, cutoff: l.Cutoff, refutations: refutations}
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

// measured is what the last measurement found, for events on changes.
type measured struct {
	limit       int
	cutoff      dogwoodford.Priority
	refutations int64
}

// nextOp names a promise that a peer asks for. The numbers are negative, as
// dogrange names its own operations with positive ones.
func (c *control) nextOp() int64 {
	c.ops--
	return c.ops
}
