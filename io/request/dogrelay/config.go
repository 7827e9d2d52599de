package dogrelay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/doggate"
)

// Headers names the headers that callers and targets use, in canonical form.
type Headers struct {
	Attempt        string // Unique id of one attempt of a caller; targets echo it.
	Deadline       string // Time that is left, in whole milliseconds.
	Seal           string // Signature of a target under its answer.
	ExpectInstance string // Id of the only target that may run the request.
	NotExecuted    string // Present if the target did not run the request.
	Caller         string // Service beside which the request began.
}

// Fleet is what the relay asks and tells about other nodes. Implementations
// are safe for concurrent use.
type Fleet interface {
	// Targets returns the targets that may take requests.
	Targets() []dogwoodford.Target
	// Nodes returns the number of nodes.
	Nodes() int
	// Unreachable records that a node cannot be reached or takes no work. dark
	// tells that its machine did not answer at all.
	Unreachable(node string, dark bool)
	// Sent records a request to a node, and Heard its end. answered tells
	// whether the node gave an answer.
	Sent(node string)
	Heard(node string, answered bool)
	// Alive returns a context that ends when the node is found to be dark.
	Alive(node string) context.Context
	// Reachable records that a node answered.
	Reachable(node string)
	// ConfigSeen records that the node with this peer address has a version of
	// the configuration.
	ConfigSeen(version int64, peer string)
}

// Local is the target beside the node. Implementations are safe for concurrent
// use.
type Local interface {
	// Current returns the target if it may be sent requests, or the reason why
	// not.
	Current() (dogtarget.Target, dogwoodford.Reason)
	// Answered records that the target with this id answered.
	Answered(id string)
	// Lost records that the target with this id is not there any more.
	Lost(id string)
	// Leaving reports whether the node takes no more requests of callers, as
	// it could not answer them before its end.
	Leaving() bool
}

// Crashes finds requests that crash targets. Implementations are safe for
// concurrent use.
type Crashes interface {
	// Started records that a request with this content is sent to the own
	// target, and Ended its end. unanswered tells that its connection broke.
	Started(id string, digest uint64)
	Ended(id string, unanswered bool)
	// Completed records that a target completed a content.
	Completed(digest uint64)
	// HasCompleted reports whether a target is known to have completed a content.
	HasCompleted(digest uint64) bool
	// Quarantined returns how much longer a content is refused, 0 if it is
	// not.
	Quarantined(digest uint64) time.Duration
}

// Budget bounds further attempts. Implementations are safe for concurrent use.
type Budget interface {
	// First records the first attempt of a request for a service.
	First(service string)
	// Repeat records the first attempt of a call of a request that runs again.
	// It counts as a further attempt at the service that is called.
	Repeat(service string)
	// Allow reports whether one more attempt is within the budget. root tells
	// that the request is one of a caller.
	Allow(service string, root bool) bool
}

// Pressure keeps what guards report of how full their targets are. It is safe
// for concurrent use.
type Pressure interface {
	// Admit decides whether to send a request, as far as reports say.
	Admit(r dogwoodford.Request) dogwoodford.Verdict
	// Reported records what the guard of a node answered to r.
	Reported(r dogwoodford.Request, node string, own, below dogwoodford.Priority)
	// Upstream returns the highest cutoff beneath the own target.
	Upstream(r dogwoodford.Request, own dogwoodford.Priority) dogwoodford.Priority
}

// Log takes the events of requests.
type Log interface {
	// Event logs one event. It never blocks.
	Event(ctx context.Context, e doglog.Event, attrs ...slog.Attr)
}

// Config lists the parts that a relay works with. All are required.
type Config struct {
	Headers       Headers
	Node          string
	Service       string // Service of the target beside the node.
	DataCentre    string
	Peer          string // Address at which other nodes reach this one.
	TargetAddress string
	Tables        *dogtable.Holder
	Split         *dogtable.Split
	Fleet         Fleet
	Local         Local
	Budget        Budget
	Crashes       Crashes
	Pressure      Pressure
	Gate          *doggate.Gate
	Router        *doggate.Balancer
	Peers         *dogconn.Transport
	Target        *dogconn.Transport
	Log           Log
	Metrics       *dogmetric.Set
	// MostInProgress bounds the requests that the node holds, at entry and
	// guard together, as each takes memory; 0 sets no bound.
	MostInProgress int64
}

const (
	// answerGrace is the time after its timeout in which an answer that the
	// target gives at its own deadline still reaches the caller. Targets stop
	// work at the deadline that they were sent and answer then.
	answerGrace = 120 * time.Millisecond
	// hopGrace is the part of answerGrace that is left for the way from the
	// guard to the entry.
	hopGrace = 40 * time.Millisecond
	// maxGuards is the number of guards that are asked before a request is
	// refused. Each refusal takes a round trip.
	maxGuards = 4
	// maxBuffered is the size of the largest body that is kept in memory, so
	// that it can be sent again. Longer ones are passed on as they come.
	maxBuffered = 1 << 20
)

// Handlers carries requests. It is safe for concurrent use.
type Handlers struct {
	cfg      Config
	running  *registry
	progress atomic.Int64 // Requests at entry and guard.
}

// hold counts a request that has come in and reports whether the node has room
// for it. release must follow in any case.
func (h *Handlers) hold() bool {
	n := h.progress.Add(1)
	return h.cfg.MostInProgress == 0 || n <= h.cfg.MostInProgress
}

func (h *Handlers) release() { h.progress.Add(-1) }

// New returns the handlers of a node.
func New(cfg Config) *Handlers { return &Handlers{cfg: cfg, running: newRegistry()} }
