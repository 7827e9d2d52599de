// Package dogpressure keeps the cutoffs that services report on their answers
// and decides what an entry or exit refuses early.
//
// A node keeps one Table. Its entry and exit record the Report of every answer
// and call Admit before every dispatch. Its guard calls UpstreamReport for the
// report to send with each of its own answers (docs/design.md, 5.3).
//
// A report has two parts. Own is the cutoff of the reporting target and applies
// to every request. Downstream is the highest cutoff of the services that
// requests of the same root class call beneath that target; it applies to that
// class only, because other classes may not need these services.
//
// Requests must carry the hop of their call, 0 at the entry and one more for
// each child call. The table keeps downstream reports by hop, because otherwise
// nodes would receive their own reports back.
//
// # Usage
//
//	t := dogpressure.New(dogpressure.Options{Rand: rng})
//	if v := t.Admit(now, req); v.Action() == dogwoodford.Refuse {
//		// Answer "not run".
//	}
//	// On an answer to req from node:
//	t.AddReport(now, req, node, report)
//	// In the guard, when answering req:
//	report := t.UpstreamReport(now, req, adm.Load(now).Cutoff)
//
// The package neither sets the cutoff of a target (see dogadmit) nor chooses
// targets (see dogroute). It is not safe for concurrent use.
package dogpressure
