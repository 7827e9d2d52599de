// Package dogstatus defines what a node tells about itself at GET /status on
// its admin listener, and reads it from other nodes.
//
// # Usage
//
// A node serves a function that describes its present state:
//
//	mux.Handle("GET /status", dogstatus.Handler(func() dogstatus.Status { ... }))
//
// The operators' commands read it:
//
//	s, err := dogstatus.Fetch(ctx, client, "127.0.0.1:7104")
//
// The fields are described in docs/operators.md. Readers ignore fields that
// they do not know, so nodes of two versions can be read side by side.
//
// The package neither collects the state nor decides anything from it.
package dogstatus
