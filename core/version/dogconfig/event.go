package dogconfig

import "dogwoodford"

// Event is one of the event types of this file.
type Event interface{ isEvent() }

type (
	// Tick triggers what is due by time. The driver sends one every 100 ms.
	Tick struct{}
	// WatcherChanged states whether this node is one of the watchers of its data
	// centre (see dogmember.KeeperChanged).
	WatcherChanged struct{ Watcher bool }
	// ObjectSeen is an object contract/<customer> that was read from the platform
	// or received by the watch.
	ObjectSeen struct{ Object dogwoodford.Object }
	// Listed holds all objects under "contract/". If a contract in force is not
	// among them, the platform lost it.
	Listed struct{ Objects []dogwoodford.Object }
	// GenerationHeard is a generation announced by a peer.
	GenerationHeard struct {
		Peer       string // Address of the peer to pull from.
		Generation Generation
	}
	// PeerDiffers reports that a peer has other generations in force (see
	// dogmember.ContractsDiffer).
	PeerDiffers struct{ Peer string }
	// PullAnswered is the answer to a PullTexts or PullGenerations action.
	PullAnswered struct {
		Peer        string
		Texts       []Text
		Generations []Generation
	}
	// PullFailed reports that a PullTexts or PullGenerations action got no answer.
	PullFailed struct{ Peer string }
	// WrittenBack is the result of a WriteBack action. After ErrConflict the
	// driver reads the object and sends ObjectSeen.
	WrittenBack struct {
		Customer string
		Version  int64
		Err      error
	}
)

func (Tick) isEvent()            {}
func (WatcherChanged) isEvent()  {}
func (ObjectSeen) isEvent()      {}
func (Listed) isEvent()          {}
func (GenerationHeard) isEvent() {}
func (PeerDiffers) isEvent()     {}
func (PullAnswered) isEvent()    {}
func (PullFailed) isEvent()      {}
func (WrittenBack) isEvent()     {}

// Action is one of the action types of this file.
type Action interface{ isAction() }

type (
	// InForce reports that a generation came into force. The driver publishes
	// the new Snapshot, passes the new Hash to dogmember and gossips
	// GenerationUpdate as urgent.
	InForce struct{ Generation Generation }
	// PullTexts asks a peer for the texts of customers.
	PullTexts struct {
		Peer      string
		Customers []string
	}
	// PullGenerations asks a peer for the generations that it has in force.
	PullGenerations struct{ Peer string }
	// Watch starts or stops watching the objects under "contract/" and
	// "drain/".
	Watch struct{ On bool }
	// List reads all objects under "contract/"; the result is sent as Listed.
	List struct{}
	// WriteBack writes a text to the platform if the object still has the
	// expected version, where 0 means that it does not exist.
	WriteBack struct {
		Customer string
		Expected int64
		Text     []byte
	}
	// Report informs operators of a condition that should not occur.
	Report struct {
		Kind     ReportKind
		Customer string
		Have     Generation // In force on this node.
		Got      Generation // Received.
		Source   string     // "platform" or the address of a peer.
		Err      error      // Why the text was rejected.
	}
)

func (InForce) isAction()         {}
func (PullTexts) isAction()       {}
func (PullGenerations) isAction() {}
func (Watch) isAction()           {}
func (List) isAction()            {}
func (WriteBack) isAction()       {}
func (Report) isAction()          {}

// ReportKind is the condition that a Report informs of.
type ReportKind int

const (
	// Rejected means that the text does not parse or belongs to another customer.
	// The generation in force stays.
	Rejected ReportKind = iota
	// Stale means that the platform holds a lower generation than the one in force.
	Stale
	// Missing means that the platform lost the contract.
	Missing
	// Conflict means that two texts have the same generation.
	Conflict
	// Full means that Options.MaxCustomers is reached; the contract is ignored.
	Full
)

// String returns the name of the kind in lower case, or "invalid".
func (k ReportKind) String() string {
	names := [...]string{"rejected", "stale", "missing", "conflict", "full"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}
