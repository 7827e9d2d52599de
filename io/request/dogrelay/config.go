package dogrelay

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogbudget"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/doggate"
)

// Headers names the headers that callers and targets use, in canonical form.
type Headers struct {
	Attempt        string // Unique ID of one attempt of a caller; targets echo it.
	Deadline       string // Time until the deadline, in whole milliseconds.
	Seal           string // Signature of a target over its response.
	ExpectInstance string // ID of the only target that may run the request.
	NotExecuted    string // Present if the target did not run the request.
	Caller         string // Service of the local target of the entry.
	Rate           string // Requests per second that a target takes from all nodes.
	Leaving        string // Present if a target takes no new requests.
	Key            string // Key of the caller's workspace; never forwarded.
	Workspace      string // Name of the caller's workspace, for the target.
}

// Keys knows whether the keys of the configuration in force may be trusted.
// Implementations are safe for concurrent use.
type Keys interface {
	// Trusted reports whether no key of this version of the configuration, by which a
	// request is routed, can have been revoked for longer than permitted.
	Trusted(version int64) bool
	// Age returns the version in force and how long ago it is known to have been the
	// newest, for an answer to another node. It returns false if that is not known, or if
	// this answer need not tell.
	Age() (version int64, age time.Duration, ok bool)
	// Now returns a moment that is not after the present, by the clock of Vouched.
	Now() time.Duration
	// Vouched records that another node knows that version was the newest at a moment.
	Vouched(version int64, moment time.Duration)
}

// Quotas holds this node's part of the quotas of workspaces. Implementations are safe for
// concurrent use.
type Quotas interface {
	// Take takes a token of a workspace for one request. It may wait for a message of
	// another node, some tens of milliseconds at most. Without a token it returns false
	// and when the caller should come back.
	Take(ctx context.Context, w *dogtable.Workspace) (retryAfter time.Duration, ok bool)
	// Return gives back the token of a request that has not run.
	Return(w *dogtable.Workspace)
}

// Fleet is the view of the other nodes, which the relay reads and updates.
// Implementations are safe for concurrent use.
type Fleet interface {
	// Targets returns the targets that may be sent requests.
	Targets() []dogwoodford.Target
	// NodeCount returns the number of known nodes.
	NodeCount() int
	// MarkUnreachable records that a node cannot be reached or does not accept
	// requests. silent tells whether there was no response at all.
	MarkUnreachable(node string, silent bool)
	// RequestSent records the start of a request to a node, and RequestEnded
	// its end. answered tells whether the node answered it.
	RequestSent(node string)
	RequestEnded(node string, answered bool)
	// NodeContext returns a context that is cancelled when the node is found
	// to be silent.
	NodeContext(node string) context.Context
	// Silent reports whether the node has given no response at all since it was last
	// found to be unreachable.
	Silent(node string) bool
	// MarkReachable records that a node accepts requests.
	MarkReachable(node string)
	// ConfigSeen records that the node with this peer address has this version
	// of the configuration.
	ConfigSeen(version int64, peer string)
}

// Local is the local target, which runs on the same machine as the node.
// Implementations are safe for concurrent use.
type Local interface {
	// Current returns the target if it may be sent requests, or else the reason
	// for refusing them.
	Current() (dogtarget.Target, dogwoodford.Reason)
	// RecordAnswer records that the target with this ID answered a request.
	RecordAnswer(id string)
	// MarkFailed records that the target with this ID no longer runs.
	MarkFailed(id string)
	// MarkLeaving records that the target with this ID takes no new requests.
	MarkLeaving(id string)
	// Leaving reports whether the node accepts no more requests from callers,
	// because it could not answer them before it stops.
	Leaving() bool
	// AcceptsCall reports whether the node accepts a child call of the target that
	// lasts at most timeout. A stopping node accepts those that end before it does.
	AcceptsCall(timeout time.Duration) bool
}

// Crashes detects content that crashes targets. Implementations are safe for
// concurrent use.
type Crashes interface {
	// DispatchStarted records that a request with this content is sent to the
	// local target, and DispatchEnded its end. unanswered tells whether its
	// connection broke before the answer.
	DispatchStarted(id string, c dogcrash.Content)
	DispatchEnded(id string, unanswered bool)
	// RecordCompletion records that a target completed a content.
	RecordCompletion(c dogcrash.Content)
	// HasCompleted reports whether a target is known to have completed a content.
	HasCompleted(c dogcrash.Content) bool
	// QuarantineRemaining returns how much longer a content is refused, 0 if it is
	// not quarantined.
	QuarantineRemaining(c dogcrash.Content) time.Duration
	// QuarantineTester returns the node that decides whether to test a quarantined
	// content at its target, which belongs to service. It returns false if there is
	// none, or if this node has asked it a short time ago.
	QuarantineTester(c dogcrash.Content, service string) (node string, ok bool)
	// TestQuarantined reports whether this node may send a quarantined content to its
	// target once, to find out whether it still crashes targets.
	TestQuarantined(c dogcrash.Content) bool
}

