package dogpeer

import (
	"context"
	"net/http"
	"time"

	"dogwoodford/core/process/dogmember"
)

// Handler answers the calls of peers. Implementations are safe for concurrent
// use and do not keep the values that they are given. The errors are sent to
// the caller as unavailable.
type Handler interface {
	Probe(ctx context.Context, from string, m dogmember.Message) (dogmember.Message, error)
	ProbeVia(ctx context.Context, from, peer string) (alive bool, err error)
	Notify(ctx context.Context, from string, m dogmember.Message) error
	Pull(ctx context.Context, from string, req PullRequest) (PullResponse, error)
	Promise(ctx context.Context, p Promise) (Grant, error)
	HandOver(ctx context.Context, h HandOver) (Grant, error)
}

// ServerOptions configure a handler. Zero values take the defaults in the
// comments.
type ServerOptions struct {
	Key        string        // Peer key of the settings.
	Timeout    time.Duration // Longest time of a call; 2 s.
	Concurrent int           // Calls at once, others are refused; 256.
	ReadBytes  int           // Largest message read; 1 MiB.
}

// NewHandler returns the path and the handler of the Peer service. It panics if
// the key is empty.
func NewHandler(h Handler, opt ServerOptions) (string, http.Handler) { return "/", nil }

// Counts are totals of a client or server since its start, for metrics.
type Counts struct {
	Calls     int64
	Failures  int64 // Calls that ended with an error.
	Refused   int64 // Calls refused at the bound on calls at once.
	BytesSent int64 // Encoded messages.
	BytesRead int64
}
