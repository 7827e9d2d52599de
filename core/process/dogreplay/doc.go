// Package dogreplay replays a trace file through the decision logic in virtual
// time and compares what came out with what the file expects.
//
// The decisions are the real ones: dogadmit, dogpressure and dogroute. The
// targets, the links and the clients are fakes: a target has slots, a
// distribution of service times and a cold start; a link has a fixed delay and
// may be cut. Two baselines run on the same fakes: None, without any control,
// and Fixed, with fixed concurrency limits and FIFO queues. docs/traces.md
// describes the format and the model.
//
// # Usage
//
//	tr, err := dogreplay.Parse("surge.trace", text)
//	if err != nil {
//		return err // Names the line.
//	}
//	res := dogreplay.Run(tr, dogreplay.Ours, 1)
//	for _, line := range res.Expectations {
//		fmt.Println(line.Text, line.Pass)
//	}
//
// The same trace, policy and seed give the same result. The package reads no
// files and opens no connections. It does not replay gossip, key ranges or the
// platform's object service: changes of membership reach the nodes after fixed
// delays, and a call that may run only once is never sent again after it may
// have run.
package dogreplay
