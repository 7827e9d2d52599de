package dogfleet

import (
	"maps"
	"slices"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogcrash"
)

const (
	// firstProbe is the time from a failed connection to the first probe. A
	// process that is started again is back after about this time.
	firstProbe = 200 * time.Millisecond
	// lastProbe is the longest time between two probes.
	lastProbe = 2 * time.Second
	// removeAfter is the time for which a node is unreachable before its entry
	// is removed. It is far above the restart of a process and above usual
	// partitions.
	removeAfter = 30 * time.Second
)

// warmFor is the time for which a target counts as ready that was not started
// lately. It exceeds the time over which new targets get their full share: one
// whose node was started again takes all at once.
const warmFor = time.Minute

// Entry is what a node says of itself in the platform's store.
type Entry struct {
	Node       string            `json:"node"`
	Service    string            `json:"service"`
	DataCentre string            `json:"data_centre"`
	Peer       string            `json:"peer"` // IP address and port for other nodes.
	State      dogwoodford.State `json:"state"`
	Slots      int               `json:"slots"`
	// Cold tells that the target has started so recently that it is still slow.
	Cold bool `json:"cold,omitempty"`
	// Crashes are the latest crashes of the node's target.
	Crashes []dogcrash.Report `json:"crashes,omitempty"`
}

// Equal reports whether e and other say the same.
func (e Entry) Equal(other Entry) bool {
	return e.Node == other.Node && e.Service == other.Service && e.DataCentre == other.DataCentre &&
		e.Peer == other.Peer && e.State == other.State && e.Slots == other.Slots && e.Cold == other.Cold &&
		slices.EqualFunc(e.Crashes, other.Crashes, dogcrash.Report.Equal)
}

// Fleet is the view of one node. It is not safe for concurrent use.
type Fleet struct {
	members map[string]*member
	targets []dogwoodford.Target // Cached; nil after a change.
	until   time.Time            // End of the use of targets.
}

type member struct {
	entry   Entry
	version int64 // Of the entry in the store.
	since   time.Time
	down    time.Time // Start of the present unreachability; zero if reachable.
	probeAt time.Time
	backoff time.Duration
	dark    bool // Nothing at all came back; a refused connection shows a machine that lives.
}

// New returns an empty view.
func New() *Fleet { return &Fleet{members: make(map[string]*member)} }

// Put takes an entry of the store. Older versions than the known one are
// ignored; it reports whether the entry is new.
func (f *Fleet) Put(now time.Time, e Entry, version int64) bool {
	m := f.members[e.Node]
	if m != nil && version <= m.version {
		return false
	}
	if m == nil || m.entry.Peer != e.Peer {
		m = &member{}
		f.members[e.Node] = m
	}
	if m.since.IsZero() || e.State == dogwoodford.Ready && m.entry.State != dogwoodford.Ready {
		m.since = now
		if !e.Cold {
			m.since = now.Add(-warmFor)
		}
	}
	m.entry, m.version = e, version
	f.targets = nil
	return true
}

// Remove drops a node whose entry was removed at the given version.
func (f *Fleet) Remove(name string, version int64) {
	if m := f.members[name]; m != nil && version > m.version {
		delete(f.members, name)
		f.targets = nil
	}
}

// Keep drops all nodes that are not named, after a full list of the entries.
func (f *Fleet) Keep(names []string) {
	for name := range f.members {
		if !slices.Contains(names, name) {
			delete(f.members, name)
			f.targets = nil
		}
	}
}

// Entry returns the entry of a node and its version; false if there is none.
func (f *Fleet) Entry(name string) (Entry, int64, bool) {
	m := f.members[name]
	if m == nil {
		return Entry{}, 0, false
	}
	return m.entry, m.version, true
}

// Len returns the number of known nodes.
func (f *Fleet) Len() int { return len(f.members) }

// Unreachable records that a node cannot be reached or takes no work. dark
// tells that its machine did not answer at all. It reports whether the node was
// reachable before.
func (f *Fleet) Unreachable(now time.Time, name string, dark bool) bool {
	m := f.members[name]
	if m == nil {
		return false
	}
	first := m.down.IsZero()
	if first {
		m.down, m.backoff = now, firstProbe
		f.targets = nil
	} else {
		m.backoff = min(2*m.backoff, lastProbe)
	}
	m.dark = dark
	m.probeAt = now.Add(m.backoff)
	return first
}

// Reachable records that a node takes work. It reports whether the node was
// unreachable before.
func (f *Fleet) Reachable(name string) bool {
	m := f.members[name]
	if m == nil || m.down.IsZero() {
		return false
	}
	m.down = time.Time{}
	f.targets = nil
	return true
}

// Probes returns the unreachable nodes that are due for a probe.
func (f *Fleet) Probes(now time.Time) []Entry {
	var out []Entry
	for _, m := range f.members {
		if !m.down.IsZero() && !now.Before(m.probeAt) {
			out = append(out, m.entry)
		}
	}
	return out
}

// Stale returns the entries of nodes that have been unreachable for so long
// that they should be removed, with their versions. It returns none while half
// of the nodes or more are unreachable: then this node is probably the one
// that is cut off.
func (f *Fleet) Stale(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	down := 0
	for name, m := range f.members {
		if m.down.IsZero() {
			continue
		}
		down++
		if now.Sub(m.down) >= removeAfter {
			out[name] = m.version
		}
	}
	if 2*down >= len(f.members) {
		return nil
	}
	return out
}

// isolatedShare is the share of the other nodes that are dark at a node that is
// cut off itself. Losses of single data centres stay below it.
const isolatedShare = 0.6

// Isolated reports whether this node is probably cut off from the others.
func (f *Fleet) Isolated(now time.Time) bool {
	dark := 0
	for _, m := range f.members {
		if m.dark && !m.down.IsZero() && now.Sub(m.down) >= tryFor {
			dark++
		}
	}
	return len(f.members) > 2 && float64(dark) >= isolatedShare*float64(len(f.members)-1)
}

// tryFor is the time for which the targets of a service that are all
// unreachable are tried all the same. After it, callers are told at once to
// come back, as each try would hold them up.
const tryFor = time.Second

// Targets returns the targets that may take requests. If all ready targets of
// a service have just become unreachable, they are returned all the same, as a
// try costs less than a refusal. The caller must not change the slice.
func (f *Fleet) Targets(now time.Time) []dogwoodford.Target {
	if f.targets != nil && now.Before(f.until) {
		return f.targets
	}
	f.until = now.Add(tryFor)
	reachable := make(map[string]bool)
	for _, m := range f.members {
		if m.down.IsZero() && m.entry.State == dogwoodford.Ready {
			reachable[m.entry.Service] = true
		}
	}
	out := make([]dogwoodford.Target, 0, len(f.members))
	for _, m := range f.members {
		if m.entry.State != dogwoodford.Ready {
			continue
		}
		if !m.down.IsZero() {
			end := m.down.Add(tryFor)
			if reachable[m.entry.Service] || !now.Before(end) {
				continue
			}
			if end.Before(f.until) {
				f.until = end
			}
		}
		out = append(out, dogwoodford.Target{
			Node: m.entry.Node, Service: m.entry.Service, DataCentre: m.entry.DataCentre,
			Peer: m.entry.Peer, State: dogwoodford.Ready, Slots: m.entry.Slots, ReadySince: m.since, LastSeen: m.since,
		})
	}
	f.targets = out
	return out
}

// Names returns the names of all known nodes in order.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.members)) }
