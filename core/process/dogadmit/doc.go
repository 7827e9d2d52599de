// Package dogadmit decides which requests one target runs, and in which order.
//
// Admission holds the adaptive concurrency limit, the queue and the cutoff of
// one target (docs/design.md, 5.3):
//
//   - The limit follows the ratio of the long-term minimum of latency to its
//     short-term mean. A lower limit that does not lower the latency is taken
//     back, because then the target itself is slower and not overcommitted.
//   - The queue is ordered by priority, and by arrival within a priority. It
//     holds what can be served within a short time.
//   - The cutoff rises when requests persistently wait longer than the target
//     delay, and falls in growing steps after the wait is short again.
//
// # Usage
//
//	adm := dogadmit.New(dogadmit.Options{Slots: 45, Rand: rng})
//	v := adm.Offer(now, req)
//	// Act on v, later:
//	releases := adm.Done(now, req.ID(), sample)
//	// While requests wait, at least every 10 ms:
//	releases = adm.Expire(now)
//
// The package starts no timers, sends nothing and does not route. It is not
// safe for concurrent use.
package dogadmit
