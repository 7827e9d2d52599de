// Package dogroute chooses the target of a request.
//
// Router prefers the sender's data centre, then takes the less utilised of two
// random targets, by the requests in flight and the load that the target
// reported, relative to its limit (docs/design.md, 5.4). Failures that this node
// observed lower a target's weight at once; reports of the target do not raise
// it. New targets get their full share after 10 s, draining targets get none.
//
// With Options.ByCompletion it compares the expected completion times in place of
// the utilisation, from the service times that targets report, and new targets get
// the share that their reported limit permits (docs/design/uneven-targets.md).
//
// Content that is not known to have completed on any target goes only to the
// two targets that rendezvous hashing of its digest picks, so content that
// crashes its targets reaches few of them.
//
// # Usage
//
//	rt := dogroute.New(dogroute.Options{DataCentre: "midrand", Rand: rng})
//	target, reason := rt.Pick(now, req, targets, tried)
//	if reason != dogwoodford.ReasonNone {
//		// No target: answer "not run".
//	}
//	rt.RecordDispatch(now, target.Node)
//	// On the end of the dispatch:
//	rt.RecordDispatchEnd(now, target.Node, latency, failed, load)
//
// The package does not discover targets; the caller passes them in. It is not
// safe for concurrent use.
package dogroute
