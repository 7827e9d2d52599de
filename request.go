package dogwoodford

import (
	"hash/fnv"
	"time"
)

// MaxImportance is the importance of the classes that are shed last.
const MaxImportance = 7

// RankCount is the number of ranks within one importance.
const RankCount = 128

// Priority orders requests for shedding: importance first, then rank. The
// value is importance*RankCount + rank; requests with lower values are shed
// first.
type Priority int

// MaxPriority is the highest priority.
const MaxPriority Priority = (MaxImportance+1)*RankCount - 1

// NewPriority returns the priority of a request of the given importance that
// belongs to the customer request root. The rank is a hash of root, so every
// hop of one customer request computes the same priority. It panics if
// importance is outside [0, MaxImportance].
func NewPriority(importance int, root string) Priority {
	if importance < 0 || importance > MaxImportance {
		panic("dogwoodford: importance out of range")
	}
	return Priority(importance*RankCount) + Priority(hashRoot(root)>>57)
}

// hashRoot returns a hash of a customer request, whose top bits are mixed best.
func hashRoot(root string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(root))
	// FNV mixes short inputs poorly, so the halves of the sum are folded and
	// multiplied.
	x := h.Sum64()
	x ^= x >> 32
	return x * 0x9e3779b97f4a7c15
}

// RootFraction returns a number in [0, 1) for a customer request, from which NewPriority
// takes the rank. It is the same at every hop.
func RootFraction(root string) float64 { return float64(hashRoot(root)>>11) / (1 << 53) }

// Importance returns the importance part of p, in [0, MaxImportance].
func (p Priority) Importance() int { return int(p) / RankCount }

// RequestSpec lists the fields of a Request.
type RequestSpec struct {
	ID         string // Unique identifier of this call.
	Root       string // Identifier of the customer request that this call belongs to.
	Customer   string // Customer that the contract belongs to.
	Service    string // Service that is called.
	Class      string // Class of the contract.
	Workspace  string // Workspace of the caller of the root request; empty if there is none.
	Importance int    // Importance of the root class, 0 to MaxImportance.
	// FairRank is the rank within the importance, plus 1; 0 stands for the rank that
	// follows from Root.
	FairRank    int
	Idempotent  bool      // Whether the call may run more than once.
	Key         Key       // Key of a non-idempotent call; zero otherwise.
	Deadline    time.Time // Time after which the response is useless.
	Retries     int       // Further attempts allowed for this call and its children.
	Digest      uint64    // Digest of the content; zero if unknown.
	Hop         int       // Depth in the call tree; 0 at the entry.
	Attempt     int       // Number of this attempt, from 1.
	DataCentre  string    // Data centre of the sender.
	ContentSize int64     // Length of the body in bytes; -1 if unknown.
}

// Request is one call on its way to a target. The zero value is not valid.
type Request struct {
	spec     RequestSpec
	priority Priority
}

// NewRequest returns the request that spec describes. It panics if the
// importance is out of range; parsers must check it first.
func NewRequest(spec RequestSpec) Request {
	r := Request{spec: spec, priority: NewPriority(spec.Importance, spec.Root)}
	if spec.FairRank > 0 {
		r.priority = Priority(spec.Importance*RankCount + min(spec.FairRank, RankCount) - 1)
	}
	return r
}

// ID returns the unique identifier of this call.
func (r Request) ID() string { return r.spec.ID }

// Root returns the identifier of the customer request that this call belongs
// to.
func (r Request) Root() string { return r.spec.Root }

// Customer returns the customer.
func (r Request) Customer() string { return r.spec.Customer }

// Service returns the called service.
func (r Request) Service() string { return r.spec.Service }

// Class returns the class of the contract.
func (r Request) Class() string { return r.spec.Class }

// Workspace returns the workspace of the caller of the root request, empty if there is
// none.
func (r Request) Workspace() string { return r.spec.Workspace }

// Importance returns the importance of the root class.
func (r Request) Importance() int { return r.spec.Importance }

// Idempotent reports whether the call may run more than once.
func (r Request) Idempotent() bool { return r.spec.Idempotent }

// Key returns the key of a non-idempotent call; zero otherwise.
func (r Request) Key() Key { return r.spec.Key }

// Deadline returns the time after which the response is useless.
func (r Request) Deadline() time.Time { return r.spec.Deadline }

// Retries returns the number of further attempts allowed for this call and its
// children.
func (r Request) Retries() int { return r.spec.Retries }

// Digest returns the digest of the content, zero if unknown.
func (r Request) Digest() uint64 { return r.spec.Digest }

// Hop returns the depth in the call tree, 0 at the entry.
func (r Request) Hop() int { return r.spec.Hop }

// Attempt returns the number of this attempt, from 1.
func (r Request) Attempt() int { return r.spec.Attempt }

// DataCentre returns the data centre of the sender.
func (r Request) DataCentre() string { return r.spec.DataCentre }

// Priority returns the shedding priority.
func (r Request) Priority() Priority { return r.priority }

// Spec returns a copy of the fields, for building a modified request.
func (r Request) Spec() RequestSpec { return r.spec }

// Expired reports whether the deadline has passed.
func (r Request) Expired(now time.Time) bool { return !now.Before(r.spec.Deadline) }
