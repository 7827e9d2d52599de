package dogtarget

import (
	"time"

	"dogwoodford"
)

// Heartbeat is one heartbeat of a target.
type Heartbeat struct {
	ID       string
	Service  string
	Address  string
	Born     int64 // Start of the target, Unix time in milliseconds.
	Sequence int64 // Increases with each heartbeat since the start.
	Draining bool
	Slots    int
	Cold     time.Duration // Remaining time for which the target is slow after its start.
}

// Effect tells how a heartbeat was handled.
type Effect int

const (
	// Foreign heartbeats are invalid or do not belong to the target of this
	// node.
	Foreign Effect = iota
	// Outdated heartbeats are not newer than the last accepted one, or belong
	// to an incarnation that has left.
	Outdated
	// Accepted heartbeats are the newest of the target and update its state.
	Accepted
)

// String returns the name of the effect.
func (e Effect) String() string {
	names := [...]string{"foreign", "outdated", "accepted"}
	if e < 0 || int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}

// Options configure a Tracker. All fields are required.
type Options struct {
	Service string
	Address string
	// Silence is the time without a heartbeat and without an answer after which
	// a target counts as failed.
	Silence time.Duration
	// Confirmation is the shortest time between a heartbeat and a later one that confirms
	// it, see RequireConfirmation.
	Confirmation time.Duration
}

// Target describes an incarnation that may be sent requests.
type Target struct {
	ID    string
	Slots int
}

// Tracker tracks the state of the target beside a node. It is not safe for
// concurrent use.
type Tracker struct {
	opts     Options
	current  *incarnation
	leftBorn map[string]int64 // Start of the last incarnation that has left, by id.
	// leftUnseen holds the times at which targets left of which no heartbeat was
	// accepted, as after a start of the node, by id.
	leftUnseen map[string]time.Time
	// departed is the last departure, but for that of current, which Departure adds.
	departed Departure
	// needsConfirmation tells that a first heartbeat must be confirmed by a later one.
	needsConfirmation bool
}

// incarnation is one run of the target, from its start to its end.
type incarnation struct {
	heartbeat  Heartbeat
	state      dogwoodford.State // Starting while the first heartbeat is not confirmed.
	firstHeard time.Time         // First heartbeat.
	lastHeard  time.Time         // Last heartbeat or answer.
}

// maxLeft bounds the number of ids that are remembered as having left. Only the
// target beside the node sends heartbeats here, so that few ids succeed one
// another.
const maxLeft = 256

// maxHeartbeatDelay is the time for which heartbeats that were sent before the
// target left may still arrive.
const maxHeartbeatDelay = 30 * time.Second

// New returns a Tracker in the state starting.
func New(o Options) *Tracker {
	return &Tracker{opts: o, leftBorn: make(map[string]int64), leftUnseen: make(map[string]time.Time)}
}

// Observe handles a heartbeat. A target that has been draining stays draining
// until its next start, whatever later heartbeats say.
func (w *Tracker) Observe(now time.Time, r Heartbeat) Effect {
	if r.ID == "" || r.Service != w.opts.Service || r.Address != w.opts.Address || r.Slots < 1 {
		return Foreign
	}
	if born, ok := w.leftBorn[r.ID]; ok && r.Born <= born {
		return Outdated
	}
	if at, ok := w.leftUnseen[r.ID]; ok && now.Sub(at) < maxHeartbeatDelay && r.Born < at.UnixMilli() {
		return Outdated
	}
	if c := w.current; c != nil && older(r, c.heartbeat) {
		return Outdated
	}
	next := &incarnation{heartbeat: r, state: dogwoodford.StateReady, firstHeard: now, lastHeard: now}
	last := w.current
	same := last != nil && last.heartbeat.Born == r.Born && last.heartbeat.ID == r.ID
	if same {
		next.firstHeard = last.firstHeard
	}
	switch {
	case r.Draining || same && last.state == dogwoodford.StateDraining:
		next.state = dogwoodford.StateDraining
	case w.needsConfirmation && w.State(now) == dogwoodford.StateStarting && now.Sub(next.firstHeard) < w.opts.Confirmation:
		next.state = dogwoodford.StateStarting
	}
	w.current = next
	return Accepted
}

// RequireConfirmation sets whether the first heartbeat since the start of the node counts
// only once a later one of the same incarnation confirms it. A process that cannot know what
// an earlier process of its node acknowledged needs that: a heartbeat from before a departure
// can arrive late, and no other follows it. If it is no longer required, a heartbeat that
// waits for its confirmation counts.
func (w *Tracker) RequireConfirmation(v bool) {
	w.needsConfirmation = v
	if c := w.current; !v && c != nil && c.state == dogwoodford.StateStarting {
		c.state = dogwoodford.StateReady
	}
}

