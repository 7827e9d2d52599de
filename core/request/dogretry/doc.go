// Package dogretry bounds the attempts of a customer request.
//
// A Ledger holds the retry budget of one request in progress. Child calls and
// attempts take shares of it, unused units return when a share is settled, and
// a share whose answer is lost stays used. Attempts beyond the first are thus
// at most the budget, at any depth and fan-out.
//
// Resends bounds what callers send again, per customer.
//
// # Usage
//
//	l := dogretry.NewLedger(2)
//	s := l.Child()             // Half of what remains, rounded up.
//	ok := s.Dispatched()       // Before the child call is sent, if ok.
//	s.Settle(used)             // With the count from the answer, or s.Lost().
//	used := l.Close()          // When the headers of the answer are sent.
//
// The package does not send anything and does not decide which failures are
// worth a further attempt.
package dogretry
