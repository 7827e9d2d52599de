// Package dogrange decides which node owns each key range of a service, and
// which keys that node may run.
//
// A service has dogwoodford.KeyRanges ranges. Each is one object of the
// platform, whose [Value] names the epoch, the owner, the witness and the
// window [Start, End). A key belongs to the epoch whose window holds the key's
// own issue time. Windows of successive epochs never overlap, so two nodes can
// never both run one key, whatever their clocks say and however long one of
// them was paused.
//
// # Usage
//
// One [Ranges] serves a node and belongs to one goroutine. The shell feeds it
// events and carries out the actions:
//
//	rs := dogrange.New(cfg, rnd)
//	for _, a := range rs.OnEvent(now, dogrange.Tick{}) { // every 250 ms
//		switch a := a.(type) {
//		case dogrange.WriteObject:
//			// Put, then feed dogrange.Written with the same Op.
//		case dogrange.Publish:
//			table.Store(a.Table)
//		}
//	}
//
// Traffic goroutines load the published [Table]. An entry asks [Table.Lookup]
// for the holder of a key; an owner asks [Table.May] and passes the grant's
// epoch to dogrecord's Begin, which has the last word: it refuses keys at or
// above a cap and keys of closed epochs under its own lock.
//
// # Duties of the shell
//
// Every ReadObject, WriteObject, AskPromise and SendRecords is answered by
// exactly one event with its Op; a call that times out counts as
// dogwoodford.ErrUnavailable. CapWindow, LiftCap and SendRecords act on
// dogrecord before any later action of the same range. An
// incarnation is chosen at the process start, rises from one start of a node to
// the next, and does not change in between.
//
// The package does no I/O, keeps no records of keys, and does not detect
// failed nodes: membership tells it.
package dogrange
