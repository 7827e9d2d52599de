package dogsidecar

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogbudget"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogpace"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/process/doglog"
)

// silentBeats is the number of missed heartbeats after which a target that
// answers nothing counts as gone. Heartbeats may arrive seconds late.
const silentBeats = 3

// state is the control state of a node. It is safe for concurrent use, and
// implements the interfaces through which the relay sees it.
type state struct {
	settings Settings
	log      *logger
	changed  chan struct{} // Gets a value when the own entry may have changed.
	newer    chan string   // Gets the peer address of a node with a newer configuration.
	version  func() int64
	ask      func(e dogfleet.Entry) bool // Asks a node whether it lives.
	slots    func(n int)                 // Tells the gate how much the target runs at once.

	mu      sync.Mutex
	fleet   *dogfleet.Fleet
	silence *dogfleet.SilenceDetector
	alive   alive
	// watching tells that a timer runs which looks for silent nodes.
	watching bool
	target   *dogtarget.Tracker
	last     dogwoodford.State // State of the target that was logged last.
	budget   *dogbudget.Budget
	pace     *dogpace.Pace
	crashes  crashes
	stage    stage
	listed   bool // The entries in the store were read.
}

// stage is how far a node is on its way to its end. Stages follow one another.
type stage int

const (
	serving     stage = iota
	notReady          // The node says that it is not ready.
	guardClosed       // The guard takes nothing new.
	entryClosed       // The entry takes nothing new.
)

func newState(s Settings, log *logger, version func() int64) *state {
	return &state{
		settings: s, log: log, version: version,
		changed: make(chan struct{}, 1), newer: make(chan string, 1),
		fleet: dogfleet.New(), silence: dogfleet.NewSilenceDetector(), alive: make(alive),
		target: dogtarget.New(dogtarget.Options{
			Service: s.Service, Address: s.Target, Silence: silentBeats * s.Heartbeat,
		}),
		budget: dogbudget.New(budgetOptions(s)),
		pace:   dogpace.New(dogpace.Options{MinWait: configWait, Rand: newRand()}),
		crashes: crashes{
			guard: dogcrash.NewGuard(fmt.Sprint(s.Node, "/", time.Now().UnixMilli())), table: dogcrash.NewTable(),
		},
	}
}

// Beat implements Beats.
func (s *state) Beat(r dogtarget.Heartbeat) dogtarget.Effect {
	s.mu.Lock()
	before, known := s.target.LastHeartbeat()
	wasReady := s.target.State(time.Now()) == dogwoodford.Ready
	e := s.target.Observe(time.Now(), r)
	if e == dogtarget.Accepted && known && wasReady && (before.ID != r.ID || before.Born != r.Born) {
		s.targetCrashed()
	}
	s.noteTarget()
	s.mu.Unlock()
	if e == dogtarget.Accepted {
		s.slots(r.Slots)
	}
	switch e {
	case dogtarget.Foreign:
		s.log.event(doglog.HeartbeatRejected, slog.String("target", r.ID), slog.String("service", r.Service),
			slog.String("address", r.Address))
	case dogtarget.Outdated:
		s.log.event(doglog.HeartbeatOutdated, slog.String("target", r.ID), slog.Int64("born", r.Born),
			slog.Int64("sequence", r.Sequence))
	}
	return e
}

// Leave implements Beats.
func (s *state) Leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target.MarkLeft(time.Now(), id)
	s.noteTarget()
}

// Reject implements Beats.
func (s *state) Reject(err error) { s.log.event(doglog.HeartbeatRejected, doglog.Err(err)) }

// noteTarget logs a change of the target's state and wakes the writer of the
// own entry. It needs s.mu.
func (s *state) noteTarget() {
	st := s.target.State(time.Now())
	if st == s.last {
		return
	}
	r, _ := s.target.LastHeartbeat()
	s.log.event(doglog.TargetState, slog.String("target", r.ID), slog.String("before", s.last.String()),
		slog.String("state", st.String()), slog.Int64("born", r.Born), slog.Int64("sequence", r.Sequence),
		slog.Int("slots", r.Slots), slog.Int64("cold_ms", r.Cold.Milliseconds()))
	s.last = st
	s.wake()
}

