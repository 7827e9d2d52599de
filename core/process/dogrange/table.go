package dogrange

import (
	"slices"
	"time"

	"dogwoodford"
)

// Table is an immutable snapshot of the ownership of all ranges as one node
// sees it. It is safe for concurrent use.
type Table struct {
	rows     map[string]*[dogwoodford.KeyRanges]Value
	members  map[string]Member
	service  string
	node     string
	held     [dogwoodford.KeyRanges][]heldWindow // Windows of this incarnation.
	owns     [dogwoodford.KeyRanges]int64        // Epoch in which this incarnation owns the range, or 0.
	maxAhead int64
}

// heldWindow is a window whose keys this incarnation may run.
type heldWindow struct {
	epoch      int64
	start, end int64 // Milliseconds since the Unix epoch; end is confirmed by the platform or promised by the witness.
}

// Holder is the node that holds the window of a key.
type Holder struct {
	Node        string
	Peer        string // IP address and port.
	Incarnation uint64 // Zero if not known.
	Number      int
	Epoch       int64 // Zero if not known.
}

// Lookup returns the node that holds the window of the key, skipping the nodes in
// tried. The reason is ReasonRange if no such node is present in the membership.
// A key issued before the current window goes to the previous owner while that
// node is present, and otherwise to the current owner, which has the records
// after a handover and answers "unknown" if it lacks them.
func (t *Table) Lookup(service string, key dogwoodford.Key, tried []string) (Holder, dogwoodford.Reason) {
	rows := t.rows[service]
	n := key.Range()
	if rows == nil || rows[n].Epoch == 0 {
		return Holder{}, dogwoodford.ReasonRange
	}
	v := &rows[n]
	if key.Issued().UnixMilli() < v.Start && v.PreviousOwner != "" && v.PreviousOwner != v.Owner && !slices.Contains(tried, v.PreviousOwner) {
		if m, ok := t.members[v.PreviousOwner]; ok && present(m.State) {
			return Holder{Node: m.Node, Peer: m.Peer, Incarnation: m.Incarnation, Number: n}, dogwoodford.ReasonNone
		}
	}
	if v.Owner == "" || slices.Contains(tried, v.Owner) {
		return Holder{}, dogwoodford.ReasonRange
	}
	if m, ok := t.members[v.Owner]; ok && !present(m.State) {
		return Holder{}, dogwoodford.ReasonRange
	}
	return Holder{Node: v.Owner, Peer: v.OwnerPeer, Incarnation: v.OwnerIncarnation, Number: n, Epoch: v.Epoch}, dogwoodford.ReasonNone
}

func present(s dogwoodford.State) bool {
	return s == dogwoodford.StateStarting || s == dogwoodford.StateReady || s == dogwoodford.StateDraining
}

// Mint returns a new key in a range whose owner is present and whose window has
// begun. next must return random bits. The reason is ReasonRange if there is no
// such range.
func (t *Table) Mint(now time.Time, service string, next func() uint64) (dogwoodford.Key, dogwoodford.Reason) {
	rows := t.rows[service]
	if rows == nil {
		return dogwoodford.Key{}, dogwoodford.ReasonRange
	}
	var open [dogwoodford.KeyRanges]bool
	found := false
	for n := range rows {
		v := &rows[n]
		m, ok := t.members[v.Owner]
		open[n] = v.Owner != "" && ok && present(m.State) && m.Incarnation == v.OwnerIncarnation && v.Start <= now.UnixMilli()
		found = found || open[n]
	}
	if !found {
		return dogwoodford.Key{}, dogwoodford.ReasonRange
	}
	for {
		k := dogwoodford.MakeKey(now, next(), next())
		if open[k.Range()] {
			return k, dogwoodford.ReasonNone
		}
	}
}

// Grant tells whether this incarnation may run a key.
type Grant struct {
	Reason      dogwoodford.Reason // ReasonNone if it may.
	Number      int
	Epoch       int64 // Of the window that holds the key; for dogrecord's Begin.
	recordsLost bool
}

// OK reports whether this incarnation may run the key, subject to Begin.
func (g Grant) OK() bool { return g.Reason == dogwoodford.ReasonNone }

// Outcome returns the outcome to report to the sender of a refused key. first
// means that the sender guarantees that no earlier attempt with this key was
// sent. Otherwise an earlier attempt may run elsewhere, so the outcome is
// OutcomeUnknown.
func (g Grant) Outcome(first bool) dogwoodford.Outcome {
	if first && !g.recordsLost {
		return dogwoodford.OutcomeNotRun
	}
	return dogwoodford.OutcomeUnknown
}

// MayRun reports whether this incarnation may run a key of its own service. The
// clock is used only to refuse a key that was issued too far in the future.
func (t *Table) MayRun(now time.Time, key dogwoodford.Key) Grant {
	n := key.Range()
	issued := key.Issued().UnixMilli()
	if issued > now.UnixMilli()+t.maxAhead {
		return Grant{Reason: dogwoodford.ReasonKeyAge, Number: n}
	}
	lowest := int64(maxKeyMs)
	for _, h := range t.held[n] {
		if h.start <= issued && issued < h.end {
			return Grant{Number: n, Epoch: h.epoch}
		}
		lowest = min(lowest, h.start)
	}
	if t.owns[n] != 0 && issued < lowest {
		return Grant{Reason: dogwoodford.ReasonKeyAge, Number: n, recordsLost: true}
	}
	return Grant{Reason: dogwoodford.ReasonRange, Number: n}
}

// Row returns the ownership of a range, for status reports and for gossip to new
// nodes. Its epoch is 0 if the range is not known.
func (t *Table) Row(service string, number int) Value {
	if rows := t.rows[service]; rows != nil {
		return rows[number]
	}
	return Value{}
}

// Services returns the services of which at least one range is known, in no
// particular order.
func (t *Table) Services() []string {
	out := make([]string, 0, len(t.rows))
	for s := range t.rows {
		out = append(out, s)
	}
	return out
}
