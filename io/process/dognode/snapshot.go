package dognode

import (
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/core/version/dogcontract"
	"dogwoodford/io/request/doghttp"
)

// snapshot is an immutable view of the control state; it implements
// doghttp.Snapshot.
type snapshot struct {
	node         string
	entries      map[string]dogconfig.Entry[*dogcontract.Contract]
	targets      map[string][]dogwoodford.Target
	table        *dogrange.Table
	suspects     *dogsuspect.View
	closedReason dogwoodford.Reason // Why the node's target takes no new work.
}

// Snapshot implements doghttp.Control.
func (c *control) Snapshot() doghttp.Snapshot { return c.snap.Load() }

// Configured reports whether any contract is in force.
func (s *snapshot) Configured() bool { return len(s.entries) > 0 }

// Contract returns the contract in force of a customer.
func (s *snapshot) Contract(customer string) (doghttp.Contract, bool) {
	e, ok := s.entries[customer]
	if !ok {
		return nil, false
	}
	return contract{c: e.Contract}, true
}

// Targets returns the targets of a service.
func (s *snapshot) Targets(service string) []dogwoodford.Target { return s.targets[service] }

// Owner returns a node that may hold the key, other than those already tried.
func (s *snapshot) Owner(service string, key dogwoodford.Key, tried []string) (doghttp.Owner, bool) {
	h, reason := s.table.Lookup(service, key, tried)
	if reason != dogwoodford.ReasonNone {
		return doghttp.Owner{}, false
	}
	return doghttp.Owner{Node: h.Node, Peer: h.Peer}, true
}

// Quarantined reports whether the content with the digest is quarantined, and
// for how much longer.
func (s *snapshot) Quarantined(digest uint64) (time.Duration, bool) {
	if digest == 0 {
		return 0, false
	}
	now := time.Now()
	e := s.suspects.Lookup(now, digest)
	return e.Until.Sub(now), e.Standing == dogsuspect.Quarantined
}

// ClosedReason returns why the node's target takes no new work, or ReasonNone if it
// does.
func (s *snapshot) ClosedReason() dogwoodford.Reason { return s.closedReason }

// closedReason returns the reason why a target in the given state takes no new
// work. A target that died is not reported as draining, because routers have to
// keep counting it among the targets: otherwise content that may have crashed it
// would move on to further targets.
func closedReason(s dogwoodford.State) dogwoodford.Reason {
	switch s {
	case dogwoodford.StateReady:
		return dogwoodford.ReasonNone
	case dogwoodford.StateDraining, dogwoodford.StateLeft:
		return dogwoodford.ReasonDraining
	}
	return dogwoodford.ReasonNoTarget
}

// contract implements doghttp.Contract.
type contract struct{ c *dogcontract.Contract }

func (c contract) Authorized(credential string) bool { return c.c.Authorized(credential) }

func (c contract) Class(service, method, path string) (dogcall.Limits, bool) {
	cl, ok := c.c.Match(service, method, path)
	if !ok && method == http.MethodHead {
		cl, ok = c.c.Match(service, http.MethodGet, path)
	}
	if !ok {
		return dogcall.Limits{}, false
	}
	return dogcall.Limits{
		Class:      cl.Name(),
		Importance: cl.Importance(),
		Idempotent: cl.Idempotent(),
		Deadline:   cl.Deadline(),
		Retries:    cl.Retries(),
		MaxBody:    cl.MaxBody(),
	}, true
}

func (c contract) ResendBudget() (percent, burst int) { return c.c.ResendPercent(), c.c.ResendBurst() }
