package dogmember

import (
	"time"

	"dogwoodford"
)

// Member is the record of one node. Updates carry it by value.
type Member struct {
	Node        string
	Incarnation uint64 // Milliseconds since the Unix epoch at process start, raised by one at each change.
	// Started is the incarnation at process start. It distinguishes successive
	// processes of a node, as a refutation does not change it.
	Started    uint64
	Service    string
	DataCentre string
	Peer       string // IP address and port of the peer listener.
	Admin      string // IP address and port of the admin listener, for operators; empty if unknown.
	State      dogwoodford.State
	Slots      int
	Suspected  bool
}

// Present reports whether the record describes a running node: one that has
// neither failed nor left.
func (m Member) Present() bool {
	return m.State != dogwoodford.StateFailed && m.State != dogwoodford.StateLeft
}

// Update is one piece of state that is disseminated to all nodes.
type Update struct {
	// Key names the subject of the update. A newer update with the same key
	// replaces an older one that is still queued.
	Key string
	// Value is a Member or a value type of another decision package, which
	// this package does not interpret.
	Value any
}

// MemberUpdate returns the update that carries m.
func MemberUpdate(m Member) Update { return Update{Key: "member/" + m.Node, Value: m} }

// Message is the payload of probes, their answers and notifications.
type Message struct {
	Updates       []Update
	Summary       uint64 // Hash of all member records; 0 if absent.
	ContractsHash uint64 // Hash of the contract generations in force; 0 if absent.
}

// MaxParts is the largest number of partial hashes in a Pull.
const MaxParts = 1024

// Seed is a member named in the platform's members/<data-centre> object.
type Seed struct {
	Node string `json:"node"`
	Peer string `json:"peer"`
}

// DrainMark is the value of the platform's object drain/<node>. It applies to
// processes that started at or before AtMillis, in milliseconds since the Unix
// epoch, so that a mark left in place after the node has been replaced does not
// drain the new process. Zero withdraws the mark; a node that is already
// draining continues to drain and leaves.
type DrainMark struct {
	AtMillis int64 `json:"at_ms"`
}

// Counts are totals since the start, for metrics.
type Counts struct {
	Probes      int64 // Direct probes started.
	Misses      int64 // Direct probes without an answer.
	Suspicions  int64 // Members that this node suspected after its own probes.
	Failures    int64 // Members that this node declared failed.
	Refutations int64 // Times that this node raised its incarnation to refute.
	Pulls       int64 // Pulls started.
	Dropped     int64 // Updates that cannot be sent, and updates and drain marks beyond their bounds.
	Rejected    int64 // Member records rejected as invalid.
}

// Status describes the membership for the admin listener.
type Status struct {
	Self    Member
	Alive   int // Members present, this node included.
	Suspect int
	Failed  int
	Queued  int // Updates waiting to be sent.
	Joined  bool
	Keeper  bool
	Counts  Counts
}

// endedTTL is how long members that failed or left stay in Targets: new content
// is placed among the targets present in the last 30 s (docs/design.md, 5.4).
const endedTTL = 30 * time.Second
