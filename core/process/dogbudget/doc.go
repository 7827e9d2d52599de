// Package dogbudget bounds the further attempts that one node makes, so that
// all nodes together stay within the retry budget of each service.
//
// The budget of a service over a sliding window is a ratio of the requests for
// it plus a constant. A node takes its share of it: the ratio applies to its
// own requests, and the constant is divided among the nodes. Requests of
// callers may use a part of it only, as each of their further attempts repeats
// all calls beneath.
//
// # Usage
//
//	b := dogbudget.New(dogbudget.Options{Ratio: 0.2, Slack: 48, Window: 10 * time.Second})
//	b.First(now, "rounds")
//	if b.Allow(now, "rounds", nodes, true) {
//		// Send the request once more.
//	}
package dogbudget
