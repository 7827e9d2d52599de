package dogsuspect

// Event is one of the event types of this file.
type Event interface{ isEvent() }

type (
	// Tick advances the time; once a second is enough.
	Tick struct{}
	// TargetDied reports the death of this node's target.
	TargetDied struct {
		ID      string // Unique name of the death: node, incarnation and a sequence number.
		Service string
		Digests []uint64 // From Gate.RecordDeath.
	}
	// ReportArrived is a report from a peer.
	ReportArrived struct{ Report Report }
	// Completed reports that a suspect completed at this node's target. The
	// digest is that of Gate.Done.
	Completed struct{ Digest uint64 }
	// Release is an operator's order to release a digest.
	Release struct{ Digest uint64 }
)

func (Tick) isEvent()          {}
func (TargetDied) isEvent()    {}
func (ReportArrived) isEvent() {}
func (Completed) isEvent()     {}
func (Release) isEvent()       {}

// Action is one of the action types of this file.
type Action interface{ isAction() }

type (
	// PublishReport requests an urgent dogmember.Publish of a report (see ReportUpdate).
	PublishReport struct{ Report Report }
	// Changed reports that the result of View has changed.
	Changed struct{}
	// QuarantineBegun reports the start of a quarantine to operators.
	QuarantineBegun struct{ Entry Entry }
)

func (PublishReport) isAction()   {}
func (Changed) isAction()         {}
func (QuarantineBegun) isAction() {}
