// Package dogrelay forwards requests from callers to targets through two nodes.
//
// The entry is the node on the caller's machine. It finds the route, chooses a
// target and makes further attempts if the kind of the request and the retry
// budget permit. The guard is the node on the target's machine, and the only
// process that connects to the target. It queues requests by priority, sends
// them to its target, validates the responses, and reports whether a request
// has run. If entry and guard are the same node, the request does not leave the
// process.
//
// A request is answered "not run" only if it was never written to a target, or
// if the target reported that it did not run it.
//
// # Usage
//
//	h := dogrelay.New(dogrelay.Config{...})
//	go http.Serve(outbound, h.Entry())
//	go http.Serve(inbound, h.Guard())
package dogrelay
