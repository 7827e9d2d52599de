// Package dogadmit decides which requests one target runs, and in which order.
//
// Admission holds the adaptive concurrency limit, the queue and the cutoff of
// one target (docs/design.md, 5.3):
//
//   - The limit follows the ratio of the long-term minimum latency to the
//     short-term mean latency. A reduction that does not reduce the latency is
//     reverted, because then the target itself is slower and not overcommitted.
//   - The queue is ordered by priority, and by arrival within a priority. Its
//     capacity is what can be served within a short time.
//   - The cutoff rises when requests persistently wait longer than the target
//     delay, and falls in growing steps once the wait is short again.
//   - The ramp holds the limit down after a start or a recovery of the target, if
//     Options.Ramp is set (docs/design/pace.md).
//   - The rate is the number of requests per second that a target in need takes. Only
//     the node beside the target sends to it, so that this node alone keeps the rate.
//
// # Usage
//
//	adm := dogadmit.New(dogadmit.Options{Slots: 45, Rand: rng})
//	v := adm.Offer(now, req)
//	// Act on v. When the request has ended:
//	dequeued := adm.Done(now, req.ID(), sample)
//	// At least every 10 ms while requests wait:
//	dequeued = adm.Expire(now)
//
// The package starts no timers, does no I/O and does not route. It is not safe
// for concurrent use.
package dogadmit
