package dogfleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogtarget"
)

const (
	// minBackoff is the time from a failed connection to the first probe. A
	// restarted process is reachable after about this time.
	minBackoff = 200 * time.Millisecond
	// maxBackoff bounds the exponential backoff between two probes.
	maxBackoff = 2 * time.Second
	// removeAfter is the time for which a node must be unreachable before its
	// entry is removed. It is far longer than the restart of a process and
	// longer than usual partitions.
	removeAfter = 30 * time.Second
)

// warmAge is the age that is assumed for a newly seen target that is not cold.
// It exceeds the slow start of new targets, so that a warm target whose node
// was restarted gets its full share of requests at once.
const warmAge = time.Minute

// Entry describes a node in the platform's store. The node itself writes it.
type Entry struct {
	Node       string            `json:"node"`
	Service    string            `json:"service"`
	DataCentre string            `json:"data_centre"`
	Peer       string            `json:"peer"` // IP address and port for other nodes.
	State      dogwoodford.State `json:"state"`
	Slots      int               `json:"slots"`
	// Cold tells whether the target is still slow because it started recently.
	Cold bool `json:"cold,omitempty"`
	// Departed is the last incarnation of the target that has said that it takes no new
	// requests. The node needs it after a restart.
	Departed dogtarget.Departure `json:"departed,omitzero"`
	// Crashes are the latest crashes of the node's target.
	Crashes []dogcrash.Report `json:"crashes,omitempty"`
}

// Equal reports whether all fields of e and other are equal.
func (e Entry) Equal(other Entry) bool {
	return e.Node == other.Node && e.Service == other.Service && e.DataCentre == other.DataCentre &&
		e.Peer == other.Peer && e.State == other.State && e.Slots == other.Slots && e.Cold == other.Cold &&
		e.Departed == other.Departed &&
		slices.EqualFunc(e.Crashes, other.Crashes, dogcrash.Report.Equal)
}

// maxSlots is the largest number of slots that an entry may name.
const maxSlots = 1 << 20

// Valid reports whether e describes a node that can be reached. Other writers may leave
// entries that do not.
func (e Entry) Valid() bool {
	addr, err := netip.ParseAddrPort(e.Peer)
	return err == nil && addr.Port() != 0 && e.Node != "" && e.Service != "" && e.Slots >= 0 && e.Slots <= maxSlots
}

// Fleet is the view that one node has of the others. It is not safe for
// concurrent use.
type Fleet struct {
	members       map[string]*member
	targets       []dogwoodford.Target // Cached result of Targets; nil after a change.
	targetsExpiry time.Time            // Expiry of targets.
	generation    uint64               // Number of changes of the result of Members.
}

// member is the state of one node.
type member struct {
	entry      Entry
	revision   dogwoodford.Revision // Of the entry in the store.
	readySince time.Time            // Assumed time at which the target became ready.
	down       time.Time            // Time at which the node became unreachable; zero if reachable.
	probeAt    time.Time            // Time of the next probe.
	backoff    time.Duration        // Time between the last failure and the next probe.
	silent     bool                 // No response at all. A refused connection shows that the machine runs.
}

// New returns an empty view.
func New() *Fleet { return &Fleet{members: make(map[string]*member)} }

// Put records an entry of the store. Entries of revisions that are not later than the known
// one are ignored. It reports whether the entry was recorded.
func (f *Fleet) Put(now time.Time, e Entry, revision dogwoodford.Revision) bool {
	m := f.members[e.Node]
	if m != nil && revision.Compare(m.revision) <= 0 {
		return false
	}
	isNew := m == nil || m.entry.Peer != e.Peer
	if isNew {
		m = &member{}
		f.members[e.Node] = m
	}
	if m.readySince.IsZero() || e.State == dogwoodford.StateReady && m.entry.State != dogwoodford.StateReady {
		m.readySince = now
		if !e.Cold {
			m.readySince = now.Add(-warmAge)
		}
	}
	m.entry, m.revision = e, revision
	f.targets = nil
	if isNew {
		f.generation++
	}
	if isNew && e.Peer != "" {
		f.supersede(now, m)
	}
	return true
}

// supersede marks the nodes unreachable whose address another node has got, by the order
// in which the entries were written: the new member m, or those that had its address
// before.
func (f *Fleet) supersede(now time.Time, m *member) {
	for name, other := range f.members {
		switch {
		case other == m || other.entry.Peer != m.entry.Peer:
		case other.revision.Compare(m.revision) < 0:
			f.MarkUnreachable(now, name, false)
		default:
			f.MarkUnreachable(now, m.entry.Node, false)
		}
	}
}

// Remove removes a node whose entry was removed from the store at the given
// revision.
func (f *Fleet) Remove(name string, revision dogwoodford.Revision) {
	if m := f.members[name]; m != nil && revision.Compare(m.revision) > 0 {
		f.Forget(name)
	}
}

// Forget removes a node until its entry changes.
func (f *Fleet) Forget(name string) {
	if f.members[name] == nil {
		return
	}
	delete(f.members, name)
	f.targets = nil
	f.generation++
}

// Retain removes all nodes that are not in names, which holds the nodes of a
// full list of the entries.
func (f *Fleet) Retain(names []string) {
	for name := range f.members {
		if !slices.Contains(names, name) {
			f.Forget(name)
		}
	}
}

