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

// ErrSnapshot is returned for the name of a snapshot that was not taken.
var ErrSnapshot = eris.New("no such snapshot")

// Object is one object in the form of the protocol. In a watch, version 0
// means that the object was deleted.
type Object struct {
	Name     string `json:"name"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"` // Revision of the store at the last change.
	Value    []byte `json:"value"`
}

// Store holds the objects. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  int64
	objects   map[string]Object // Deleted objects stay, with version 0.
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

// Get returns an object; its version is 0 if it does not exist.
func (s *Store) Get(name string) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name]
}

// Put writes an object if it has the expected version. It returns the new or
// the present version and whether the object was written.
func (s *Store) Put(name string, expected int64, value []byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.objects[name].Version; present != expected {
		return present, false
	}
	s.revision++
	// The version is the revision of the store, so an object that is deleted
	// and made again never gets an earlier version back.
	s.objects[name] = Object{Name: name, Version: s.revision, Revision: s.revision, Value: value}
	s.signal()
	return s.revision, true
}

// Delete removes an object if it has the expected version.
func (s *Store) Delete(name string, expected int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.objects[name].Version; present != expected || present == 0 {
		return present, false
	}
	s.revision++
	s.objects[name] = Object{Name: name, Revision: s.revision}
	s.signal()
	return 0, true
}

// List returns the objects under a prefix by name, and the revision.
func (s *Store) List(prefix string) ([]Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectObjects(func(o Object) bool {
		return o.Version != 0 && strings.HasPrefix(o.Name, prefix)
	}), s.revision
}

// Watch returns the objects under a prefix that changed after a revision, and
// the revision to go on from. It waits until there are any, the time is over
// or ctx ends. A revision that the store has not reached, as happens after a
// restore with rewind, is answered at once with all objects.
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

// Snapshot keeps the present objects under a name.
func (s *Store) Snapshot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[name] = snapshot{revision: s.revision, objects: maps.Clone(s.objects)}
}

// Restore brings the objects of a snapshot back, with their values and
// versions of that time. With rewind, the revision goes back too; otherwise it
// rises, and watches report every object that the restore changed.
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
		s.signal()
		return nil
	}
	s.revision++
	for n, now := range s.objects {
		old := snap.objects[n]
		if old.Version != now.Version {
			s.objects[n] = Object{Name: n, Version: old.Version, Revision: s.revision, Value: old.Value}
		}
	}
	s.signal()
	return nil
}

// selectObjects returns the objects that keep accepts, by name. The caller
// holds mu.
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

// signal wakes the watches. The caller holds mu.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
