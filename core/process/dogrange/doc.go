// Package dogrange decides which node owns each key range of a service, and
// which keys that node may run.
//
// A service has dogwoodford.KeyRanges ranges. Each is stored as one object of
// the platform, whose [Value] names the epoch, the owner, the witness and the
// window [Start, End). A key belongs to the epoch whose window contains the
// issue time encoded in the key. Windows of successive epochs never overlap, so
// two nodes can never both run one key, whatever their clocks show and however
// long one of them was paused.
//
// # Usage
//
// One [Ranges] serves a node and belongs to one goroutine. The shell, the code
// around the package that does the I/O, feeds it events and carries out the
// actions:
//
//	rs := dogrange.New(cfg, rnd)
//	for _, a := range rs.OnEvent(now, dogrange.Tick{}) { // every 250 ms
//		switch a := a.(type) {
//		case dogrange.WriteObject:
//			// Put, then feed dogrange.ObjectWritten with the same Op.
//		case dogrange.Publish:
//			table.Store(a.Table)
//		}
//	}
//
// Goroutines that serve traffic load the published [Table]. An entry asks
// [Table.Lookup] for the holder of a key; an owner asks [Table.MayRun] and
// passes the grant's epoch to dogrecord's Begin. Begin makes the final decision:
// it refuses, under its own lock, keys at or above a cap and keys of closed
// epochs.
//
// # Duties of the shell
//
// The shell answers every ReadObject, WriteObject, AskPromise and SendRecords
// with exactly one event that carries the same Op; a call that times out counts
// as dogwoodford.ErrUnavailable. CapWindow, LiftCap and SendRecords must be
// applied to dogrecord before any later action of the same range. The
// incarnation is chosen when the process starts, is higher than that of every
// earlier process of the node, and does not change while the process runs.
//
// The package does no I/O, keeps no records of keys, and does not detect failed
// nodes; the state of the nodes comes from the membership.
package dogrange
