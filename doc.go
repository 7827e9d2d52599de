// Package dogwoodford is the root of an overload control layer for service
// call graphs.
//
// The package holds the value types that the parts share (Request, Outcome,
// Priority, Key) and the interfaces for behaviour that varies (Admission,
// Router, Platform). Implementations stand below it: dogwoodford/core decides
// without doing I/O, dogwoodford/io does I/O without deciding.
//
// # The seam between decisions and I/O
//
// Everything below core takes events and the current time as arguments and
// returns what to do. It starts no goroutine, reads no clock and draws random
// numbers only from a source that is passed in. A driver can therefore step
// the decisions of hundreds of nodes in one process.
//
// # Usage
//
// A driver offers a request to the admission of a target and acts on the
// decision:
//
//	v := adm.Offer(now, req)
//	switch v.Action() {
//	case dogwoodford.Run:
//		// Dispatch, then report the end.
//		started := adm.Done(now, req.ID(), dogwoodford.Sample{Latency: d})
//	case dogwoodford.Wait:
//		// Keep the request until Done or Expire names it.
//	case dogwoodford.Refuse:
//		// Answer "not run" with v.Reason() and v.RetryAfter().
//	}
//
// The package does no I/O and has no state.
package dogwoodford
