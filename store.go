package dogwoodford

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCompacted means that the store no longer holds the changes that a watch
// requested. The caller must list the objects again.
var ErrCompacted = eris.New("history of the store is compacted")

// Change is one change of an object in a Store.
type Change struct {
	Object  Object
	Deleted bool // The object no longer exists; its value is empty.
}

// Store holds objects by kind and name, with one revision counter for all of
// them. Object.Version is the revision of the last change of the object.
// Implementations are safe for concurrent use. Each method returns
// ErrUnavailable if there was no response, in which case a write may still take
// effect later if its condition holds.
type Store interface {
	// List returns all objects of a kind and the revision of the store.
	List(ctx context.Context, kind string) ([]Object, int64, error)
	// Watch waits for changes of a kind after a revision and returns them with
	// the revision to continue from. It returns no changes if there were none
	// within wait, and ErrCompacted if the history after the revision is gone.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
	// Put writes value if the object has the expected version (0: it does not
	// exist) and returns the new version, or ErrConflict.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (int64, error)
	// Delete removes the object if it has the expected version. It returns
	// ErrConflict or ErrNotFound otherwise.
	Delete(ctx context.Context, kind, name string, expected int64) error
}
