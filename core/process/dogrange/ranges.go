package dogrange

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	// DefaultWindow is how far ahead of now a window ends.
	DefaultWindow = 6 * time.Second
	// DefaultRenew is the mean time between renewals. A third of the window
	// leaves room for two lost renewals.
	DefaultRenew = 2 * time.Second
	// DefaultCutover is the lead of a planned handover, many times the few
	// milliseconds of a platform write and a message.
	DefaultCutover = 500 * time.Millisecond
	// DefaultAhead is how far in the future a key may be issued.
	DefaultAhead = 2 * time.Second
	// DefaultSettle is how long a better owner must stay ready before a range
	// moves to it.
	DefaultSettle = 10 * time.Second
)

// Config describes the node. Zero durations take the defaults.
type Config struct {
	Node        string
	Incarnation uint64
	Service     string
	DataCentre  string
	Peer        string // IP address and port of the peer listener.

	Window, Renew, Cutover, Ahead, Settle time.Duration
}

// Ranges decides for one node. It is not safe for concurrent use.
type Ranges struct {
	cfg Config
	rnd *rand.Rand
}

// New returns the decisions of a node that has just started. rnd is used for
// jitter only.
func New(cfg Config, rnd *rand.Rand) *Ranges { return &Ranges{cfg: cfg, rnd: rnd} }

// OnEvent takes one event and returns what to do.
func (rs *Ranges) OnEvent(now time.Time, ev Event) []Action { return nil }

// Table returns the present table.
func (rs *Ranges) Table() *Table { return &Table{} }

// Handed reports whether this node owns no range and has no handover left, so
// that a draining node may end.
func (rs *Ranges) Handed() bool { return false }
