// Package dogbudget bounds the retries that one node sends, so that all nodes
// together stay within the retry budget of each service.
//
// A retry is any attempt after the first of a request. The first attempt of a
// child call of a retried request counts as a retry too, an induced one.
//
// The budget of a service over a sliding window is a ratio of the requests for
// it plus a constant. A node uses its share: the ratio applies to its own
// requests, and the constant is divided among the nodes. Root requests, which
// come from callers, may use only a part of the share, as each of their retries
// repeats all calls beneath. While requests of higher priority need retries, those of
// lower priority get what they leave: a call tree in which one call fails is lost as a
// whole, so spreading retries over all trees completes fewer of those that matter.
//
// # Usage
//
//	b := dogbudget.New(dogbudget.Options{Ratio: 0.2, Slack: 48, Window: 10 * time.Second})
//	b.RecordFirst(now, "rounds")
//	if b.Allow(now, dogbudget.Request{Service: "rounds", Root: true, Priority: 2}, nodes) {
//		// Send the request once more.
//	}
package dogbudget
