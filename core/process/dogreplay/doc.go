// Package dogreplay replays a trace file through the decision logic in a
// discrete-event simulation and compares the results with the expectations in
// the file.
//
// The decision logic is that of production: dogadmit, dogpressure and dogroute.
// Targets, links and clients are simulated: a target has slots, a distribution
// of service times and a cold start; a link has a fixed delay and may be cut.
// Two baselines run on the same simulated targets: None, without any overload
// control, and Fixed, with fixed concurrency limits and FIFO queues.
// docs/traces.md describes the format and the model.
//
// # Usage
//
//	tr, err := dogreplay.Parse("surge.trace", text)
//	if err != nil {
//		return err // Contains the trace name and the line number.
//	}
//	res := dogreplay.Run(tr, dogreplay.Ours, 1)
//	for _, check := range res.Expectations {
//		fmt.Println(check.Text, check.Pass)
//	}
//
// A run is deterministic for a given trace, policy and seed. The package reads
// no files and opens no connections. It does not simulate gossip, key ranges or
// the platform's object service: membership changes reach the nodes after fixed
// delays, and a non-idempotent call is never retried once it may have run.
package dogreplay
