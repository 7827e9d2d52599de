package dogretry

import "sync"

// Ledger accounts for the retry budget of one request in progress. It is safe
// for concurrent use, as a target may make child calls concurrently.
type Ledger struct {
	mu         sync.Mutex
	budget     int
	remaining  int
	closed     bool
	sealed     bool // No child call may be dispatched any more.
	dispatched bool
}

// NewLedger returns a ledger with a budget of n units, one for each attempt
// beyond the first; negative n means none.
func NewLedger(n int) *Ledger {
	n = max(0, n)
	return &Ledger{budget: n, remaining: n}
}

// Share is a part of a ledger held by one child call or one attempt. It ends
// with the first call of Settle or SettleAll.
type Share struct {
	ledger  *Ledger
	units   int
	settled bool
}

// Units returns the number of units of the share.
func (s *Share) Units() int { return s.units }

// Child takes the share of a child call: half of the remaining units, rounded
// up. After Close the share is empty.
func (l *Ledger) Child() *Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take((l.remaining + 1) / 2)
}

// Attempt takes the share that is sent along with an attempt of this request:
// half of the remaining units, rounded down, so that units for a further
// attempt are left if the response is lost; with all set, all remaining units.
// After Close the share is empty.
func (l *Ledger) Attempt(all bool) *Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all {
		return l.take(l.remaining)
	}
	return l.take(l.remaining / 2)
}

// Retry spends one unit on a further attempt. It reports false, and spends
// nothing, if none remains.
func (l *Ledger) Retry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.remaining == 0 {
		return false
	}
	l.remaining--
	return true
}

// Close ends the ledger and returns the units used. Shares that are not
// settled count as used, and later shares are empty, so the count may be
// reported while child calls are still in progress. Further calls return the
// same count.
func (l *Ledger) Close() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.budget - l.remaining
}

// ChildDispatched reports whether a child call was dispatched.
func (l *Ledger) ChildDispatched() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatched
}

// Seal prevents child calls from being dispatched, unless one was dispatched
// before, and reports whether the ledger is sealed. Without it, a child call
// could be dispatched just after its request was classified as not run.
func (l *Ledger) Seal() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sealed = l.sealed || !l.dispatched
	return l.sealed
}

// take removes n units, or none after Close, and returns them as a share. The
// caller must hold l.mu.
func (l *Ledger) take(n int) *Share {
	if l.closed {
		n = 0
	}
	l.remaining -= n
	return &Share{ledger: l, units: n}
}

// RecordDispatch records that the child call of the share is about to be sent. It
// reports false if the call must not be sent because the ledger is sealed.
func (s *Share) RecordDispatch() bool {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.ledger.sealed {
		return false
	}
	s.ledger.dispatched = true
	return true
}

// Settle ends the share and returns the units that were not used to the ledger.
// An invalid count, outside [0, Units], means that all were used.
func (s *Share) Settle(used int) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.settled {
		return
	}
	s.settled = true
	// After Close the count has been reported, so no units may return.
	if used >= 0 && used <= s.units && !s.ledger.closed {
		s.ledger.remaining += s.units - used
	}
}

// SettleAll ends the share with all units used, as the response with the count was
// lost.
func (s *Share) SettleAll() { s.Settle(s.units) }
