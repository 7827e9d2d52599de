package dogwoodford

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCompacted means that the store no longer holds the changes that a watch
// requested, or never did as it has come back from a copy. The caller must list the
// objects again.
var ErrCompacted = eris.New("history of the store is compacted")

// Change is one change of an object in a Store.
type Change struct {
	Object  StoreObject
	Deleted bool // The object no longer exists; its value is empty.
}

// StoreObject is one object of a Store.
type StoreObject struct {
	Name     string
	Revision Revision // Of the last change.
	Value    []byte
}

// Store holds objects by kind and name, with one revision counter for all of them.
// Implementations are safe for concurrent use. Each method returns ErrUnavailable if there
// was no response, in which case a write may still take effect later if its condition holds.
type Store interface {
	// List returns all objects of a kind and the revision of the store. It returns
	// ErrCompacted if the store came back from a copy meanwhile.
	List(ctx context.Context, kind string) ([]StoreObject, Revision, error)
	// Watch waits for changes of a kind after a revision and returns them with
	// the revision to continue from. It returns no changes if there were none
	// within wait, and ErrCompacted if the history after the revision is gone or
	// the revision is of an earlier era.
	Watch(ctx context.Context, kind string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Put writes value if the object has the expected revision (zero: it does not
	// exist) and returns the new revision, or ErrConflict.
	Put(ctx context.Context, kind, name string, expected Revision, value []byte) (Revision, error)
	// Delete removes the object if it has the expected revision. It returns
	// ErrConflict or ErrNotFound otherwise.
	Delete(ctx context.Context, kind, name string, expected Revision) error
}
