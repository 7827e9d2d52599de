// Package dogcrash finds requests that crash the targets that run them.
//
// Requests with the same content (path, caller and body) can arrive at any node
// and crash one target after another. Each node reports to the others which
// contents, identified by digests, were in progress when its target crashed. A
// content that was in progress at several crashes, and that no target is known to
// have completed, is quarantined: nodes refuse it. Most contents in progress at a
// crash are harmless. Those that are sent again complete somewhere, which clears
// them. If several contents could be the cause, the one that started last most often
// is quarantined, as a content crashes its target when it begins to run; between equals
// the decision waits until the harmless ones had time to complete. A quarantined
// content explains the crashes at which it was in progress, so that they do not count
// for others.
//
// A completion cancels the crashes before it, not those after it: what was harmless
// may crash targets after a release, or under another configuration. A node that
// reports a crash lists what had completed there before as doubtful, which does not
// count yet; without a completion since, the next crash does.
//
// When a quarantine ends, one node sends the content once: the one beside the target
// that crashed last. If it completes, that node tells the others; otherwise the next
// quarantine is longer.
//
// Guard belongs to one target and tracks the contents that may crash it. Table
// holds the reports of all nodes. Detector combines two of each, as a content may
// crash targets for one caller or for all.
//
// # Usage
//
//	d := dogcrash.NewDetector("rounds-1", "1767225600000")
//	d.Start(now, id, content)
//	d.End(now, id, unanswered)
//	for _, r := range d.RecordCrash(now).Reports {
//		d.AddReport(now, r) // Also send it to the other nodes.
//	}
//	if left := d.QuarantineRemaining(now, content); left > 0 && !d.Test(now, content) {
//		// Answer "not run".
//	}
//
// Unlike dogsuspect, the package does not isolate suspects and needs no messages
// for contents that complete, so it suits nodes that share only a store. It does
// no I/O and is not safe for concurrent use.
package dogcrash
