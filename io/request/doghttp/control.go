package doghttp

import (
	"context"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/core/request/dogcall"
)

// Control provides the control state. Snapshot is called once or more per
// request and must not block; it typically loads an atomic.Pointer.
type Control interface {
	Snapshot() Snapshot
}

// Snapshot is an immutable view of the control state.
type Snapshot interface {
	// Configured reports whether any contract is in force at this node.
	Configured() bool
	// Contract returns the contract in force of a customer.
	Contract(customer string) (Contract, bool)
	// Targets returns the targets of a service. The caller does not modify the
	// slice.
	Targets(service string) []dogwoodford.Target
	// Owner returns a node that may hold the key, except the nodes in tried.
	// Besides the owner of the range, the previous owner may hold it.
	Owner(service string, key dogwoodford.Key, tried []string) (Owner, bool)
	// Quarantined reports whether the digest is quarantined, and for how much
	// longer.
	Quarantined(digest uint64) (time.Duration, bool)
	// ClosedReason returns the reason why the node's own target accepts no new work:
	// ReasonDraining, ReasonNoTarget while it starts or is down, or ReasonNone.
	ClosedReason() dogwoodford.Reason
}

// Contract is the contract of one customer.
type Contract interface {
	// Authorized compares the credential in constant time.
	Authorized(credential string) bool
	// Class returns the limits of the class with the longest matching path.
	Class(service, method, path string) (dogcall.Limits, bool)
	// ResendBudget returns the parameters of the resend budget: the percentage of
	// first attempts and the burst.
	ResendBudget() (percent, burst int)
}

// Owner is the owner of a key range.
type Owner struct {
	Node string
	Peer string // IP address and port of the peer listener.
}

// Pressure holds the cutoffs reported by guards. It is safe for concurrent use.
type Pressure interface {
	// Refuse reports whether r is to be refused early, and the time after which
	// the caller should retry.
	Refuse(now time.Time, r dogwoodford.Request) (time.Duration, bool)
	// AddReport records the report of the guard of node on r.
	AddReport(now time.Time, r dogwoodford.Request, node string, rep dogcall.Report)
	// DownstreamCutoff returns the highest cutoff of the services that requests of
	// the class of r call downstream of this node's target.
	DownstreamCutoff(now time.Time, r dogwoodford.Request) dogwoodford.Priority
}

// Records holds the at-most-once records of this node as an owner. It is safe
// for concurrent use.
type Records interface {
	// Begin decides on a key. If Run is set in the result, the record is in
	// progress and Finish must be called.
	Begin(now time.Time, a KeyAttempt) KeyDecision
	// Finish completes the record that Begin started. answer is nil if none is
	// to be kept.
	Finish(key dogwoodford.Key, o dogwoodford.Outcome, answer *KeptAnswer)
}

// KeyAttempt is a request to run a key.
type KeyAttempt struct {
	Key      dogwoodford.Key
	Service  string
	Customer string
	Digest   uint64 // A kept answer is replayed for the same content only.
	Attempt  int    // Number of the send by the caller, from 1; 0 if not given.
	// Fresh is whether the sender asserts that no earlier attempt with the key
	// can have run.
	Fresh bool
}

// KeyDecision is the decision of Records on a key.
type KeyDecision struct {
	Run     bool
	Seen    bool  // The key has an earlier record.
	Epoch   int64 // Epoch to dispatch under, if Run is set; at least 1.
	Outcome dogwoodford.Outcome
	Reason  dogwoodford.Reason
	Answer  *KeptAnswer // The answer to replay, if there is one.
}

// MaxKeptBodyBytes is the length of the longest kept body of an answer, in bytes.
const MaxKeptBodyBytes = 4 << 10

// KeptAnswer is an answer that is kept for replay.
type KeptAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Suspects isolates requests whose digests may have crashed targets. It is safe
// for concurrent use.
type Suspects interface {
	// Enter decides whether the request with this id and digest may run now:
	// Run, after which Leave must be called, or Refuse.
	Enter(now time.Time, id string, digest uint64) dogwoodford.Verdict
	Leave(id string, end End)
}

// End is how a request ended at the target.
type End int

const (
	// EndNotRun requests did not start, or their caller disconnected.
	EndNotRun End = iota
	// EndCompleted requests were answered completely.
	EndCompleted
	// EndBroken requests lost their connection to the target.
	EndBroken
)

// Sender sends a call at most once; *dogconn.Transport is one.
type Sender interface {
	Do(req *http.Request) (*http.Response, dogoutcome.Stage, error)
}

// Role is the handler to which a span, an event or a count belongs.
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
	// SetCall sets the call of the span, once it is known.
	SetCall(r dogwoodford.Request)
	// End ends the span.
	End(o dogwoodford.Outcome, reason dogwoodford.Reason, status int)
}

// Event is an event that is reported to operators.
type Event string

// Events.
const (
	EventPanic         Event = "request-panic"  // A request panicked; other requests are not affected.
	EventUnknownToken  Event = "unknown-token"  // A child call named no request in progress.
	EventBadPeer       Event = "bad-peer"       // A call on the peer listener was not from a node.
	EventDuplicate     Event = "duplicate-key"  // The guard received a key twice.
	EventBadAnswer     Event = "bad-answer"     // An answer from another node had invalid headers.
	EventUnframed      Event = "unframed"       // An answer has neither a length nor another mark of its end.
	EventTruncated     Event = "answer-aborted" // An answer ended prematurely after its headers.
	EventBadCredential Event = "bad-credential" // A caller gave a wrong customer or credential.
	EventResendRefused Event = "resends-used"   // A resend was refused because the resend budget of the customer is spent.
)

// Events receives events. It is safe for concurrent use and must not block.
type Events interface {
	Event(ctx context.Context, e Event, root string, err error)
}

// Counters counts requests. It is safe for concurrent use.
type Counters interface {
	// CountAnswer counts a request that a role answered.
	CountAnswer(role Role, service, class string, o dogwoodford.Outcome, reason dogwoodford.Reason, d time.Duration)
	// CountAttempt counts a dispatch to a target; attempt is 1 for the first.
	CountAttempt(role Role, t dogwoodford.Target, attempt int)
	// CountGuardDecision counts a call that the guard refused, with the reason, or
	// admitted, with the time that it was queued.
	CountGuardDecision(reason dogwoodford.Reason, queued time.Duration)
	// CountTargetCall counts a call that was sent to the target, answered or not,
	// and that took d.
	CountTargetCall(d time.Duration)
	// CountBodyBytes counts the body bytes of a request and of its answer.
	CountBodyBytes(role Role, in, out int64)
}
