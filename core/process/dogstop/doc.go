// Package dogstop decides what a node that is stopping still accepts, and when it
// answers what is unfinished, so that no request is cut off without a response.
//
// The time from the stop signal to the kill is the grace period. At first a stopping
// node serves as before, because callers and other nodes notice the stop late. Then its
// guard closes, then its entry. Child calls of requests that run at the local target
// are accepted for longer, but only if they can end in time: refusing one fails its
// parent, and accepting one that is then cut off leaves both without a response. Shortly
// before the end the node answers the requests that are still in progress.
//
// # Usage
//
//	p := dogstop.NewPlan(time.Now(), grace)
//	if !p.AcceptsCall(time.Now(), timeout) {
//		// Refuse the call as not run.
//	}
package dogstop
