package dogwoodford

import (
	"time"
)

// State is the life-cycle state of a node and its target.
type State int

const (
	// StateStarting nodes have joined, but their target is not ready.
	StateStarting State = iota
	// StateReady nodes accept requests.
	StateReady
	// StateDraining nodes finish the requests in progress and accept no new ones.
	StateDraining
	// StateLeft nodes have shut down as planned.
	StateLeft
	// StateFailed nodes do not respond.
	StateFailed
)

// String returns the name of the state in lower case.
func (s State) String() string {
	names := [...]string{"starting", "ready", "draining", "left", "failed"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Target is one worker process of a service with its node, as observed by
// another node.
type Target struct {
	Node       string // Name of the target's node.
	Service    string
	DataCentre string
	Peer       string // IP address and port of the node's peer listener.
	State      State
	Slots      int       // Requests that the target reports it can run concurrently.
	ReadySince time.Time // When the observer first saw the target ready.
	LastSeen   time.Time // When the observer last knew the target to be present.
}

// Router chooses targets. It is not safe for concurrent use.
type Router interface {
	// Pick chooses a target for r among the targets of its service, excluding
	// the nodes named in tried. The reason is set if there is none.
	Pick(now time.Time, r Request, targets []Target, tried []string) (Target, Reason)
	// RecordDispatch records a dispatch to a node.
	RecordDispatch(now time.Time, node string)
	// RecordDispatchEnd records the end of a dispatch and the load reported with
	// the response; load is nil if the response carried none.
	RecordDispatchEnd(now time.Time, node string, latency time.Duration, failed bool, load *Load)
	// RecordCompletion records that content with this digest completed on some target.
	RecordCompletion(digest uint64)
}