// older reports whether r is not newer than last, the last accepted heartbeat.
func older(r, last Heartbeat) bool {
	if r.Born != last.Born {
		return r.Born < last.Born
	}
	return r.ID == last.ID && r.Sequence <= last.Sequence
}

// MarkLeft records that the target with the given id announced that it is
// leaving for good. Later heartbeats of the same incarnation are outdated.
func (w *Tracker) MarkLeft(now time.Time, id string) {
	c := w.current
	if c == nil || c.heartbeat.ID != id {
		if len(w.leftUnseen) >= maxLeft {
			clear(w.leftUnseen)
		}
		w.leftUnseen[id] = now
		w.departed = Departure{ID: id, Born: now.UnixMilli() - 1}
		return
	}
	if len(w.leftBorn) >= maxLeft {
		clear(w.leftBorn)
	}
	w.leftBorn[id] = c.heartbeat.Born
	c.state = dogwoodford.StateLeft
}

// MarkDraining records that the target with the given id said in an answer that it is
// leaving. Like a heartbeat that says so, this is final for one start.
func (w *Tracker) MarkDraining(id string) {
	if c := w.current; c != nil && c.heartbeat.ID == id && c.state != dogwoodford.StateLeft {
		c.state = dogwoodford.StateDraining
	}
}

// Departure identifies an incarnation that has said that it takes no new requests. The
// zero value identifies none.
type Departure struct {
	ID   string `json:"id"`
	Born int64  `json:"born"` // Start of the target, Unix time in milliseconds.
}

// Departure returns the last incarnation that has said so, and keeps it for the time after
// the next start of the target.
func (w *Tracker) Departure() Departure {
	if c := w.current; c != nil && (c.state == dogwoodford.StateDraining || c.state == dogwoodford.StateLeft) {
		w.departed = Departure{ID: c.heartbeat.ID, Born: c.heartbeat.Born}
	}
	return w.departed
}

// Restore records a departure of which an earlier process of this node knew, and reports
// whether it was new. Heartbeats that the target sent before may still arrive.
func (w *Tracker) Restore(d Departure) bool {
	if d.ID == "" || w.knows(d) {
		return false
	}
	if d.Born >= w.departed.Born {
		w.departed = d
	}
	w.leftBorn[d.ID] = max(w.leftBorn[d.ID], d.Born)
	if c := w.current; c != nil && c.heartbeat.ID == d.ID && c.heartbeat.Born <= d.Born {
		c.state = dogwoodford.StateDraining
	}
	return true
}

// knows reports whether a departure is known already.
func (w *Tracker) knows(d Departure) bool {
	if have := w.Departure(); have.ID == d.ID && have.Born >= d.Born {
		return true
	}
	born, ok := w.leftBorn[d.ID]
	return ok && born >= d.Born
}

// HasDeparted reports whether an incarnation is known to take no new requests.
func (w *Tracker) HasDeparted(id string, born int64) bool {
	return w.knows(Departure{ID: id, Born: born})
}

// RecordAnswer records that the target with the given id answered a request.
func (w *Tracker) RecordAnswer(now time.Time, id string) {
	if c := w.current; c != nil && c.heartbeat.ID == id {
		c.lastHeard = now
	}
}

// MarkFailed records that the target with the given id does not accept
// connections, or that another target answers at its address. A ready target
// then counts as failed until its next heartbeat.
func (w *Tracker) MarkFailed(id string) {
	if c := w.current; c != nil && c.heartbeat.ID == id && c.state == dogwoodford.StateReady {
		c.state = dogwoodford.StateFailed
	}
}

// State returns the state of the target.
func (w *Tracker) State(now time.Time) dogwoodford.State {
	c := w.current
	switch {
	case c == nil:
		return dogwoodford.StateStarting
	case c.state == dogwoodford.StateReady && now.Sub(c.lastHeard) > w.opts.Silence:
		return dogwoodford.StateFailed
	}
	return c.state
}

// Running reports whether the target was ready when it was last heard of, and is not
// known to have ended since. A silent target counts as failed, but may still run.
func (w *Tracker) Running() bool {
	return w.current != nil && w.current.state == dogwoodford.StateReady
}

// Current returns the target if it may be sent requests.
func (w *Tracker) Current(now time.Time) (Target, bool) {
	if w.State(now) != dogwoodford.StateReady {
		return Target{}, false
	}
	return Target{ID: w.current.heartbeat.ID, Slots: w.current.heartbeat.Slots}, true
}

// LastHeartbeat returns the last accepted heartbeat; false if there was none.
func (w *Tracker) LastHeartbeat() (Heartbeat, bool) {
	if w.current == nil {
		return Heartbeat{}, false
	}
	return w.current.heartbeat, true
}