// Budget is the retry budget, which bounds further attempts. Implementations
// are safe for concurrent use.
type Budget interface {
	// RecordFirst records the first attempt of a request for a service.
	RecordFirst(service string)
	// RecordInducedRetry records an induced retry: the first attempt of a child
	// call of a request that was retried. It counts as a further attempt for
	// the called service.
	RecordInducedRetry(service string)
	// Allow reports whether one more attempt is within the budget, and records it
	// if so.
	Allow(r dogbudget.Request) bool
}

// Pressure holds the cutoffs that guards report and refuses requests by them.
// Implementations are safe for concurrent use.
type Pressure interface {
	// Admit decides from the reports whether to send a request.
	Admit(r dogwoodford.Request) dogwoodford.Verdict
	// AddReport records the cutoffs that the guard of a node sent with its answer
	// to r: that of its own target, and the highest of the services downstream of
	// it.
	AddReport(r dogwoodford.Request, node string, own, downstream dogwoodford.Priority)
	// DownstreamCutoff returns the highest cutoff of the services that requests
	// like r call downstream of the local target; own is the cutoff of that
	// target.
	DownstreamCutoff(r dogwoodford.Request, own dogwoodford.Priority) dogwoodford.Priority
}

// Trees estimates how often the call trees of a class complete. Implementations are safe
// for concurrent use.
type Trees interface {
	// RecordRun records the end of a request of a caller at the local target. failed
	// tells that it failed because a child call did.
	RecordRun(class string, failed bool)
	// Runs returns the recent runs of a class at the local target.
	Runs(class string) dogtree.Runs
	// AddRuns records the recent runs of a class at the target beside a node.
	AddRuns(class, node string, r dogtree.Runs)
	// MayStart reports whether a request of a caller is to be started. If not, it
	// returns when the caller should come back.
	MayStart(r dogtree.Request) (retryAfter time.Duration, ok bool)
}

// Log receives the events of requests. Implementations are safe for concurrent
// use.
type Log interface {
	// Event logs one event. It never blocks.
	Event(ctx context.Context, e doglog.Event, attrs ...slog.Attr)
}

// Shares ranks the requests of workspaces that compete for too little room.
// Implementations are safe for concurrent use.
type Shares interface {
	// Rank counts a request of a workspace and returns its rank within its importance.
	// fraction is a number in [0, 1) that is drawn for the request.
	Rank(workspace string, importance int, fraction float64) int
}

// Config holds the settings and components of a relay. All are required, except
// that the bounds may be 0, and Keys, Quotas and Shares may be nil: keys are then trusted
// always, quotas do not hold, and ranks are random.
type Config struct {
	Headers       Headers
	Node          string
	Service       string // Service of the local target.
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
	Trees         Trees
	Keys          Keys
	Quotas        Quotas
	Shares        Shares
	Gate          *doggate.Gate
	Router        *doggate.Balancer
	Peers         *dogconn.Transport
	Target        *dogconn.Transport
	Log           Log
	Metrics       *dogmetric.Set
	// Lag returns how late the process currently gets to work that is due.
	Lag func() time.Duration
	// MaxInProgress bounds the requests in progress at entry and guard
	// together, because each takes memory; 0 means no bound.
	MaxInProgress int64
	// MaxBufferedBytes bounds the memory for long bodies, in bytes; 0 means no
	// bound. What exceeds it is streamed: a request is then sent at most once, and a
	// response is passed on before it is complete.
	MaxBufferedBytes int64
}

const (
	// answerGrace is how long after the deadline of a request the relay still
	// waits for the response. Targets stop work at the deadline that they were
	// sent and answer then, and that response must still reach the caller.
	answerGrace = 120 * time.Millisecond
	// hopGrace is the part of answerGrace that is reserved for the transfer
	// from the guard to the entry.
	hopGrace = 40 * time.Millisecond
	// maxGuards is the maximum number of guards that a request is sent to
	// before it is refused. Each refusal takes a round trip.
	maxGuards = 4
)

// Handlers holds the HTTP handlers of a node. It is safe for concurrent use.
type Handlers struct {
	cfg        Config
	running    *registry
	buffers    buffers
	followMu   sync.Mutex // Held while the guard follows advice of its target.
	advised    adviceTable
	inProgress atomic.Int64 // Requests in progress at entry and guard.
	abandoned  context.Context
	abandon    context.CancelFunc
}

// Abandon ends the requests in progress, whose outcome is unknown then: the node stops
// before they can end.
func (h *Handlers) Abandon() { h.abandon() }

// withDeadline returns a context that ends at the deadline, with ctx, or with Abandon.
func (h *Handlers) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(h.abandoned, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// acquire counts a request as in progress and reports whether the node is within
// MaxInProgress with it. The caller must call release in either case.
func (h *Handlers) acquire() bool {
	n := h.inProgress.Add(1)
	return h.cfg.MaxInProgress == 0 || n <= h.cfg.MaxInProgress
}

func (h *Handlers) release() { h.inProgress.Add(-1) }

// New returns the handlers of a node with the given configuration.
func New(cfg Config) *Handlers {
	h := &Handlers{cfg: cfg, running: newRegistry()}
	h.buffers.limit = cfg.MaxBufferedBytes
	h.abandoned, h.abandon = context.WithCancel(context.Background())
	return h
}
