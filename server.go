package dogwoodford

import (
	"context"
	"net"
)

// HTTPServer serves HTTP on listeners. Implementations are safe for concurrent use.
type HTTPServer interface {
	// Serve accepts connections of ln until Shutdown or Close, when it returns
	// http.ErrServerClosed, or until Accept fails.
	Serve(ln net.Listener) error
	// Shutdown closes the listeners and the idle connections, and waits for the
	// requests in progress. It returns the error of ctx if ctx is done before.
	Shutdown(ctx context.Context) error
	// Close closes the listeners and all connections.
	Close() error
}
