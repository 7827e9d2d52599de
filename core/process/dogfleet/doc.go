// Package dogfleet holds the view that one node has of the other nodes: their
// entries in the platform's store, and whether they are reachable.
//
// Entries do not expire. Connections show failures first, so a node keeps its
// own list of unreachable nodes and probes them until they answer. The entry of
// a node that stays unreachable is reported as stale, for removal. A running
// node writes its entry again when it observes the removal.
//
// # Usage
//
//	f := dogfleet.New()
//	f.Put(now, entry, revision)
//	f.MarkUnreachable(now, "rounds-2", silent)
//	targets := f.Targets(now)
//	for _, e := range f.Probes(now) {
//		// Connect to e.Peer and call MarkReachable or MarkUnreachable.
//	}
package dogfleet
