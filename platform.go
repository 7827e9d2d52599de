package dogwoodford

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of the platform's object service.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = eris.New("object not found")
	// ErrConflict means that the version of the object is not the expected one.
	ErrConflict = eris.New("object has another version")
	// ErrUnavailable means that the service did not respond. A write may have
	// taken effect.
	ErrUnavailable = eris.New("object service unavailable")
)

// MaxObjectBytes is the size of the largest value that the object service
// holds.
const MaxObjectBytes = 1 << 20

// Object is one value of the platform's object service.
type Object struct {
	Name    string
	Version int64 // Set by the service; 0 means that the object does not exist.
	Value   []byte
}

// Platform is the platform's object service. Implementations are safe for
// concurrent use.
type Platform interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names start with prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the object has the expected version (0: it does not
	// exist) and returns the new version. It returns ErrConflict if the
	// version differs, and ErrUnavailable if the response was lost.
	Put(ctx context.Context, name string, expected int64, value []byte) (int64, error)
	// Watch returns the objects under prefix that changed after the given
	// revision, and the revision to continue from. It blocks until there is a
	// change or ctx is done.
	Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error)
}
