// Package dogcrash finds requests that crash the targets that run them.
//
// The same content (path, caller and body) can come again at any node, and
// crash one target after another. Each node tells the others which contents
// were in progress when its target crashed. A content that was in progress at
// several crashes, and that no target is known to have completed, is
// quarantined: nodes refuse it. Most contents in progress at a crash are
// innocent; those that come again complete somewhere, and what has completed is
// never quarantined. If more than one could be to blame, none is quarantined,
// as the innocent ones complete before long.
//
// Guard belongs to one target and remembers what may have crashed it. Table
// holds the reports of all nodes.
//
// # Usage
//
//	g := dogcrash.NewGuard("rounds-1/1767225600000")
//	g.Start(id, digest)
//	g.End(now, id, broken)
//	if report, ok := g.Crashed(now); ok {
//		table.Report(now, table.Unknown(report)) // Tell the other nodes too.
//	}
//	if left := table.Quarantined(now, digest); left > 0 {
//		// Answer "not run".
//	}
//
// Unlike dogsuspect, the package isolates nothing and needs no messages for
// contents that complete, which suits nodes that only share a store. It does no
// I/O and is not safe for concurrent use.
package dogcrash
