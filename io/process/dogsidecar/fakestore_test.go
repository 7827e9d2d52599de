package dogsidecar

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford"
)

// fakeStore is an in-memory store that can fail or lose changes.
type fakeStore struct {
	mu          sync.Mutex
	era         int64
	revision    int64
	objects     map[string]dogwoodford.StoreObject
	dropChanges bool  // Watches return no changes.
	err         error // Returned by all calls.
	lists       int
	writes      int
	removals    atomic.Int64
}

func (f *fakeStore) List(context.Context, string) ([]dogwoodford.StoreObject, dogwoodford.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	var out []dogwoodford.StoreObject
	for _, o := range f.objects {
		out = append(out, o)
	}
	return out, f.present(), f.err
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after dogwoodford.Revision, wait time.Duration) ([]dogwoodford.Change, dogwoodford.Revision, error) {
	select {
	case <-ctx.Done():
		return nil, dogwoodford.Revision{}, fmt.Errorf("watch: %w: %w", dogwoodford.ErrUnavailable, ctx.Err())
	case <-time.After(wait):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, dogwoodford.Revision{}, f.err
	}
	if after.Era() < f.era {
		return nil, dogwoodford.Revision{}, dogwoodford.ErrCompacted
	}
	if f.dropChanges {
		return nil, after, nil
	}
	var out []dogwoodford.Change
	for _, o := range f.objects {
		if o.Revision.Compare(after) > 0 {
			out = append(out, dogwoodford.Change{Object: o})
		}
	}
	return out, f.present(), nil
}

func (f *fakeStore) Put(_ context.Context, _, name string, expected dogwoodford.Revision, value []byte) (dogwoodford.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.err != nil {
		return dogwoodford.Revision{}, f.err
	}
	if f.objects[name].Revision != expected {
		return dogwoodford.Revision{}, dogwoodford.ErrConflict
	}
	f.revision++
	f.objects[name] = dogwoodford.StoreObject{Name: name, Revision: f.present(), Value: value}
	return f.present(), nil
}

func (f *fakeStore) Delete(context.Context, string, string, dogwoodford.Revision) error {
	f.removals.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// present returns the revision of the store. The caller must hold f.mu.
func (f *fakeStore) present() dogwoodford.Revision { return dogwoodford.NewRevision(f.era, f.revision) }

// rev returns the revision of a change in the first era of a fakeStore.
func rev(number int64) dogwoodford.Revision { return dogwoodford.NewRevision(0, number) }

func (f *fakeStore) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeStore) listed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, objects: make(map[string]dogwoodford.StoreObject)}
}

// put writes a configuration of the store.
func (f *fakeStore) put(value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.objects["main"] = dogwoodford.StoreObject{Name: "main", Revision: f.present(), Value: []byte(value)}
}

// copyOf returns a function that puts f back to its present state, in the next era.
func (f *fakeStore) copyOf() (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, objects := f.revision, maps.Clone(f.objects)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.era++
		f.revision, f.objects = revision, make(map[string]dogwoodford.StoreObject)
		for name, o := range objects {
			o.Revision = dogwoodford.NewRevision(f.era, o.Revision.Number())
			f.objects[name] = o
		}
	}
}
