package dogsidecar

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogpace"
	"dogwoodford/io/process/doglog"
)

// targetKind is the kind of the store's objects that hold the entries of nodes.
const targetKind = "dogwoodford-targets"

// put records an entry of the store and the crashes that it reports.
func (s *state) put(e dogfleet.Entry, revision dogwoodford.Revision) {
	s.mu.Lock()
	isNew := s.fleet.Put(time.Now(), e, revision)
	s.recordCrashes(e)
	s.adoptReports(e)
	if e.Node == s.settings.Node {
		s.target.Restore(e.Departed)
		s.updateTargetState()
		s.departureChanged()
	} else {
		s.departures.Stored(e.Node, e.Departed)
	}
	s.mu.Unlock()
	if isNew {
		s.log.event(doglog.EntrySeen, slog.String("peer", e.Node), slog.String("service", e.Service),
			slog.String("state", e.State.String()), slog.Any("revision", revision))
	}
	if e.Node == s.settings.Node {
		s.wakeAnnouncer()
	}
}

// putFromNode records an entry that another node sent. One without an era, of an earlier
// build, is taken for one of the era of the known entry.
func (s *state) putFromNode(v versionedEntry) {
	s.mu.Lock()
	if v.Era == 0 {
		_, known, _ := s.fleet.Entry(v.Entry.Node)
		v.Era = known.Era()
	}
	s.mu.Unlock()
	s.put(v.Entry, dogwoodford.NewRevision(v.Era, v.Version))
}

func (s *state) remove(name string, revision dogwoodford.Revision) {
	s.mu.Lock()
	s.fleet.Remove(name, revision)
	s.mu.Unlock()
	s.log.event(doglog.EntryRemoved, slog.String("peer", name), slog.Any("revision", revision))
	if name == s.settings.Node {
		s.wakeAnnouncer()
	}
}

// forget removes a node from the view until its entry changes.
func (s *state) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Forget(name)
}

func (s *state) probes() []dogfleet.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Probes(time.Now())
}

func (s *state) stale() map[string]dogwoodford.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Stale(time.Now())
}

func (s *state) entries() []versionedEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []versionedEntry
	for _, name := range s.fleet.Names() {
		e, revision, _ := s.fleet.Entry(name)
		out = append(out, newVersionedEntry(e, revision))
	}
	return out
}

// storedEntry returns the node's own entry as last seen in the store, with its
// revision, which is zero if there is none.
func (s *state) storedEntry() (dogfleet.Entry, dogwoodford.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, revision, _ := s.fleet.Entry(s.settings.Node)
	return e, revision
}

// randomPeers returns up to n other nodes in random order, and silent ones only if there
// are no more others.
func (s *state) randomPeers(n int) []dogfleet.Entry {
	if n == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out, silent []dogfleet.Entry
	names := s.fleet.Names()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		e, _, _ := s.fleet.Entry(name)
		switch {
		case name == s.settings.Node:
		case s.fleet.Silent(name):
			silent = append(silent, e)
		case len(out) < n:
			out = append(out, e)
		}
	}
	return append(out, silent[:min(len(silent), n-len(out))]...)
}

// newEntryWatcher returns a watcher of the entries of all nodes in the store.
func (s *state) newEntryWatcher(store dogwoodford.Store) *kindWatcher {
	take := func(o dogwoodford.StoreObject) {
		var e dogfleet.Entry
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Node != o.Name || !e.Valid() {
			s.log.event(doglog.ObjectInvalid, slog.String("name", o.Name), doglog.Err(err))
			return
		}
		s.put(e, o.Revision)
	}
	return &kindWatcher{
		kind: targetKind, wait: func() time.Duration { return entriesWait }, store: store, log: s.log,
		pause: func() time.Duration { return dogpace.Pause(s.NodeCount()) }, asked: s.entriesAsked,
		listed: func(objects []dogwoodford.StoreObject) {
			names := make([]string, 0, len(objects))
			for _, o := range objects {
				names = append(names, o.Name)
				take(o)
			}
			s.mu.Lock()
			s.fleet.Retain(names)
			s.mu.Unlock()
			s.setListed()
		},
		changed: func(c dogwoodford.Change) {
			if c.Deleted {
				s.remove(c.Object.Name, c.Object.Revision)
				return
			}
			take(c.Object)
		},
	}
}

// members returns all known nodes.
func (s *state) members() []dogfleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Members()
}

// fleetGeneration returns a number that changes with the result of members, and whether
// the entries were listed from the store.
func (s *state) fleetGeneration() (generation uint64, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Generation(), s.listed
}

// knownEntry returns the entry of a node.
func (s *state) knownEntry(name string) (dogfleet.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _, ok := s.fleet.Entry(name)
	return e, ok
}

// serviceTargets returns all known targets of a service.
func (s *state) serviceTargets(now time.Time, service string) []dogfleet.ServiceTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ServiceTargets(now, service)
}
