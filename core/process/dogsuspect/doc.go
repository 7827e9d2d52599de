// Package dogsuspect finds requests that crash the targets that run them.
//
// The digests in progress at a target when it dies become suspects at every
// node. A suspect runs alone among suspects at a target, so that the next death
// tells which one was to blame: a digest in progress at two deaths, with no
// other suspect in progress at the second, is quarantined for 15 min or until an
// operator releases it. A suspect that completes is no longer one, so that
// innocents do not stay condemned.
//
// # Parts
//
// Suspects belongs to the control state: it merges what nodes tell and yields
// an immutable View. Gate belongs to one target and stands on the request path
// under the lock of its guard: it decides on starts with the View, and says
// what was in progress at a death.
//
// # Merging
//
// A Report is a death with all digests in progress there, a clearance or a
// release. The standing of a digest is a function of the set of reports,
// whatever their order and number, so that all nodes come to the same result. A
// clearance or release covers the deaths up to its time.
//
// When the only two deaths of a digest share another digest that was not
// cleared, nothing tells the culprit: both stay suspects, and the first that
// completes is cleared, which convicts the other.
//
// # Usage
//
//	s := dogsuspect.New(dogsuspect.Options{Node: name})
//	g := dogsuspect.NewGate()
//	switch v := g.Start(now, view, id, digest); v.Action() {
//	case dogwoodford.Run:
//		// Dispatch, then g.Done(now, view, id, completed).
//	case dogwoodford.Refuse:
//		// Answer not run.
//	}
//	acts := s.OnEvent(now, dogsuspect.TargetDied{ID: deathID, Digests: g.Died()})
//
// The package does no I/O. Suspects and Gate are not safe for concurrent use; a
// View is. Nothing is reported when the node dies together with its target.
package dogsuspect
