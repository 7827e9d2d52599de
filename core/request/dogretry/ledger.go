package dogretry

import "sync"

// Ledger is the retry ledger of one request in progress. It is safe for
// concurrent use, as a target may make child calls at once.
type Ledger struct {
	mu         sync.Mutex
	budget     int
	remains    int
	closed     bool
	sealed     bool // No child call may be dispatched any more.
	dispatched bool
}

// NewLedger returns a ledger with a budget of n units; negative n means none.
func NewLedger(n int) *Ledger {
	n = max(0, n)
	return &Ledger{budget: n, remains: n}
}

// Share is a part of a ledger held by one child call or one attempt. It ends
// with the first call of Settle or Lost.
type Share struct {
	ledger *Ledger
	units  int
	ended  bool
}

// Units returns the number of units of the share.
func (s *Share) Units() int { return s.units }

// Child takes half of what remains, rounded up. After Close it is empty.
func (l *Ledger) Child() *Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take((l.remains + 1) / 2)
}

// Attempt takes the share that an attempt of this request carries onward. It
// is half of what remains, rounded down, so that a lost answer leaves units for
// a further attempt; with all set, everything that remains.
func (l *Ledger) Attempt(all bool) *Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all {
		return l.take(l.remains)
	}
	return l.take(l.remains / 2)
}

// Retry spends one unit on a further attempt. It reports false, and spends
// nothing, if none remains.
func (l *Ledger) Retry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.remains == 0 {
		return false
	}
	l.remains--
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
	return l.budget - l.remains
}

// Dispatched reports whether a child call was dispatched.
func (l *Ledger) Dispatched() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatched
}

// Seal forbids child calls if none was dispatched, and reports whether that is
// so. Without it a child call could be dispatched just after its request was
// found not run.
func (l *Ledger) Seal() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sealed = l.sealed || !l.dispatched
	return l.sealed
}

// take needs l.mu.
func (l *Ledger) take(n int) *Share {
	if l.closed {
		n = 0
	}
	l.remains -= n
	return &Share{ledger: l, units: n}
}

// Dispatched records that the child call of the share is about to be sent. It
// reports false if the call must not be sent, as Seal came first.
func (s *Share) Dispatched() bool {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.ledger.sealed {
		return false
	}
	s.ledger.dispatched = true
	return true
}

// Settle returns the units that were not used. A count outside [0, Units] is
// not credible and counts as all used.
func (s *Share) Settle(used int) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	// After Close the count has been reported, so nothing may return.
	if used >= 0 && used <= s.units && !s.ledger.closed {
		s.ledger.remains += s.units - used
	}
}

// Lost counts all units as used, as the answer that would tell was lost.
func (s *Share) Lost() { s.Settle(s.units) }
