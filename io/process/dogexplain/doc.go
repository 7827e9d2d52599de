// Package dogexplain defines the answer of a node to the question where a request would
// go now, and why, and fetches it from a node.
//
// # Usage
//
// A node serves POST requests to Path on its metrics listener, whose body is a Query:
//
//	mux.Handle("POST "+dogexplain.Path, dogexplain.Handler(func(q dogexplain.Query) dogexplain.Answer { ... }))
//
// The operators' command fetches the answer:
//
//	a, err := dogexplain.Fetch(ctx, client, "127.0.0.1:7109", dogexplain.Query{Method: "GET", Host: "shop.example", Path: "/orders/17"})
//
// The key of a query is sent in the body, so that it is in no address that is logged. No
// answer holds a key. The package decides nothing.
package dogexplain
