// Package dogconn provides the HTTP transports of a node: one to other nodes
// and one to the node's own target.
//
// A transport sends a call at most once. The retries of net/http are disabled
// for calls that may have reached the server: requests never have a GetBody,
// calls without a body get one that net/http does not regard as replayable, and
// Idempotency-Key headers are removed. Each call returns the stage that it
// reached, so that dogoutcome can distinguish not run from unknown.
//
// Over HTTP/1, a response whose head is malformed is an error, also where net/http lets it
// pass. One that ends with its connection is whole only if the connection was closed in
// order; otherwise the read of its body returns an error in place of io.EOF.
//
// # Usage
//
//	t := dogconn.NewTarget(dogconn.Options{MaxConns: 360})
//	resp, stage, err := t.Do(req)
//
// The package does not route or retry calls and does not interpret headers of
// dogwoodford.
package dogconn
