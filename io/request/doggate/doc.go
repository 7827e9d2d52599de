// Package doggate makes admission and routing, which are state machines without
// a lock or clock, safe for concurrent use, and passes them the current time.
//
// # Usage
//
//	g := doggate.NewGate(admission)
//	if v := g.Enter(ctx, r); v.Action() == dogwoodford.Run {
//		// Run the request.
//		g.Leave(r.ID(), dogwoodford.Sample{Latency: d})
//	}
package doggate