func (s *state) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Current implements dogrelay.Local.
func (s *state) Current() (dogtarget.Target, dogwoodford.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage >= guardClosed {
		return dogtarget.Target{}, dogwoodford.ReasonDraining
	}
	t, ok := s.target.Current(time.Now())
	s.noteTarget()
	switch {
	case ok:
		return t, dogwoodford.ReasonNone
	case s.last == dogwoodford.Draining || s.last == dogwoodford.Left:
		return t, dogwoodford.ReasonDraining
	}
	return t, dogwoodford.ReasonNoTarget
}

// Answered implements dogrelay.Local.
func (s *state) Answered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target.RecordAnswer(time.Now(), id)
}

// Lost implements dogrelay.Local.
func (s *state) Lost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasReady := s.target.State(time.Now()) == dogwoodford.Ready
	s.target.MarkFailed(id)
	if wasReady && s.target.State(time.Now()) == dogwoodford.Failed {
		s.targetCrashed()
	}
	s.noteTarget()
}

// Targets implements dogrelay.Fleet.
func (s *state) Targets() []dogwoodford.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Targets(time.Now())
}

// Nodes implements dogrelay.Fleet.
func (s *state) Nodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Len()
}

// Unreachable implements dogrelay.Fleet.
func (s *state) Unreachable(node string, dark bool) {
	s.mu.Lock()
	first := s.fleet.MarkUnreachable(time.Now(), node, dark)
	if dark {
		s.alive.end(node)
	}
	s.mu.Unlock()
	if first {
		s.log.event(doglog.PeerUnreachable, slog.String("peer", node), slog.Bool("dark", dark))
	}
}

// isolated reports whether the node is probably cut off from the others.
func (s *state) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Isolated(time.Now())
}

// Reachable implements dogrelay.Fleet.
func (s *state) Reachable(node string) {
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
	case s.newer <- peer:
	default:
	}
}

// configWait returns how long the next watch of the configuration waits.
func (s *state) configWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.Wait(time.Now(), s.fleet.Len())
}

// First implements dogrelay.Budget.
func (s *state) First(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirst(time.Now(), service)
}

// Repeat implements dogrelay.Budget.
func (s *state) Repeat(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordInducedRetry(time.Now(), service)
}

// Allow implements dogrelay.Budget.
func (s *state) Allow(service string, root bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(time.Now(), service, s.fleet.Len(), root)
}

// entry returns what the node says of itself in the store.
func (s *state) entry() dogfleet.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := dogfleet.Entry{
		Node: s.settings.Node, Service: s.settings.Service, DataCentre: s.settings.DataCentre,
		Peer: s.settings.Advertised, State: s.target.State(time.Now()),
	}
	if r, ok := s.target.LastHeartbeat(); ok {
		e.Slots, e.Cold = r.Slots, s.cold(r)
	}
	e.Crashes = slices.Clone(s.crashes.own)
	if s.stage >= guardClosed {
		e.State = dogwoodford.Draining
	}
	return e
}

// cold reports what the entry says of a ready target: whether it was still slow
// after its start when the entry was written. It does not follow the target
// afterwards, as each change of the entry is a write. It needs s.mu.
func (s *state) cold(r dogtarget.Heartbeat) bool {
	have, _, known := s.fleet.Entry(s.settings.Node)
	if known && have.State == dogwoodford.Ready && have.Slots == r.Slots {
		return have.Cold
	}
	return r.Cold > 0
}

// advance takes the node to a stage, unless it is past it.
func (s *state) advance(to stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to > s.stage {
		s.stage = to
		s.wake()
	}
}

func (s *state) reached(st stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage >= st
}

// Leaving implements dogrelay.Local.
func (s *state) Leaving() bool { return s.reached(entryClosed) }

func (s *state) setListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
	s.wake()
}

func (s *state) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// refresh notices that the target has gone silent.
func (s *state) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteTarget()
}
