package dogsidecar

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogbudget"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogdeparture"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogpace"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/process/doglog"
)

// maxMissedHeartbeats is the number of missed heartbeats after which a target
// that answers no request counts as failed. Heartbeats may arrive seconds late.
const maxMissedHeartbeats = 3

// maxWaitingReports bounds the crash reports that wait to be sent to other nodes.
const maxWaitingReports = 16

// state is the control state of a node. It implements HeartbeatReceiver and the
// interfaces Fleet, Local, Budget and Crashes of dogrelay, and is safe for
// concurrent use.
type state struct {
	settings     Settings
	log          *logger
	written      chan versionedEntry    // Receives the node's own entry to send to the others.
	firstListed  chan struct{}          // Closed when the entries were listed for the first time.
	keptChanged  chan struct{}          // Closed when the store or another node may keep the last departure.
	entryChanged chan struct{}          // Receives a value when the node's own entry may have changed.
	newerConfigs chan string            // Receives the peer address of a node with a newer configuration.
	reports      chan []dogcrash.Report // Receives crash reports of this node to send to the others.
	version      func() int64
	probeAlive   func(e dogfleet.Entry) bool // Reports whether a node answers.
	setSlots     func(n int)                 // Sets the number of requests that the target runs concurrently.
	// copyDeparture sends a departure to the other nodes, and reports those that keep it
	// to departureCopied.
	copyDeparture func(d dogtarget.Departure)

	ramps *rampMonitor // Nil if the limit has no ramps.

	mu            sync.Mutex
	fleet         *dogfleet.Fleet
	silence       *dogfleet.SilenceDetector
	aliveContexts aliveContexts
	// silenceTimerRunning tells whether the timer of probeSilentNodes is
	// running.
	silenceTimerRunning bool
	target              *dogtarget.Tracker
	departures          *dogdeparture.Ledger
	loggedState         dogwoodford.State // Last logged state of the target.
	budget              *dogbudget.Budget
	pace                *dogpace.Pace
	crashes             crashes
	stop                stopState
	listed              bool // The entries were listed from the store.
	// listAttempts is the number of times that the entries were asked for until they were
	// listed for the first time.
	listAttempts int
	assured      bool // The departures that this node has acknowledged are known to it.
	startedAt    time.Time
	// waitingAlone is the result of aloneInService at the heartbeat that waits for its
	// confirmation. The entries that are listed after it may be from before a loss of power.
	waitingAlone bool
}

func newState(s Settings, log *logger, version func() int64) *state {
	return &state{
		settings: s, log: log, version: version, keptChanged: make(chan struct{}), firstListed: make(chan struct{}), written: make(chan versionedEntry, 1),
		entryChanged: make(chan struct{}, 1), newerConfigs: make(chan string, 1),
		reports: make(chan []dogcrash.Report, maxWaitingReports),
		fleet:   dogfleet.New(), silence: dogfleet.NewSilenceDetector(), aliveContexts: make(aliveContexts),
		target: dogtarget.New(dogtarget.Options{
			Service: s.Service, Address: s.Target, Silence: maxMissedHeartbeats * s.Heartbeat, Confirmation: s.Heartbeat / 2,
		}),
		departures: dogdeparture.New(),
		startedAt:  time.Now(),
		budget:     dogbudget.New(budgetOptions(s)),
		pace:       dogpace.New(dogpace.Options{MinWait: configWait, Rand: newRand()}),
		crashes: crashes{
			detector: dogcrash.NewDetector(s.Node, strconv.FormatInt(time.Now().UnixMilli(), 10)),
		},
	}
}

