// Package dogquota decides how the quotas of workspaces are kept over all nodes.
//
// One node lends the tokens of a workspace: the first one by rendezvous hashing among
// the reachable nodes. Its Lender holds a token bucket for each workspace. The Borrower
// of each node asks the lender for tokens when requests wait for them, keeps tokens that
// were lent in advance for a short time, refuses requests by itself until the time that
// the lender has named, and has a small bucket of its own for the time in which no lender
// answers.
//
// A Node joins both. Messages between nodes are short binary datagrams. The package does
// no I/O: the caller sends what Flush returns and passes messages to Receive. All functions take the
// time as an argument; its monotonic part must be present or absent in all of them.
//
// docs/design/quotas.md shows that the bounds hold.
//
// # Usage
//
//	n := dogquota.NewNode(now, dogquota.Options{Name: name, Bound: bound, Rand: rand})
//	n.SetLimits(limits)
//	n.SetView(now, view)
//	d := n.Take(now, dogquota.Workspace{ID: dogquota.WorkspaceID(name), Limit: limit})
//	out, resolved := n.Flush(now)
//	// Send out. If d.Verdict is Wait, call n.Resume when the workspace is resolved by
//	// Flush, Receive or Expire.
package dogquota
