// Package dogmember decides on membership of the fleet and on what state the
// nodes tell each other.
//
// It follows SWIM: a node probes one peer a second, directly and on a miss
// through three others, and adds a bounded number of updates to each message.
// A member that does not answer is suspected for 4 s, in which it can refute by
// a higher incarnation, and then held for failed.
//
// # Records
//
// A Member record is ordered by incarnation, then by rank: alive, draining,
// failed, left; a suspicion joins the record of its incarnation. Merging is a
// join, so all nodes come to the same records in whatever order the updates
// arrive. A node raises its incarnation whenever it changes its own record.
//
// A claim by another node that a member failed takes effect after the time of a
// suspicion. If the teller was itself held for failed of late, the claim waits
// for Options.HearsayTimeout: when a cut heals, each half claims that all of the
// other half failed, and the members need time to refute. A claim is not told on
// before the node acts on it.
//
// # Repair
//
// Updates are sent a bounded number of times, so that a node can miss one. Each
// probe carries a hash of all records. Nodes whose hashes differ compare up to
// 1,024 partial hashes and exchange the differing records only. Failed members and
// seeds are probed at a low rate for Options.Forget, so that the halves of a
// cut find each other without the platform.
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
// members: it spreads them and hands received ones to the driver.
package dogmember
