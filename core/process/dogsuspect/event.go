package dogsuspect

// Event is one of the event types of this file.
type Event interface{ isEvent() }

type (
	// Tick lets time pass; once a second is enough.
	Tick struct{}
	// TargetDied tells the death of the target of this node.
	TargetDied struct {
		ID      string // Unique name of the death: node, incarnation and a count.
		Service string
		Digests []uint64 // From Gate.Died.
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
