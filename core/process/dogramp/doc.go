// Package dogramp finds the concurrency limit of a target that starts or
// recovers.
//
// A target that has just started is slow for some seconds, and nobody knows for
// how many. Ramp is kept by the guard beside the target, which sees all its
// answers. It starts with a part of the ordinary limit, and evaluates the answers
// in rounds: a round of good answers doubles the limit, and one of slow or failed
// answers halves it. The ramp ends when the limit reaches the ordinary one, or
// when the answers have not become faster for some rounds; docs/design/pace.md
// gives the reasons.
//
// # Usage
//
//	var rp dogramp.Ramp
//	rp.Start(now, ordinary, dogramp.Conditions{Cold: cold})
//	// On each answer:
//	rp.Observe(now, dogramp.Answer{Time: selfTime}, ordinary)
//	if rp.Active() {
//		limit = min(limit, rp.Limit())
//	}
//
// The package starts no timers. It is not safe for concurrent use.
package dogramp
