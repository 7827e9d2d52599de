// Package dogwoodford is the root of an overload control layer for service
// call graphs.
//
// The package holds the value types that the other packages share (Request,
// Outcome, Priority, Key) and the interfaces of exchangeable components
// (Admission, Router, Platform). The implementations are in subdirectories:
// dogwoodford/core makes decisions without I/O, dogwoodford/io does I/O without
// making decisions.
//
// # Separation of decisions and I/O
//
// Packages below core take events and the current time as arguments and return
// the actions to take. They start no goroutines, read no clock and draw random
// numbers only from a source that is passed in. A driver can therefore simulate
// the decisions of hundreds of nodes in one process.
//
// # Usage
//
// A driver offers a request to the Admission of a target and acts on the
// verdict:
//
//	v := adm.Offer(now, req)
//	switch v.Action() {
//	case dogwoodford.Run:
//		// Dispatch, then record the end.
//		started := adm.Done(now, req.ID(), dogwoodford.Sample{Latency: d})
//	case dogwoodford.Wait:
//		// Keep the request until Done, Expire or a later Offer returns it.
//	case dogwoodford.Refuse:
//		// Answer "not run" with v.Reason() and v.RetryAfter().
//	}
//
// The package does no I/O and has no state.
package dogwoodford
