package dogtarget

import (
	"time"

	"dogwoodford"
)

// Report is one heartbeat of a target.
type Report struct {
	ID       string
	Service  string
	Address  string
	Born     int64 // Start of the target, Unix time in milliseconds.
	Sequence int64 // Rises with each heartbeat since the start.
	Draining bool
	Slots    int
	Cold     time.Duration // How much longer the target stays slow after its start.
}

// Effect is what became of a heartbeat.
type Effect int

const (
	// Foreign heartbeats belong to no target of this node.
	Foreign Effect = iota
	// Outdated heartbeats are older than what is known.
	Outdated
	// Accepted heartbeats are the newest of the target.
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

// Options are the settings of a Watch. All are required.
type Options struct {
	Service string
	Address string
	// Silence is the time without a heartbeat and without an answer after
	// which a target counts as gone.
	Silence time.Duration
}

// Target is an incarnation that may be sent requests.
type Target struct {
	ID    string
	Slots int
}

// Watch is what a node knows of the target beside it. It is not safe for
// concurrent use.
type Watch struct {
	opts    Options
	current *incarnation
	left    map[string]int64 // Start of the last incarnation of each id that has left.
	// leaving is when ids left of which no heartbeat was known, as after a
	// start of the node.
	leaving map[string]time.Time
}

type incarnation struct {
	report Report
	state  dogwoodford.State
	heard  time.Time // Last heartbeat or answer.
}

// maxLeft bounds the ids that are remembered as gone. Only the target beside
// the node reports here, so that few ids follow one another.
const maxLeft = 256

// lateFor is the time for which heartbeats may still arrive that were sent
// before the target left.
const lateFor = 30 * time.Second

// New returns a watch that knows nothing of the target.
func New(o Options) *Watch {
	return &Watch{opts: o, left: make(map[string]int64), leaving: make(map[string]time.Time)}
}

// Observe takes a heartbeat. A target that once drained stays so until its
// next start.
func (w *Watch) Observe(now time.Time, r Report) Effect {
	if r.ID == "" || r.Service != w.opts.Service || r.Address != w.opts.Address || r.Slots < 1 {
		return Foreign
	}
	if born, ok := w.left[r.ID]; ok && r.Born <= born {
		return Outdated
	}
	if at, ok := w.leaving[r.ID]; ok && now.Sub(at) < lateFor && r.Born < at.UnixMilli() {
		return Outdated
	}
	if c := w.current; c != nil && older(r, c.report) {
		return Outdated
	}
	next := &incarnation{report: r, state: dogwoodford.Ready, heard: now}
	drained := w.current != nil && w.current.report.Born == r.Born && w.current.report.ID == r.ID &&
		w.current.state == dogwoodford.Draining
	if r.Draining || drained {
		next.state = dogwoodford.Draining
	}
	w.current = next
	return Accepted
}

// older reports whether r was sent before the last accepted heartbeat.
func older(r, last Report) bool {
	if r.Born != last.Born {
		return r.Born < last.Born
	}
	return r.ID == last.ID && r.Sequence <= last.Sequence
}

// Leave takes the notice that the target with this id is leaving for good.
func (w *Watch) Leave(now time.Time, id string) {
	c := w.current
	if c == nil {
		if len(w.leaving) >= maxLeft {
			clear(w.leaving)
		}
		w.leaving[id] = now
		return
	}
	if c.report.ID != id {
		return
	}
	if len(w.left) >= maxLeft {
		clear(w.left)
	}
	w.left[id] = c.report.Born
	c.state = dogwoodford.Left
}

// Answered records that the target answered a request.
func (w *Watch) Answered(now time.Time, id string) {
	if c := w.current; c != nil && c.report.ID == id {
		c.heard = now
	}
}

// Lost records that the target with this id does not accept connections, or
// that another one answers in its place. It counts as failed until its next
// heartbeat.
func (w *Watch) Lost(id string) {
	if c := w.current; c != nil && c.report.ID == id && c.state == dogwoodford.Ready {
		c.state = dogwoodford.Failed
	}
}

// State returns the state of the target.
func (w *Watch) State(now time.Time) dogwoodford.State {
	c := w.current
	switch {
	case c == nil:
		return dogwoodford.Starting
	case c.state == dogwoodford.Ready && now.Sub(c.heard) > w.opts.Silence:
		return dogwoodford.Failed
	}
	return c.state
}

// Current returns the target if it may be sent requests.
func (w *Watch) Current(now time.Time) (Target, bool) {
	if w.State(now) != dogwoodford.Ready {
		return Target{}, false
	}
	return Target{ID: w.current.report.ID, Slots: w.current.report.Slots}, true
}

// Report returns the last accepted heartbeat; false if there was none.
func (w *Watch) Report() (Report, bool) {
	if w.current == nil {
		return Report{}, false
	}
	return w.current.report, true
}
