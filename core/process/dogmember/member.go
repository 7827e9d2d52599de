package dogmember

import (
	"time"

	"dogwoodford"
)

// Member is the record of one node. Updates carry it by value.
type Member struct {
	Node        string
	Incarnation uint64 // Milliseconds since the Unix epoch at process start, raised by one at each change.
	// Started is the incarnation at the process start. It tells processes of one
	// node apart, as a refutation does not change it.
	Started    uint64
	Service    string
	DataCentre string
	Peer       string // IP address and port of the peer listener.
	Admin      string // IP address and port of the admin listener, for operators; empty if not told.
	State      dogwoodford.State
	Slots      int
	Suspected  bool
}

// Present reports whether the record holds the node for running.
func (m Member) Present() bool {
	return m.State != dogwoodford.Failed && m.State != dogwoodford.Left
}

// Update is one piece of state that spreads through all nodes.
type Update struct {
	// Key names what the update is about. A newer update with the same key
	// replaces an older one that still waits to be sent.
	Key string
	// Value is a Member or a value type of another decision package, which
	// this package does not interpret.
	Value any
}

// MemberUpdate returns the update that carries m.
func MemberUpdate(m Member) Update { return Update{Key: "member/" + m.Node, Value: m} }

// Message is what nodes exchange in probes, their answers and notifications.
type Message struct {
	Updates   []Update
	Summary   uint64 // Hash of all member records; 0 means not told.
	Contracts uint64 // Hash of the contract generations in force; 0 means not told.
}

// MaxParts is the largest number of partial hashes in a Pull.
const MaxParts = 1024

// Seed is a member named in the platform's members/<data-centre> object.
type Seed struct {
	Node string `json:"node"`
	Peer string `json:"peer"`
}

// DrainMark is the value of the platform's object drain/<node>. It applies to
// processes that started at or before AtMillis, so that a mark that is still
// there when the node has been replaced does not drain the new process. Zero
// withdraws the mark; a node that drains already goes on to leave.
type DrainMark struct {
	AtMillis int64 `json:"at_ms"`
}

// Counts are totals since the start, for metrics.
type Counts struct {
	Probes      int64 // Direct probes begun.
	Misses      int64 // Direct probes without an answer.
	Suspicions  int64 // Members that this node suspected by its own probes.
	Failures    int64 // Members that this node came to hold for failed.
	Refutations int64 // Times that this node raised its incarnation to refute.
	Pulls       int64 // Pulls begun.
	Dropped     int64 // Updates dropped from a full queue.
	Rejected    int64 // Member records rejected as invalid.
}

// Status describes the membership for the admin listener.
type Status struct {
	Self    Member
	Alive   int // Members present, this node included.
	Suspect int
	Failed  int
	Queued  int // Updates that wait to be sent.
	Joined  bool
	Keeper  bool
	Counts  Counts
}

// memberTTL is how long ended members stay in Targets: section 5.4 places new
// content among the targets present in the last 30 s.
const memberTTL = 30 * time.Second
