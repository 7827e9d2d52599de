package dogsuspect

import (
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
)

// Kind says what a Report tells.
type Kind int

const (
	// Death: the digest was in progress when a target died.
	Death Kind = iota
	// Cleared: the digest completed after the deaths up to the report's time.
	Cleared
	// Released: an operator released the digest.
	Released
)

// Report is what a node tells of one digest. Updates carry it by value.
type Report struct {
	Kind    Kind
	Digest  uint64
	Service string
	At      time.Time // Time of the death; deaths up to it are cleared or released. Whole milliseconds.
	Death   string    // Names the death of one target, so that it counts once; for Death only.
	Alone   bool      // No other suspect was in progress there; for Death only.
}

// ReportUpdate returns the update that carries r.
func ReportUpdate(r Report) dogmember.Update { return dogmember.Update{} }

// Options configure Suspects. Zero values take the defaults in the comments.
type Options struct {
	Quarantine time.Duration // Length of a quarantine after the last death; 15 min.
	Retain     time.Duration // Time for which a death counts; 15 min.
	MaxDigests int           // Digests kept; 4,096.
	MaxDeaths  int           // Deaths kept per digest; 4.
}

// Standing is how a digest is to be treated.
type Standing int

const (
	// Clean digests run freely.
	Clean Standing = iota
	// Suspected digests run alone among suspects at a target.
	Suspected
	// Quarantined digests are refused.
	Quarantined
)

// Entry describes a digest that is not clean.
type Entry struct {
	Digest   uint64
	Service  string
	Standing Standing
	Deaths   int
	Last     time.Time // Time of the last death.
	Until    time.Time // End of the quarantine or of the suspicion.
}

// View is an immutable snapshot of the suspects. It is safe for concurrent use.
type View struct{ entries map[uint64]Entry }

// Lookup returns the entry of a digest; its Standing is Clean if there is none
// or it has ended.
func (v *View) Lookup(now time.Time, digest uint64) Entry { return Entry{} }

// Entries returns all entries by digest.
func (v *View) Entries() []Entry { return nil }

// Suspects holds what one node knows of suspects. It is not safe for concurrent
// use.
type Suspects struct{ opt Options }

// New returns Suspects that know of none.
func New(opt Options) *Suspects { return &Suspects{opt: opt} }

// OnEvent applies an event and returns what to do.
func (s *Suspects) OnEvent(now time.Time, ev Event) []Action { return nil }

// View returns the present suspects.
func (s *Suspects) View() *View { return &View{} }

// Reports returns all reports that still count, for a Pull of the whole state.
func (s *Suspects) Reports() []Report { return nil }

// Event is one of the event types of this file.
type Event interface{ isEvent() }

type (
	// Tick lets time pass; once a second is enough.
	Tick struct{}
	// TargetDied tells the death of the target of this node, from Gate.Died.
	TargetDied struct {
		ID       string // Unique name of the death: node, incarnation and a count.
		Service  string
		Progress []InProgress
	}
	// Heard is a report from a peer.
	Heard struct{ Report Report }
	// Completed tells that a suspect completed at the target of this node, from
	// Gate.Done.
	Completed struct{ Digest uint64 }
	// Release is the order of an operator.
	Release struct{ Digest uint64 }
)

func (Tick) isEvent()       {}
func (TargetDied) isEvent() {}
func (Heard) isEvent()      {}
func (Completed) isEvent()  {}
func (Release) isEvent()    {}

// Action is one of the action types of this file.
type Action interface{ isAction() }

type (
	// Spread publishes a report to all nodes as urgent (see ReportUpdate).
	Spread struct{ Report Report }
	// Changed tells that View returns something new.
	Changed struct{}
	// QuarantineBegun reports a quarantine to operators.
	QuarantineBegun struct{ Entry Entry }
)

func (Spread) isAction()          {}
func (Changed) isAction()         {}
func (QuarantineBegun) isAction() {}

// InProgress is a digest in progress at the death of a target.
type InProgress struct {
	Digest uint64
	Alone  bool // It was a suspect, and no other suspect was in progress.
}

// Gate decides which suspects one target runs. It is not safe for concurrent
// use; the guard holds its own lock around it.
type Gate struct{}

// NewGate returns a gate with nothing in progress.
func NewGate() *Gate { return &Gate{} }

// Start decides on the start of a request: Run, or Refuse for
// ReasonQuarantined or ReasonIsolated. A zero digest always runs. On Run the
// request is in progress until Done or Died.
func (g *Gate) Start(now time.Time, v *View, id string, digest uint64) dogwoodford.Verdict {
	return dogwoodford.RunVerdict()
}

// Done ends a request; completed tells that the target answered it. It reports
// whether a suspect completed, which is then to be told as Completed.
func (g *Gate) Done(id string, completed bool) (digest uint64, cleared bool) { return 0, false }

// Died ends all requests in progress at the death of the target and returns
// their digests.
func (g *Gate) Died(now time.Time, v *View) []InProgress { return nil }
