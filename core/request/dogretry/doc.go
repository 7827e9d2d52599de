// Package dogretry bounds the attempts of a customer request.
//
// A Ledger holds the retry budget of one request in progress. Child calls and
// attempts take shares of it, unused units return when a share is settled, and
// a share whose response is lost counts as used. The number of attempts beyond
// the first is thus at most the budget, at any depth and fan-out.
//
// ResendBudgets limits the resends of callers, per customer.
//
// # Usage
//
//	l := dogretry.NewLedger(2)
//	s := l.Child()             // Half of what remains, rounded up.
//	ok := s.RecordDispatch()   // Before the child call is sent, if ok.
//	s.Settle(used)             // With the count from the response, or s.SettleAll() if it was lost.
//	used := l.Close()          // When the headers of the response are sent.
//
// The package does no I/O and does not decide which failures are retried.
package dogretry
