package fakeplatform

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSnapshot is returned for the name of a snapshot that does not exist.
var ErrSnapshot = eris.New("no such snapshot")

// Object is one object as encoded in the protocol. In the answer to a watch,
// version 0 means that the object was deleted.
type Object struct {
	Name     string `json:"name"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"` // Revision of the store at the object's last change.
	Value    []byte `json:"value"`
}

// Store holds the objects. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	objects   map[string]Object // Includes deleted objects, with version 0.
	snapshots map[string]snapshot
	changed   chan struct{} // Closed at the next change.
}

type snapshot struct {
	revision int64
	objects  map[string]Object
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects:   make(map[string]Object),
		snapshots: make(map[string]snapshot),
		changed:   make(chan struct{}),
	}
}

// Get returns an object. Its version is 0 if it does not exist.
func (s *Store) Get(name string) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name]
}

// Put writes an object if its version is the expected one; version 0 means that
// it does not exist. It returns the version after the call and whether the
// object was written.
func (s *Store) Put(name string, expected int64, value []byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[name].Version; current != expected {
		return current, false
	}
	s.revision++
	// The revision of the store serves as version, so that an object that is
	// deleted and created again does not get an earlier version.
	s.objects[name] = Object{Name: name, Version: s.revision, Revision: s.revision, Value: value}
	s.notifyWatches()
	return s.revision, true
}

// Delete deletes an object if it exists and its version is the expected one. It
// returns the version after the call and whether the object was deleted.
func (s *Store) Delete(name string, expected int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[name].Version; current != expected || current == 0 {
		return current, false
	}
	s.revision++
	s.objects[name] = Object{Name: name, Revision: s.revision}
	s.notifyWatches()
	return 0, true
}

// List returns the objects whose names have the prefix, ordered by name, and the
// revision of the store.
func (s *Store) List(prefix string) ([]Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectObjects(func(o Object) bool {
		return o.Version != 0 && strings.HasPrefix(o.Name, prefix)
	}), s.revision
}

// Watch returns the objects whose names have the prefix and that changed after
// the given revision, ordered by name, and the revision for the next watch. It
// returns when there are such objects, when wait has passed or when ctx ends. If
// the store has not reached the given revision, as is possible after a restore
// with rewind, it returns all objects at once.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, int64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		from := after
		if after > s.revision {
			from = 0
		}
		found := s.selectObjects(func(o Object) bool {
			return o.Revision > from && strings.HasPrefix(o.Name, prefix)
		})
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || after > revision {
			return found, revision
		}
		select {
		case <-changed:
		case <-timer.C:
			return found, revision
		case <-ctx.Done():
			return found, revision
		}
	}
}

// Snapshot saves the current objects under a name.
func (s *Store) Snapshot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[name] = snapshot{revision: s.revision, objects: maps.Clone(s.objects)}
}

// Restore restores the objects of a snapshot with their values and versions.
// With rewind, the revision of the store is restored too; otherwise it is
// incremented, and watches report every object that the restore changed.
func (s *Store) Restore(name string, rewind bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap, ok := s.snapshots[name]
	if !ok {
		return ErrSnapshot
	}
	if rewind {
		s.objects = maps.Clone(snap.objects)
		s.revision = snap.revision
		s.notifyWatches()
		return nil
	}
	s.revision++
	for n, current := range s.objects {
		old := snap.objects[n]
		if old.Version != current.Version {
			s.objects[n] = Object{Name: n, Version: old.Version, Revision: s.revision, Value: old.Value}
		}
	}
	s.notifyWatches()
	return nil
}

// selectObjects returns the objects for which keep returns true, ordered by
// name. The caller holds mu.
func (s *Store) selectObjects(keep func(Object) bool) []Object {
	out := []Object{} // Encoded as [], not null.
	for _, o := range s.objects {
		if keep(o) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// notifyWatches wakes the pending watches. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
