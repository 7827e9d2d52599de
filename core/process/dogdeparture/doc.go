// Package dogdeparture decides when the departure of a target may be acknowledged while the
// store is away, and who must be told of it.
//
// A departure binds the node that acknowledged it, also after a restart of its process, of
// which nothing lasts. The store keeps departures in the entries of nodes. While it is away
// other nodes keep copies. They return a departure to its node until the store holds it, as
// they cannot see whether the node was restarted and has forgotten it.
//
// A node that starts while the store is away asks other nodes for copies, and whether they
// have run for long enough to have received them all.
//
// A Ledger holds what one node knows: the departure of its own target with the nodes that
// have a copy, and the copies that it keeps for others.
//
// # Usage
//
//	l := dogdeparture.New()
//	l.SetOwn(departure)
//	l.Copied("depot-2", departure) // For each node that has taken a copy.
//	if l.Safe(others) {
//		// Acknowledge the departure.
//	}
//	for _, c := range l.Copies(now) {
//		// Return c.Departure to c.Node.
//	}
package dogdeparture
