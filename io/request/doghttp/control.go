package doghttp

import (
	"context"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/request/dogcall"
)

// Control gives the control state. Snapshot is called once per request and
// must not block; an atomic.Pointer behind it is meant.
type Control interface {
	Snapshot() Snapshot
}

// Snapshot is an immutable view of the control state.
type Snapshot interface {
	// Configured reports whether any contract is in force at this node.
	Configured() bool
	// Contract returns the contract in force of a customer.
	Contract(customer string) (Contract, bool)
	// Targets returns the targets of a service. The slice is not changed.
	Targets(service string) []dogwoodford.Target
	// Owner returns a node that may hold the key, leaving out the nodes in
	// tried. Besides the owner of the range, the one before it may.
	Owner(service string, key dogwoodford.Key, tried []string) (Owner, bool)
	// Quarantined reports whether the content is quarantined, and for how long.
	Quarantined(digest uint64) (time.Duration, bool)
	// Closed returns why the own target takes no new work: ReasonDraining,
	// ReasonNoTarget while it starts or is down, or empty.
	Closed() dogwoodford.Reason
}

// Contract is the contract of one customer.
type Contract interface {
	// Authorized compares the credential in constant time.
	Authorized(credential string) bool
	// Class returns the limits of the class with the longest matching path.
	Class(service, method, path string) (dogcall.Limits, bool)
	// Resend returns the parameters of the resend budget.
	Resend() (percent, burst int)
}

// Owner is the owner of a key range.
type Owner struct {
	Node string
	Peer string // IP address and port of the peer listener.
}

// Pressure holds the cutoffs reported by guards. It is safe for concurrent
// use.
type Pressure interface {
	// Refuse reports whether r is to be refused early, and a hint for the
	// caller.
	Refuse(now time.Time, r dogwoodford.Request) (time.Duration, bool)
	// Observe records the report of the guard of node on r.
	Observe(now time.Time, r dogwoodford.Request, node string, rep dogcall.Report)
	// Called returns the highest cutoff of the services that requests of the
	// class of r call beneath this node's target.
	Called(now time.Time, r dogwoodford.Request) dogwoodford.Priority
}

// Records are the at-most-once records of this node as an owner. It is safe
// for concurrent use.
type Records interface {
	// Begin decides on a key. If Run is set, the record is in progress and
	// Finish must follow.
	Begin(now time.Time, a KeyAttempt) Begun
	// Finish ends what Begin started. answer is nil if none is to be kept.
	Finish(key dogwoodford.Key, o dogwoodford.Outcome, answer *Kept)
}

// KeyAttempt is a request to run a key.
type KeyAttempt struct {
	Key      dogwoodford.Key
	Service  string
	Customer string
	Digest   uint64 // A kept answer is replayed for the same content only.
	Attempt  int    // Number of the send by the caller, from 1; 0 if not told.
	// Fresh is whether the sender vouches that no earlier attempt with the key
	// can have run.
	Fresh bool
}

// Begun is the decision of Records on a key.
type Begun struct {
	Run     bool
	Seen    bool  // The key has a record from before.
	Epoch   int64 // Epoch to dispatch under, if Run is set; at least 1.
	Outcome dogwoodford.Outcome
	Reason  dogwoodford.Reason
	Answer  *Kept // The answer to replay, if there is one.
}

// KeptBytes is the length of the longest body of a kept answer.
const KeptBytes = 4 << 10

// Kept is an answer that was kept for replay.
type Kept struct {
	Status int
	Header http.Header
	Body   []byte
}

// Suspects isolates contents that may have crashed targets. It is safe for
// concurrent use.
type Suspects interface {
	// Enter decides whether the request with this id and content may run now:
	// Run, after which Leave must follow, or Refuse.
	Enter(now time.Time, id string, digest uint64) dogwoodford.Verdict
	Leave(id string, end End)
}

// End is how a request ended at the target.
type End int

const (
	// EndNotRun requests did not start, or their caller went away.
	EndNotRun End = iota
	// EndCompleted requests were answered whole.
	EndCompleted
	// EndBroken requests were cut off by the target.
	EndBroken
)

// Sender sends a call at most once; *dogconn.Transport is one.
type Sender interface {
	Do(req *http.Request) (*http.Response, dogoutcome.Stage, error)
}

// Role is the handler that a span, an event or a count belongs to.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleExit  Role = "exit"
	RoleOwner Role = "owner"
	RoleGuard Role = "guard"
)

// Tracer starts a span per hop.
type Tracer interface {
	// Start returns the context of the span and the traceparent to send on.
	Start(ctx context.Context, role Role, traceparent string) (context.Context, string, Span)
}

// Span is one hop of a request.
type Span interface {
	// Call names the call, once it is known.
	Call(r dogwoodford.Request)
	// End ends the span.
	End(o dogwoodford.Outcome, reason dogwoodford.Reason, status int)
}

// Event is something that operators are told about.
type Event string

// Events.
const (
	EventPanic        Event = "request-panic"  // A request panicked; it was answered alone.
	EventUnknownToken Event = "unknown-token"  // A child call named no request in progress.
	EventBadPeer      Event = "bad-peer"       // A call on the peer listener was not from a node.
	EventDuplicate    Event = "duplicate-key"  // The guard was given a key twice.
	EventBadAnswer    Event = "bad-answer"     // A node's answer had bad headers.
	EventUnframed     Event = "unframed"       // A target's answer does not say where it ends.
	EventTruncated    Event = "answer-aborted" // An answer broke off after its headers.
	EventCredential   Event = "bad-credential" // A caller gave a wrong customer or credential.
	EventResends      Event = "resends-used"   // A resend was refused, as the budget of the customer is used up.
)

// Events takes events. It is safe for concurrent use and must not block.
type Events interface {
	Event(ctx context.Context, e Event, root string, err error)
}

// Counters counts requests. It is safe for concurrent use.
type Counters interface {
	// Answered counts a request that a role answered.
	Answered(role Role, service, class string, o dogwoodford.Outcome, reason dogwoodford.Reason, d time.Duration)
	// Attempted counts a dispatch to a target; further attempts are those above 1.
	Attempted(role Role, t dogwoodford.Target, attempt int)
	// Guarded counts a call that the guard refused, with the reason, or let run
	// after it was queued.
	Guarded(reason dogwoodford.Reason, queued time.Duration)
	// Served counts a call that the target answered, or failed to answer.
	Served(d time.Duration)
	// Moved counts the bytes of the bodies of a request and its answer.
	Moved(role Role, in, out int64)
}