// Entry returns the entry of a node and its revision; false if there is none.
func (f *Fleet) Entry(name string) (Entry, dogwoodford.Revision, bool) {
	m := f.members[name]
	if m == nil {
		return Entry{}, dogwoodford.Revision{}, false
	}
	return m.entry, m.revision, true
}

// Len returns the number of known nodes.
func (f *Fleet) Len() int { return len(f.members) }

// MarkUnreachable records that a node cannot be reached or does not accept
// requests. silent tells whether there was no response at all. It reports
// whether the node was reachable before.
func (f *Fleet) MarkUnreachable(now time.Time, name string, silent bool) bool {
	m := f.members[name]
	if m == nil {
		return false
	}
	first := m.down.IsZero()
	if silent != (m.silent && !first) {
		f.generation++
	}
	if first {
		m.down, m.backoff = now, minBackoff
		f.targets = nil
	} else {
		m.backoff = min(2*m.backoff, maxBackoff)
	}
	m.silent = silent
	m.probeAt = now.Add(m.backoff)
	return first
}

// MarkReachable records that a node accepts requests. It reports whether the
// node was unreachable before.
func (f *Fleet) MarkReachable(name string) bool {
	m := f.members[name]
	if m == nil || m.down.IsZero() {
		return false
	}
	m.down = time.Time{}
	f.targets = nil
	if m.silent {
		f.generation++
	}
	return true
}

// Silent reports whether a node is unreachable and gave no response at all to the last
// request or probe.
func (f *Fleet) Silent(name string) bool {
	m := f.members[name]
	return m != nil && m.silent && !m.down.IsZero()
}

// Probes returns the entries of the unreachable nodes that are due for a probe.
func (f *Fleet) Probes(now time.Time) []Entry {
	var out []Entry
	for _, m := range f.members {
		if !m.down.IsZero() && !now.Before(m.probeAt) {
			out = append(out, m.entry)
		}
	}
	return out
}

// Stale returns the names of the nodes that have been unreachable for so long
// that their entries should be removed, with the revisions of the entries. It
// returns none while half of the nodes or more are unreachable, because then
// this node itself is probably isolated.
func (f *Fleet) Stale(now time.Time) map[string]dogwoodford.Revision {
	out := make(map[string]dogwoodford.Revision)
	down := 0
	for name, m := range f.members {
		if m.down.IsZero() {
			continue
		}
		down++
		if now.Sub(m.down) >= removeAfter {
			out[name] = m.revision
		}
	}
	if 2*down >= len(f.members) {
		return nil
	}
	return out
}

// isolatedShare is the share of the other nodes that must be silent for a node
// to consider itself isolated. The loss of a single data centre stays below it.
const isolatedShare = 0.6

// Isolated reports whether this node is probably partitioned from the others.
func (f *Fleet) Isolated(now time.Time) bool {
	silent := 0
	for _, m := range f.members {
		if m.silent && !m.down.IsZero() && now.Sub(m.down) >= unreachableGrace {
			silent++
		}
	}
	return len(f.members) > 2 && float64(silent) >= isolatedShare*float64(len(f.members)-1)
}

// unreachableGrace is the time for which the targets of a service are still
// tried after all of them have become unreachable. After it, callers are
// refused at once with a hint to return later, as each try would delay them.
const unreachableGrace = time.Second

// Targets returns the targets that may be sent requests. If all ready targets
// of a service have only just become unreachable, they are still returned, as a
// try costs less than a refusal. The caller must not modify the slice.
func (f *Fleet) Targets(now time.Time) []dogwoodford.Target {
	if f.targets != nil && now.Before(f.targetsExpiry) {
		return f.targets
	}
	f.targets, f.targetsExpiry = f.computeTargets(now)
	return f.targets
}

// computeTargets returns the targets at a time, and until when they stay the same without
// a change of the members.
func (f *Fleet) computeTargets(now time.Time) (targets []dogwoodford.Target, expiry time.Time) {
	expiry = now.Add(unreachableGrace)
	reachable := make(map[string]bool)
	for _, m := range f.members {
		if m.down.IsZero() && m.entry.State == dogwoodford.StateReady {
			reachable[m.entry.Service] = true
		}
	}
	out := make([]dogwoodford.Target, 0, len(f.members))
	for _, m := range f.members {
		if m.entry.State != dogwoodford.StateReady {
			continue
		}
		if !m.down.IsZero() {
			end := m.down.Add(unreachableGrace)
			if reachable[m.entry.Service] || !now.Before(end) {
				continue
			}
			if end.Before(expiry) {
				expiry = end
			}
		}
		out = append(out, dogwoodford.Target{
			Node: m.entry.Node, Service: m.entry.Service, DataCentre: m.entry.DataCentre,
			Peer: m.entry.Peer, State: dogwoodford.StateReady, Slots: m.entry.Slots, ReadySince: m.readySince, LastSeen: m.readySince,
		})
	}
	return out, expiry
}

// Member is what is known of one node.
type Member struct {
	Node, DataCentre, Peer string
	Silent                 bool // See Fleet.Silent.
}

// Members returns all known nodes, in no particular order.
func (f *Fleet) Members() []Member {
	out := make([]Member, 0, len(f.members))
	for name, m := range f.members {
		out = append(out, Member{Node: name, DataCentre: m.entry.DataCentre, Peer: m.entry.Peer, Silent: f.Silent(name)})
	}
	return out
}

// Generation returns a number that changes whenever the result of Members does.
func (f *Fleet) Generation() uint64 { return f.generation }

// Names returns the sorted names of all known nodes.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.members)) }
