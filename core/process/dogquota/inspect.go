package dogquota

import "time"

// Inspection tells what Node.Take would decide on a request of a workspace.
type Inspection struct {
	Lender string // Node that lends the tokens.
	Tokens int    // Tokens at this node.
	// Verdict is Wait if the node would ask the lender.
	Verdict    Verdict
	RetryAfter time.Duration // If refused.
	Fallback   bool          // No lender has answered, and the fallback bucket decides.
}

// Inspect returns what Take would decide on a request of a workspace. It takes no token,
// sends nothing and changes nothing. With Fallback the verdict is not known.
func (n *Node) Inspect(now time.Time, workspace uint64) Inspection {
	out := Inspection{Lender: n.rank(workspace, n.view.Reachable).First, Verdict: Wait}
	known := n.borrower.accounts[workspace]
	if known == nil {
		return out
	}
	for _, l := range known.hand {
		if now.Before(l.expiry) {
			out.Tokens += l.n
		}
	}
	switch {
	case out.Tokens > 0:
		out.Verdict = Granted
	case known.lost && now.Before(known.askAgainAt):
		out.Fallback = true
	case now.Before(known.refuseUntil):
		a := *known // Refusing counts in the account.
		d := a.refuse(now)
		out.Verdict, out.RetryAfter = d.Verdict, d.RetryAfter
	}
	return out
}
