// Package dogsuspect finds requests that crash the targets that run them.
//
// The digests of the requests in progress at a target when it dies become
// suspects at every node. A target runs at most one suspect at a time, so that
// the next death identifies its cause: a digest in progress at two deaths, with
// no other suspect in progress at the second, is quarantined for 15 min or until
// an operator releases it. A suspect that completes is cleared, so that harmless
// digests do not remain suspects.
//
// # Parts
//
// Suspects belongs to the control state: it merges the reports of all nodes and
// provides an immutable View. Gate belongs to one target and is called on
// the request path, under the lock of the guard: it uses the View to decide whether a request
// starts, and returns what was in progress at a death.
//
// # Merging
//
// A Report is a death with all digests in progress there, a clearance or a
// release. The standing of a digest is a function of the set of reports,
// whatever their order and number, so all nodes reach the same result. A
// clearance or release cancels the deaths up to its time.
//
// When the only two deaths of a digest share another digest that was not
// cleared, the cause cannot be identified: both remain suspects. The first that
// completes is cleared, and the other is then quarantined.
//
// # Usage
//
//	s := dogsuspect.New(dogsuspect.Options{})
//	g := dogsuspect.NewGate()
//	switch v := g.Start(now, view, id, digest); v.Action() {
//	case dogwoodford.Run:
//		// Dispatch, then g.Done(now, view, id, completed).
//	case dogwoodford.Refuse:
//		// Answer not run.
//	}
//	acts := s.OnEvent(now, dogsuspect.TargetDied{ID: deathID, Digests: g.RecordDeath()})
//
// The package does no I/O. Suspects and Gate are not safe for concurrent use; a
// View is. If the node dies together with its target, the death is not reported.
package dogsuspect
