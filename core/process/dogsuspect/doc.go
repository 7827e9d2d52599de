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
// A Report is either a death, a clearance or a release, of one digest. The
// state of a digest is a function of the set of reports, whatever their order
// and number, so that all nodes come to the same result. A clearance or release
// covers the deaths up to its time.
//
// # Usage
//
//	s := dogsuspect.New(dogsuspect.Options{Node: name})
//	g := dogsuspect.NewGate()
//	switch v := g.Start(now, s.View(), id, digest); v.Action() {
//	case dogwoodford.Run:
//		// Dispatch, then g.Done(now, id, completed).
//	case dogwoodford.Refuse:
//		// Answer not run.
//	}
//	acts := s.OnEvent(now, dogsuspect.TargetDied{Death: g.Died(now, deathID)})
//
// The package does no I/O. Suspects and Gate are not safe for concurrent use; a
// View is. Nothing is reported when the node dies together with its target.
package dogsuspect
