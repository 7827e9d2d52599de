package dogconfig

import "dogwoodford"

// Event is one of the event types of this file.
type Event interface{ isEvent() }

type (
	// Tick lets time pass. The driver sends one every 100 ms.
	Tick struct{}
	// WatcherChanged tells whether this node is one of the watchers of its data
	// centre (see dogmember.KeeperChanged), and how many nodes can be asked.
	WatcherChanged struct{ Watcher bool }
	// ObjectSeen is an object contract/<customer> as read or watched.
	ObjectSeen struct{ Object dogwoodford.Object }
	// Listed holds all objects under "contract/"; a customer in force that is
	// not among them was lost by the platform.
	Listed struct{ Objects []dogwoodford.Object }
	// GenerationHeard is a generation told by a peer.
	GenerationHeard struct {
		Peer       string // Peer address to pull from.
		Generation Generation
	}
	// PeerDiffers tells that a peer has other generations in force (see
	// dogmember.ContractsDiffer).
	PeerDiffers struct{ Peer string }
	// PullAnswered is the answer to a PullTexts or PullGenerations action.
	PullAnswered struct {
		Peer        string
		Texts       []Text
		Generations []Generation
	}
	// PullFailed ends a PullTexts or PullGenerations action without an answer.
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
	// InForce tells that a generation came into force. The driver publishes
	// the new Snapshot, tells dogmember the new Hash and spreads
	// GenerationUpdate as urgent.
	InForce struct{ Generation Generation }
	// PullTexts asks a peer for the texts of customers.
	PullTexts struct {
		Peer      string
		Customers []string
	}
	// PullGenerations asks a peer for the generations that it has in force.
	PullGenerations struct{ Peer string }
	// Watch starts or stops the watch on "contract/" and "drain/".
	Watch struct{ On bool }
	// List asks for all objects under "contract/", to be reported as Listed.
	List struct{}
	// WriteBack writes a text to the platform, if the object still has the
	// expected version (0: does not exist).
	WriteBack struct {
		Customer string
		Expected int64
		Text     []byte
	}
	// Report tells operators of something that should not happen.
	Report struct {
		Kind     ReportKind
		Customer string
		Have     Generation // In force at this node.
		Got      Generation // What was received.
		Source   string     // "platform" or a peer address.
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

// ReportKind says what a Report is about.
type ReportKind int

const (
	// Rejected means that the text does not parse or contradicts its name; nothing
	// changes.
	Rejected ReportKind = iota
	// Stale means that the platform holds a lower generation than the one in force.
	Stale
	// Missing means that the platform lost the contract.
	Missing
	// Conflict means that two texts have the same generation.
	Conflict
	// Full means that the bound on customers is reached; the contract is ignored.
	Full
)

// String returns the name of the kind in lower case.
func (k ReportKind) String() string {
	names := [...]string{"rejected", "stale", "missing", "conflict", "full"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}
