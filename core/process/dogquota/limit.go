package dogquota

import (
	"hash/fnv"
	"time"
)

// Limit is the quota of a workspace.
type Limit struct {
	Rate  float64 // Requests per second over all nodes.
	Burst float64 // Requests beyond the rate that may come at once.
}

// lowerThan reports whether l permits less than other in some respect.
func (l Limit) lowerThan(other Limit) bool { return l.Rate < other.Rate || l.Burst < other.Burst }

// capacity returns the number of tokens that a bucket holds. With less than one token, it
// would never permit a request.
func (l Limit) capacity() float64 { return max(1, l.Burst) }

// Bound is by how much the quotas may be exceeded in a sliding window.
type Bound struct {
	Window  time.Duration
	Overage float64 // Share of the quota.
	Slack   float64 // Requests in addition.
}

// margin returns the number of requests by which a workspace may exceed its quota in a
// window.
func (b Bound) margin(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// raised returns the limit that a lender applies to keep to l within the bound.
func (b Bound) raised(l Limit) Limit {
	share := 1 + raisedShare*b.Overage
	return Limit{Rate: l.Rate * share, Burst: l.Burst*share + raisedShare*b.Slack}
}

const (
	// startShare is the share of the margin that a lender has when it takes over. Two
	// takeovers in one window, as after the restart of all nodes, use a quarter of the
	// margin.
	startShare = 0.125
	// fallbackShare is the share of the margin that the fallback buckets of all nodes
	// hold together at first.
	fallbackShare = 0.125
	// raisedShare is the share of the margin that lenders lend in any case: a request
	// that the bound permits is not refused for want of precision.
	raisedShare = 0.5
)

// WorkspaceID identifies a workspace in messages.
func WorkspaceID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Workspace is a workspace with a quota.
type Workspace struct {
	ID    uint64
	Limit Limit
}
