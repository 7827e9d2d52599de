package dogwoodford

import (
	"time"
)

// State is the life-cycle state of a node and its target.
type State int

const (
	// Starting nodes have joined but their target is not ready.
	Starting State = iota
	// Ready nodes take work.
	Ready
	// Draining nodes finish what is in progress and take nothing new.
	Draining
	// Left nodes have ended as planned.
	Left
	// Failed nodes do not answer.
	Failed
)

// String returns the name of the state in lower case.
func (s State) String() string {
	names := [...]string{"starting", "ready", "draining", "left", "failed"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Target is one worker of a service, with the node beside it, as another node
// sees it.
type Target struct {
	Node       string // Name of the node beside the target.
	Service    string
	DataCentre string
	Peer       string // IP address and port of the node's peer listener.
	State      State
	Slots      int       // Requests that the target says it can run at once.
	Since      time.Time // When the viewer first saw the target ready.
	Seen       time.Time // When the viewer last knew the target present.
}

// Router chooses targets. It is not safe for concurrent use.
type Router interface {
	// Pick chooses a target for r among the targets of its service, leaving
	// out the nodes named in tried. The reason is set if there is none.
	Pick(now time.Time, r Request, targets []Target, tried []string) (Target, Reason)
	// Sent records a dispatch.
	Sent(now time.Time, node string)
	// Answered records the end of a dispatch and the load reported with it;
	// load is nil if the answer carried none.
	Answered(now time.Time, node string, latency time.Duration, failed bool, load *Load)
	// Completed records that the content with this digest completed somewhere.
	Completed(digest uint64)
}
