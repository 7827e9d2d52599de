// Package dogconfig decides which generation of each customer's contract is in
// force at a node.
//
// A generation in force is never replaced by a lower one, whatever the source:
// the platform, a peer, a platform restored from a backup, or an answer that
// arrives late. Two texts with the same generation are a conflict: it is
// reported, and the text with the greater SHA-256 is in force on every node.
//
// Two nodes per data centre, the watchers, watch the platform's objects. The
// other nodes learn of generations by gossip and pull the text from the node that
// announced it. When the platform holds an older generation than the one in
// force, or none, the watchers write the one in force back by conditional update.
//
// # Usage
//
//	c := dogconfig.New(dogconfig.Options[*dogcontract.Contract]{Parse: parse, Rand: rnd, Node: name})
//	for _, act := range c.OnEvent(now, dogconfig.ObjectSeen{Object: obj}) {
//		// Carry out act.
//	}
//	contract := c.Snapshot()["firm-1"].Contract
//
// The package does no I/O, does not interpret contracts and is not safe for
// concurrent use. It has no way to remove a customer: a contract that is
// missing from the platform is written back.
package dogconfig
