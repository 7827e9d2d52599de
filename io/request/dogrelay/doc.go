// Package dogrelay carries requests from callers to targets through two nodes.
//
// The entry is the node beside the caller. It finds the route, chooses a target
// and makes further attempts where the kind of the request and the retry budget
// permit. The guard is the node beside the target, and the only process that
// reaches it. It queues requests by priority, sends them to its target, checks
// the answers, and says whether a request has run. If entry and guard are the
// same node, the request does not leave the process.
//
// A request is answered "not run" only if it was never written to a target, or
// if the target said that it did not run it.
//
// # Usage
//
//	h := dogrelay.New(dogrelay.Config{...})
//	go http.Serve(outbound, h.Entry())
//	go http.Serve(inbound, h.Guard())
package dogrelay
