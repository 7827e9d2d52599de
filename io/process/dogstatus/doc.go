// Package dogstatus defines the status that a node serves at GET /status on its
// admin listener, and fetches it from other nodes.
//
// # Usage
//
// A node serves the result of a function that describes its current state:
//
//	mux.Handle("GET /status", dogstatus.Handler(func() dogstatus.Status { ... }))
//
// The operators' commands fetch it:
//
//	s, err := dogstatus.Fetch(ctx, client, "127.0.0.1:7104")
//
// The fields are described in docs/operators.md. Clients ignore unknown fields, so
// that they can fetch the status of nodes of different versions.
//
// The package neither collects the state nor takes decisions based on it.
package dogstatus