// ReceiveHeartbeat implements HeartbeatReceiver.
func (s *state) ReceiveHeartbeat(ctx context.Context, h dogtarget.Heartbeat) (dogtarget.Effect, error) {
	s.mu.Lock()
	before, _ := s.target.LastHeartbeat()
	stateBefore := s.target.State(time.Now())
	known := stateBefore != dogwoodford.StateStarting
	wasReady := stateBefore == dogwoodford.StateReady
	wasRunning := s.target.Running()
	s.target.RequireConfirmation(s.unsure())
	e := s.target.Observe(time.Now(), h)
	if e == dogtarget.Accepted && known && wasRunning && (before.ID != h.ID || before.Born != h.Born) {
		s.targetCrashed()
	}
	s.updateTargetState()
	departed := s.target.HasDeparted(h.ID, h.Born)
	if e == dogtarget.Accepted && s.target.State(time.Now()) == dogwoodford.StateStarting {
		s.waitingAlone = s.aloneInService(time.Now())
	}
	start, started := dogwoodford.Start{}, false
	if e == dogtarget.Accepted {
		start, started = s.startOf(before, h, known, wasReady)
	}
	s.mu.Unlock()
	if e == dogtarget.Accepted {
		s.setSlots(h.Slots)
		if started {
			s.ramps.start(h.ID, start)
		}
	}
	switch e {
	case dogtarget.Foreign:
		s.log.event(doglog.HeartbeatRejected, slog.String("target", h.ID), slog.String("service", h.Service),
			slog.String("address", h.Address))
	case dogtarget.Outdated:
		s.log.event(doglog.HeartbeatOutdated, slog.String("target", h.ID), slog.Int64("born", h.Born),
			slog.Int64("sequence", h.Sequence))
	}
	if !h.Draining || e == dogtarget.Foreign {
		return e, nil
	}
	if !departed {
		return e, fmt.Errorf("drain of %s: %w", h.ID, errDepartureUnknown)
	}
	return e, s.keepDeparture(ctx)
}

// Leave implements HeartbeatReceiver.
func (s *state) Leave(ctx context.Context, id string) error {
	s.mu.Lock()
	s.target.MarkLeft(time.Now(), id)
	s.updateTargetState()
	s.wakeAnnouncer()
	s.mu.Unlock()
	return s.keepDeparture(ctx)
}

// Reject implements HeartbeatReceiver.
func (s *state) Reject(err error) { s.log.event(doglog.HeartbeatRejected, doglog.Err(err)) }

// updateTargetState checks whether the target's state has changed, and if so
// logs the change and wakes the announcer. The caller must hold s.mu.
func (s *state) updateTargetState() {
	st := s.target.State(time.Now())
	if st == s.loggedState {
		return
	}
	h, _ := s.target.LastHeartbeat()
	s.log.event(doglog.TargetState, slog.String("target", h.ID), slog.String("before", s.loggedState.String()),
		slog.String("state", st.String()), slog.Int64("born", h.Born), slog.Int64("sequence", h.Sequence),
		slog.Int("slots", h.Slots), slog.Int64("cold_ms", h.Cold.Milliseconds()))
	s.loggedState = st
	s.wakeAnnouncer()
}

// wakeAnnouncer makes the announcer check the node's own entry. It does not
// block.
func (s *state) wakeAnnouncer() {
	select {
	case s.entryChanged <- struct{}{}:
	default:
	}
}

// Current implements dogrelay.Local.
func (s *state) Current() (dogtarget.Target, dogwoodford.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop.guardClosed(time.Now()) {
		return dogtarget.Target{}, dogwoodford.ReasonDraining
	}
	t, ok := s.target.Current(time.Now())
	s.updateTargetState()
	switch {
	case ok:
		return t, dogwoodford.ReasonNone
	case s.loggedState == dogwoodford.StateDraining || s.loggedState == dogwoodford.StateLeft:
		return t, dogwoodford.ReasonDraining
	}
	return t, dogwoodford.ReasonNoTarget
}

// RecordAnswer implements dogrelay.Local.
func (s *state) RecordAnswer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target.RecordAnswer(time.Now(), id)
}

// MarkFailed implements dogrelay.Local.
func (s *state) MarkFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasRunning := s.target.Running()
	s.target.MarkFailed(id)
	if wasRunning && !s.target.Running() {
		s.targetCrashed()
	}
	s.updateTargetState()
}

