package dogrange

import "dogwoodford"

// Event is one input of [Ranges.OnEvent].
type Event interface{ event() }

// Action is one output of [Ranges.OnEvent]; the shell carries the actions of
// one call out in order.
type Action interface{ action() }

// Member is a node as membership sees it.
type Member struct {
	Node        string
	Incarnation uint64 // Of the process start; refutations must not change it.
	Service     string
	DataCentre  string
	Peer        string // IP address and port of the peer listener.
	State       dogwoodford.State
}

// Tick lets time pass; the shell sends one every 250 ms.
type Tick struct{}

// Members replaces the view of all nodes of all services, this node included.
type Members struct{ Members []Member }

// Read is the result of a ReadObject. Err is nil, or wraps
// dogwoodford.ErrNotFound or dogwoodford.ErrUnavailable.
type Read struct {
	Op     int64
	Object dogwoodford.Object
	Err    error
}

// Written is the result of a WriteObject. Err is nil, or wraps
// dogwoodford.ErrConflict (certainly not written) or anything else (in doubt).
type Written struct {
	Op      int64
	Version int64
	Err     error
}

// Seen is an object under Prefix from a watch. It may be older than what this
// node knows.
type Seen struct{ Object dogwoodford.Object }

// Heard is the ownership of a range of any service, from gossip.
type Heard struct {
	Service string
	Number  int
	Value   Value
}

// Promise is the content of a promise: the witness does not take over the
// epoch with a start below End.
type Promise struct {
	Service            string
	Number             int
	Epoch              int64
	Owner              string
	Witness            string
	WitnessIncarnation uint64
	End                int64 // Milliseconds since the Unix epoch; bounds issue times.
}

// PromiseAsked is a request to this node as witness. It is answered by one
// AnswerPromise with the same Op, which the shell chooses.
type PromiseAsked struct {
	Op      int64
	Promise Promise
}

// PromiseAnswered is the result of an AskPromise; Granted is false when the
// answer was lost.
type PromiseAnswered struct {
	Op      int64
	Granted bool
}

// Capped is the result of a CapWindow: from now on dogrecord refuses keys of
// the epoch issued at or after End.
type Capped struct {
	Number int
	Epoch  int64
	End    int64
}

// RecordsSent is the result of a SendRecords.
type RecordsSent struct {
	Op int64
	OK bool
}

// RecordsReceived tells that a complete export was imported into dogrecord.
// Start and End are as sent; Incarnation is the one that the sender addressed.
type RecordsReceived struct {
	Number      int
	Epoch       int64 // Epoch of the sender.
	Start, End  int64
	Incarnation uint64
}

// Drain starts the handover of all ranges of this node.
type Drain struct{}

// HandOver starts a planned handover of one range to the node that Choose
// prefers among the others. It is ignored if this node does not own the range.
type HandOver struct{ Number int }

func (Tick) event()            {}
func (Members) event()         {}
func (Read) event()            {}
func (Written) event()         {}
func (Seen) event()            {}
func (Heard) event()           {}
func (PromiseAsked) event()    {}
func (PromiseAnswered) event() {}
func (Capped) event()          {}
func (RecordsSent) event()     {}
func (RecordsReceived) event() {}
func (Drain) event()           {}
func (HandOver) event()        {}

// ReadObject asks for a linearizable read.
type ReadObject struct {
	Op   int64
	Name string
}

// WriteObject asks for a conditional update.
type WriteObject struct {
	Op       int64
	Name     string
	Expected int64 // Version; 0 means that the object must not exist.
	Value    []byte
}

// AskPromise asks the witness, at Peer if that is known.
type AskPromise struct {
	Op      int64
	Peer    string
	Promise Promise
}

// AnswerPromise answers a PromiseAsked.
type AnswerPromise struct {
	Op      int64
	Granted bool
	Refusal string
}

// CapWindow asks dogrecord to refuse keys of the epoch issued at or after At,
// or after the newest key begun, whichever is later.
type CapWindow struct {
	Number int
	Epoch  int64
	At     int64
}

// LiftCap undoes CapWindow after a handover that certainly did not happen.
type LiftCap struct {
	Number int
	Epoch  int64
}

// SendRecords waits until no key issued before End is in progress (bounded by
// the longest deadline of the contracts), closes the epoch in dogrecord,
// exports the records of keys issued in [Start, End) and sends them. Keys that
// arrive between the close and the import are refused with ReasonRange.
type SendRecords struct {
	Op          int64
	Number      int
	Epoch       int64
	Start, End  int64
	To          string
	Peer        string
	Incarnation uint64
}

// Publish replaces the table that traffic goroutines load.
type Publish struct{ Table *Table }

// Gossip spreads a new epoch or witness of the own service. First names the
// new owner, which is told directly as well.
type Gossip struct {
	First string
	Heard Heard
}

// Report names a condition for the log: "malformed", "restored", "lost".
type Report struct {
	Kind   string
	Number int
	Epoch  int64
}

func (ReadObject) action()    {}
func (WriteObject) action()   {}
func (AskPromise) action()    {}
func (AnswerPromise) action() {}
func (CapWindow) action()     {}
func (LiftCap) action()       {}
func (SendRecords) action()   {}
func (Publish) action()       {}
func (Gossip) action()        {}
func (Report) action()        {}
