// Package dogfleet holds what a node knows of the other nodes: their entries in
// the platform's store, and whether they answered lately.
//
// Entries do not expire. What has failed is seen first on connections, so a
// node keeps its own list of those that it cannot reach and probes them until
// they answer. An entry whose node stays unreachable is named for removal; a
// node that lives writes its entry again when it sees it removed.
//
// # Usage
//
//	f := dogfleet.New()
//	f.Put(now, entry, version)
//	f.Unreachable(now, "rounds-2")
//	targets := f.Targets()
//	for _, name := range f.Probes(now) {
//		// Connect to the node and report Reachable or Unreachable.
//	}
package dogfleet
