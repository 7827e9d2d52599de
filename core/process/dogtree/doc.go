// Package dogtree estimates how often the call trees of a class complete, and decides
// which requests of callers are started.
//
// A target runs a request by calling other services. If the calls most probably fail, as
// while a service at the end of the tree refuses everything, the request is started in
// vain: its work is thrown away, its calls use up the retry budget, and a caller whose
// request must not run twice cannot send it again. A request that is refused before its
// start has lost nothing and may come back when the calls succeed again.
//
// The node beside a target counts with a Recorder the runs in which a child call failed,
// and sends the counts with its answers. The entry collects them in an Estimator. While
// few trees complete, it refuses requests that have most of their time left, so that
// each can come back once; what has come back, and a few others that show when the calls
// succeed again, are started.
//
// # Usage
//
//	recorder.Record(now, "invoice", childFailed)
//	estimator.AddReport(now, "invoice", "billing-3", recorder.Runs(now, "invoice"))
//	if retryAfter, ok := estimator.Admit(now, dogtree.Request{Class: "invoice", Left: 5 * time.Second}); !ok {
//		// Refuse the request as not run, with the hint.
//	}
package dogtree
