package dogrange

import "dogwoodford"

// Event is one input of [Ranges.OnEvent].
type Event interface{ event() }

// Action is one output of [Ranges.OnEvent]. The shell carries out the actions of
// one call in order.
type Action interface{ action() }

// Member is a node as seen by the membership.
type Member struct {
	Node        string
	Incarnation uint64 // Chosen at the process start; a refuted suspicion must not change it.
	Service     string
	DataCentre  string
	Peer        string // IP address and port of the peer listener.
	State       dogwoodford.State
}

// Tick advances the time; the shell sends one every 250 ms.
type Tick struct{}

// Members replaces the list of all nodes of all services, including this node.
type Members struct{ Members []Member }

// ObjectRead is the result of a ReadObject. Err is nil, or wraps
// dogwoodford.ErrNotFound or dogwoodford.ErrUnavailable.
type ObjectRead struct {
	Op     int64
	Object dogwoodford.Object
	Err    error
}

// ObjectWritten is the result of a WriteObject. Err is nil, or wraps
// dogwoodford.ErrConflict (certainly not written) or any other error (in doubt).
type ObjectWritten struct {
	Op      int64
	Version int64
	Err     error
}

// ObjectSeen is an object under Prefix from a watch. It may be older than what this
// node knows.
type ObjectSeen struct{ Object dogwoodford.Object }

// OwnershipUpdate is the ownership of a range of any service, received by gossip.
type OwnershipUpdate struct {
	Service string
	Number  int
	Value   Value
}

// Promise is the content of a promise by a witness: if it takes over the range
// that Owner holds in Epoch, its window does not start below End.
type Promise struct {
	Service            string
	Number             int
	Epoch              int64
	Owner              string
	Witness            string
	WitnessIncarnation uint64
	End                int64 // Milliseconds since the Unix epoch; bounds issue times.
}

// PromiseAsked is a request for a promise by this node as witness. It is answered
// by exactly one AnswerPromise with the same Op, which the shell chooses.
type PromiseAsked struct {
	Op      int64
	Promise Promise
}

// PromiseAnswered is the result of an AskPromise. Granted is false if the witness
// refused or its answer was lost.
type PromiseAnswered struct {
	Op      int64
	Granted bool
}

// WindowCapped is the result of a CapWindow: from now on dogrecord refuses keys of
// the epoch issued at or after End.
type WindowCapped struct {
	Number int
	Epoch  int64
	End    int64
}

// RecordsSent is the result of a SendRecords.
type RecordsSent struct {
	Op int64
	OK bool
}

// RecordsReceived reports that a complete export was imported into dogrecord.
// Start and End are as sent; Incarnation is the incarnation that the sender
// addressed.
type RecordsReceived struct {
	Number      int
	Epoch       int64 // Epoch of the sender.
	Start, End  int64
	Incarnation uint64
}

// Drain starts the handover of all ranges of this node.
type Drain struct{}

// HandOver starts a planned handover of one range to the node that rendezvous
// hashing prefers among the other nodes. It is ignored if this node does not own
// the range.
type HandOver struct{ Number int }

func (Tick) event()            {}
func (Members) event()         {}
func (ObjectRead) event()      {}
func (ObjectWritten) event()   {}
func (ObjectSeen) event()      {}
func (OwnershipUpdate) event() {}
func (PromiseAsked) event()    {}
func (PromiseAnswered) event() {}
func (WindowCapped) event()    {}
func (RecordsSent) event()     {}
func (RecordsReceived) event() {}
func (Drain) event()           {}
func (HandOver) event()        {}

// ReadObject requests a linearizable read of an object.
type ReadObject struct {
	Op   int64
	Name string
}

// WriteObject requests a conditional update of an object.
type WriteObject struct {
	Op       int64
	Name     string
	Expected int64 // Version; 0 means that the object must not exist.
	Value    []byte
}

// AskPromise asks the witness for a promise. Peer is empty if the address of the
// witness is not known.
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

// CapWindow tells dogrecord to refuse keys of the epoch issued at or after At, or
// after the newest key begun, whichever is later.
type CapWindow struct {
	Number int
	Epoch  int64
	At     int64
}

// LiftCap undoes CapWindow after a handover that certainly did not take effect.
type LiftCap struct {
	Number int
	Epoch  int64
}

// SendRecords waits until no key issued before End is in progress (bounded by
// the longest deadline of the contracts), closes the epoch in dogrecord,
// exports the records of keys issued in [Start, End) and sends them. Keys that
// arrive after the close and before the import are refused with ReasonRange.
type SendRecords struct {
	Op          int64
	Number      int
	Epoch       int64
	Start, End  int64
	To          string
	Peer        string
	Incarnation uint64
}

// Publish replaces the table that the goroutines serving traffic load.
type Publish struct{ Table *Table }

// Gossip spreads a new epoch or witness of a range of this node's service. DirectTo
// names the owner, to which the shell also sends the update directly.
type Gossip struct {
	DirectTo        string
	OwnershipUpdate OwnershipUpdate
}

// Report names a condition to log: Kind is "malformed" for an object that cannot
// be parsed, "restored" for one that went back to an older state or is missing, and
// "lost" for records that could not be transferred.
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
