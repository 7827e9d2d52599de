// Package doggate puts locks and clocks around the decisions on admission and
// routing, which are plain state machines.
//
// # Usage
//
//	g := doggate.NewGate(admission)
//	if v := g.Enter(ctx, r); v.Action() == dogwoodford.Run {
//		// Run the request.
//		g.Leave(r.ID(), dogwoodford.Sample{Latency: d})
//	}
package doggate