// MarkLeaving implements dogrelay.Local.
func (s *state) MarkLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target.MarkDraining(id)
	s.updateTargetState()
}

// Targets implements dogrelay.Fleet.
func (s *state) Targets() []dogwoodford.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Targets(time.Now())
}

// NodeCount implements dogrelay.Fleet.
func (s *state) NodeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Len()
}

// MarkUnreachable implements dogrelay.Fleet.
func (s *state) MarkUnreachable(node string, silent bool) {
	s.mu.Lock()
	first := s.fleet.MarkUnreachable(time.Now(), node, silent)
	if silent {
		s.aliveContexts.cancel(node)
	}
	s.mu.Unlock()
	if first {
		s.log.event(doglog.PeerUnreachable, slog.String("peer", node), slog.Bool("dark", silent))
	}
}

// isolated reports whether the node is probably partitioned from the others.
func (s *state) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Isolated(time.Now())
}

// MarkReachable implements dogrelay.Fleet.
func (s *state) MarkReachable(node string) {
	s.mu.Lock()
	again := s.fleet.MarkReachable(node)
	s.mu.Unlock()
	if again {
		s.log.event(doglog.PeerReachable, slog.String("peer", node))
	}
}

// ConfigSeen implements dogrelay.Fleet.
func (s *state) ConfigSeen(version int64, peer string) {
	s.mu.Lock()
	s.pace.RecordMessage()
	s.mu.Unlock()
	if version <= s.version() {
		return
	}
	select {
	case s.newerConfigs <- peer:
	default:
	}
}

// configWait returns how long the next watch call for the configuration waits
// for a change.
func (s *state) configWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.Wait(time.Now(), s.fleet.Len())
}

// RecordFirst implements dogrelay.Budget.
func (s *state) RecordFirst(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirst(time.Now(), service)
}

// RecordInducedRetry implements dogrelay.Budget.
func (s *state) RecordInducedRetry(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordInducedRetry(time.Now(), service)
}

// Allow implements dogrelay.Budget.
func (s *state) Allow(r dogbudget.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(time.Now(), r, s.fleet.Len())
}

// entry returns the entry that the store should hold for this node.
func (s *state) entry() dogfleet.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := dogfleet.Entry{
		Node: s.settings.Node, Service: s.settings.Service, DataCentre: s.settings.DataCentre,
		Peer: s.settings.Advertised, State: s.target.State(time.Now()),
	}
	if h, ok := s.target.LastHeartbeat(); ok {
		e.Slots, e.Cold = h.Slots, s.cold(h)
	}
	departed, unstored := s.lastDeparture()
	e.Departed = departed
	if have, _, known := s.fleet.Entry(s.settings.Node); unstored && e.State == dogwoodford.StateStarting {
		// No heartbeat was accepted since the start, but the target is known to depart.
		e.State = dogwoodford.StateDraining
		if known {
			e.Slots, e.Cold = have.Slots, have.Cold
		}
	}
	e.Crashes = slices.Clone(s.crashes.ownReports)
	if s.stop.guardClosed(time.Now()) {
		e.State = dogwoodford.StateDraining
	}
	return e
}

// cold returns the Cold field of the entry of a ready target: whether the
// target was still slow after its start when the entry was written. It is not
// updated afterwards, because each change of the entry costs a write. The
// caller must hold s.mu.
func (s *state) cold(h dogtarget.Heartbeat) bool {
	have, _, known := s.fleet.Entry(s.settings.Node)
	if known && have.State == dogwoodford.StateReady && have.Slots == h.Slots {
		return have.Cold
	}
	return h.Cold > 0
}

func (s *state) setListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		s.listed = true
		close(s.firstListed)
	}
	s.wakeAnnouncer()
}

func (s *state) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// refresh updates what changes without an event: the state of the target when
// heartbeats are missed, and contents that are suspected together with others.
func (s *state) refresh() {
	s.ramps.check()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateTargetState()
	s.settleSuspects()
}
