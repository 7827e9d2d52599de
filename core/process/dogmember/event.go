package dogmember

import (
	"time"

	"dogwoodford"
)

// Event is one of the event types of this file.
type Event interface{ isEvent() }

type (
	// Tick advances the time. The driver sends one every 100 ms.
	Tick struct{}
	// ProbeArrived is a Probe call from a peer. One of the actions is a Reply.
	ProbeArrived struct {
		From    string
		Message Message
	}
	// ProbeAnswered is the answer to the Probe action with this ID.
	ProbeAnswered struct {
		ID      uint64
		Message Message
	}
	// ProbeFailed reports that the Probe action with this ID got no answer within
	// its timeout.
	ProbeFailed struct{ ID uint64 }
	// ProbeViaAnswered is the result of the ProbeVia action with this ID; Alive
	// is false if the call itself failed.
	ProbeViaAnswered struct {
		ID    uint64
		Alive bool
	}
	// NotifyArrived is a Notify call from a peer.
	NotifyArrived struct {
		From    string
		Message Message
	}
	// PullArrived is a Pull call from a peer. One of the actions is a
	// PullReply. Parts is empty if the peer asks for the whole state.
	PullArrived struct {
		From  string
		Self  *Member // Record of the caller, if it sent one.
		Parts []uint32
	}
	// PullAnswered is the answer to a Pull action.
	PullAnswered struct {
		Peer    string
		Updates []Update
	}
	// PullFailed reports that a Pull action got no answer.
	PullFailed struct{ Peer string }
	// SelfChanged reports the state of this node and the slots of its target.
	SelfChanged struct {
		State dogwoodford.State
		Slots int
	}
	// Publish disseminates an update of another package. Urgent updates are also
	// sent to some peers at the next tick, ahead of the next probe.
	Publish struct {
		Update Update
		Urgent bool
	}
	// ContractsChanged sets the hash that is compared with those of peers. It
	// covers the contract generations in force and other state of the driver.
	ContractsChanged struct{ Hash uint64 }
	// DrainMarkRead is a drain mark read from the platform's object drain/<node>.
	DrainMarkRead struct {
		Node string
		Mark DrainMark
	}
	// SeedsRead is the result of a ReadSeeds action: the objects under
	// "members/", or an error.
	SeedsRead struct {
		Prefix  string // Prefix of the action.
		Objects []dogwoodford.Object
		Err     error
	}
	// SeedsWritten is the result of a WriteSeeds action.
	SeedsWritten struct {
		Version int64
		Err     error
	}
)

func (Tick) isEvent()             {}
func (ProbeArrived) isEvent()     {}
func (ProbeAnswered) isEvent()    {}
func (ProbeFailed) isEvent()      {}
func (ProbeViaAnswered) isEvent() {}
func (NotifyArrived) isEvent()    {}
func (PullArrived) isEvent()      {}
func (PullAnswered) isEvent()     {}
func (PullFailed) isEvent()       {}
func (SelfChanged) isEvent()      {}
func (Publish) isEvent()          {}
func (ContractsChanged) isEvent() {}
func (DrainMarkRead) isEvent()    {}
func (SeedsRead) isEvent()        {}
func (SeedsWritten) isEvent()     {}

// Action is one of the action types of this file.
type Action interface{ isAction() }

type (
	// Probe sends Message to Peer and waits for the answer for Timeout.
	Probe struct {
		ID      uint64
		Node    string // Empty if Peer is a seed of unknown name.
		Peer    string
		Message Message
		Timeout time.Duration
	}
	// ProbeVia asks the node at Via to probe Peer.
	ProbeVia struct {
		ID      uint64
		Via     string
		Peer    string
		Timeout time.Duration
	}
	// Notify sends Message to Peer; no result is reported.
	Notify struct {
		Peer    string
		Message Message
	}
	// Reply answers the ProbeArrived that caused it.
	Reply struct{ Message Message }
	// PullReply answers the PullArrived that caused it. All is set if the peer
	// asked for the whole state; the driver then adds the updates of the other
	// packages.
	PullReply struct {
		Updates []Update
		All     bool
	}
	// Pull asks Peer for the members in the parts whose partial hashes differ
	// from Parts, or for the whole state if Parts is empty.
	Pull struct {
		Peer  string
		Self  Member
		Parts []uint32
	}
	// Deliver passes a received update of another package to the driver, with
	// the node that sent it.
	Deliver struct {
		From   string // Name of the node; the peer address for a pull.
		Update Update
	}
	// ContractsDiffer reports that a peer sent a hash other than that of
	// ContractsChanged.
	ContractsDiffer struct {
		Node, Peer string
		Hash       uint64 // Sent by the peer.
	}
	// Changed reports that the results of Targets and Members have changed.
	Changed struct{}
	// MemberFailed reports that this node has declared a member failed.
	MemberFailed struct{ Member Member }
	// BeginDrain reports that this node is to drain because of a drain mark of
	// the platform.
	BeginDrain struct{}
	// ReadSeeds asks for the objects under Prefix: "members/", or the name of
	// the object of this node's data centre.
	ReadSeeds struct{ Prefix string }
	// WriteSeeds writes the object of this node's data centre.
	WriteSeeds struct {
		Name     string
		Expected int64
		Value    []byte
	}
	// KeeperChanged reports whether this node is one of the two keepers of its
	// data centre. These maintain its members object and watch the platform.
	KeeperChanged struct{ Keeper bool }
)

func (Probe) isAction()           {}
func (ProbeVia) isAction()        {}
func (Notify) isAction()          {}
func (Reply) isAction()           {}
func (PullReply) isAction()       {}
func (Pull) isAction()            {}
func (Deliver) isAction()         {}
func (ContractsDiffer) isAction() {}
func (Changed) isAction()         {}
func (MemberFailed) isAction()    {}
func (BeginDrain) isAction()      {}
func (ReadSeeds) isAction()       {}
func (WriteSeeds) isAction()      {}
func (KeeperChanged) isAction()   {}
