package dogrange

import (
	"slices"
	"time"

	"dogwoodford"
)

// Table is an immutable snapshot of the ownership of all ranges as one node
// sees it. It is safe for concurrent use.
type Table struct {
	rows    map[string]*[dogwoodford.KeyRanges]Value
	members map[string]Member
	service string
	node    string
	holds   [dogwoodford.KeyRanges][]hold // Windows of this incarnation.
	owns    [dogwoodford.KeyRanges]int64  // Epoch that this incarnation owns now, or 0.
	ahead   int64
}

// hold is a window that this incarnation may run keys of.
type hold struct {
	epoch      int64
	start, end int64 // Milliseconds; end is confirmed or promised.
}

// Holder is the node that holds the window of a key.
type Holder struct {
	Node        string
	Peer        string // IP address and port.
	Incarnation uint64 // Zero if not known.
	Number      int
	Epoch       int64 // Zero if not known.
}

// Lookup returns the node that holds the window of the key, leaving out the
// nodes in tried. The reason is ReasonRange if there is none that is present.
// A key issued before the present window goes to the previous owner while that
// is present, then to the present owner, which has the records after a
// handover and otherwise answers unknown.
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
	return s == dogwoodford.Starting || s == dogwoodford.Ready || s == dogwoodford.Draining
}

// Mint returns a new key in a range whose owner is present and whose window
// has begun. next gives random bits. The reason is ReasonRange if there is no
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

// Grant says whether this incarnation may run a key.
type Grant struct {
	Reason dogwoodford.Reason // ReasonNone if it may.
	Number int
	Epoch  int64 // Of the window that holds the key; for dogrecord's Begin.
	lost   bool
}

// OK reports whether this incarnation may run the key, subject to Begin.
func (g Grant) OK() bool { return g.Reason == dogwoodford.ReasonNone }

// Outcome returns what a refusal says to the sender. first means that the
// sender vouches that no earlier attempt with this key was ever sent; without
// it an earlier attempt may run elsewhere, so the outcome is unknown.
func (g Grant) Outcome(first bool) dogwoodford.Outcome {
	if first && !g.lost {
		return dogwoodford.NotRun
	}
	return dogwoodford.Unknown
}

// May says whether this incarnation may run a key of its own service. Clocks
// decide only whether a key is too far in the future.
func (t *Table) May(now time.Time, key dogwoodford.Key) Grant {
	n := key.Range()
	issued := key.Issued().UnixMilli()
	if issued > now.UnixMilli()+t.ahead {
		return Grant{Reason: dogwoodford.ReasonKeyAge, Number: n}
	}
	lowest := int64(maxMs)
	for _, h := range t.holds[n] {
		if h.start <= issued && issued < h.end {
			return Grant{Number: n, Epoch: h.epoch}
		}
		lowest = min(lowest, h.start)
	}
	if t.owns[n] != 0 && issued < lowest {
		return Grant{Reason: dogwoodford.ReasonKeyAge, Number: n, lost: true}
	}
	return Grant{Reason: dogwoodford.ReasonRange, Number: n}
}

// Row returns the ownership of a range, for status and for gossip to new
// nodes. The epoch is 0 if nothing is known.
func (t *Table) Row(service string, number int) Value {
	if rows := t.rows[service]; rows != nil {
		return rows[number]
	}
	return Value{}
}

// Services returns the services of which a range is known, in no order.
func (t *Table) Services() []string {
	out := make([]string, 0, len(t.rows))
	for s := range t.rows {
		out = append(out, s)
	}
	return out
}
