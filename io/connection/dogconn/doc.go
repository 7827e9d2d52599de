// Package dogconn holds the HTTP transports of a node: one to other nodes and
// one to the node's own target.
//
// A transport sends a call at most once. The retries of net/http are switched
// off for calls that may have reached the other side: bodies never have a
// GetBody, calls without a body get one that net/http does not take for
// replayable, and Idempotency-Key headers are removed. Each call reports how
// far it came, so that dogoutcome can tell not run from unknown.
//
// # Usage
//
//	t := dogconn.NewTarget(dogconn.Options{MaxConns: 360})
//	resp, stage, err := t.Do(req)
//
// The package does not choose where to send, makes no further attempt, and
// does not interpret headers of dogwoodford.
package dogconn
