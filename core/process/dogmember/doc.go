// Package dogmember implements the membership protocol of the fleet and the
// gossip of state between its nodes.
//
// It follows SWIM: a node probes one peer a second, directly and on a miss
// through three others, and piggybacks a bounded number of updates on each
// message. A member that does not answer is suspected for 4 s, during which it
// can refute the suspicion with a higher incarnation, and is then declared
// failed.
//
// # Records
//
// A Member record is ordered by incarnation, then by rank: alive, draining,
// failed, left; a suspicion joins the record of its incarnation. Merging is a
// join of a semilattice, so all nodes converge to the same records in whatever
// order the updates arrive. A node raises its incarnation whenever it changes
// its own record.
//
// A claim by another node that a member failed takes effect after the suspicion
// timeout. If the sender was itself declared failed within the last minute, the
// claim waits for Options.UntrustedClaimTimeout: when a network partition heals,
// each half claims that all of the other half failed, and the members need time
// to refute. A node does not forward a claim before it acts on it.
//
// # Repair
//
// Updates are sent a bounded number of times, so a node can miss one. Each probe
// carries a hash of all records. Nodes whose hashes differ compare up to 1,024
// partial hashes and exchange only the differing records (anti-entropy). Failed
// members and seeds are probed at a low rate, members for
// Options.EndedRetention, so that the halves of a network partition find each
// other without the platform.
//
// # Seeds
//
// The platform holds an object for each data centre that names up to 16 of its
// ready members. A node that joins reads these objects. The keepers, which are
// the two ready members of the data centre with the lowest names, update the
// object.
//
// # Usage
//
//	m := dogmember.New(time.Now(), dogmember.Options{...})
//	for _, act := range m.OnEvent(time.Now(), dogmember.Tick{}) {
//		switch act := act.(type) {
//		case dogmember.Probe:
//			// Send act.Message to act.Peer; report ProbeAnswered or ProbeFailed.
//		}
//	}
//
// The driver sends a Tick every 100 ms. The package does no I/O, reads no clock
// and is not safe for concurrent use. It does not interpret updates other than
// member records: it disseminates them and passes received ones to the driver.
package dogmember
