package dogretry

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// callTree simulates the attempts of one customer request on nodes, each with
// its own ledger. It counts the attempts beyond the first of each call.
type callTree struct {
	t       *rapid.T
	retries int
	calls   int
}

// send makes attempts of one call with its budget and returns the units that
// the call reports as used.
func (s *callTree) send(budget, depth int) int {
	l := NewLedger(budget)
	for {
		share := l.Attempt(rapid.Bool().Draw(s.t, "all"))
		used := s.serve(share.Units(), depth)
		if rapid.Bool().Draw(s.t, "lost") {
			share.SettleAll()
		} else {
			share.Settle(used)
		}
		if !rapid.Bool().Draw(s.t, "again") || !l.Retry() {
			return l.Close()
		}
		s.retries++
	}
}

// serve makes child calls, some of them settled at once and some after the
// response was sent.
func (s *callTree) serve(budget, depth int) int {
	l := NewLedger(budget)
	var open []*Share
	var used []int
	for range rapid.IntRange(0, 4).Draw(s.t, "children") {
		if depth == 0 || s.calls > 500 {
			break
		}
		s.calls++
		share := l.Child()
		open = append(open, share)
		used = append(used, s.send(share.Units(), depth-1))
		for len(open) > 0 && rapid.Bool().Draw(s.t, "settle") {
			open[0].Settle(used[0])
			open, used = open[1:], used[1:]
		}
	}
	n := l.Close()
	for i, share := range open {
		share.Settle(used[i])
	}
	if l.Close() != n {
		s.t.Fatalf("count changed from %d to %d after it was reported", n, l.Close())
	}
	// A child call after Close gets no units.
	if late := l.Child(); late.Units() != 0 || l.Retry() {
		s.t.Fatal("units given out after Close")
	}
	return n
}

// Guards against retries that multiply along the call tree.
func TestAttemptsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 20).Draw(t, "budget")
		s := &callTree{t: t}
		used := s.send(budget, rapid.IntRange(0, 8).Draw(t, "depth"))
		if s.retries > used || used > budget {
			t.Fatalf("%d attempts beyond the first, %d reported, budget %d", s.retries, used, budget)
		}
	})
}

// Guards against shares that are not rounded as the design specifies, and
// against invalid counts that return units.
func TestShares(t *testing.T) {
	l := NewLedger(5)
	a, b, c, d := l.Child(), l.Child(), l.Child(), l.Child()
	if got := fmt.Sprint(a.Units(), b.Units(), c.Units(), d.Units()); got != "3 1 1 0" {
		t.Errorf("shares %s, want 3 1 1 0", got)
	}
	a.Settle(1)
	a.Settle(0)
	b.Settle(-1)
	c.Settle(7)
	if got := l.Close(); got != 3 {
		t.Errorf("used %d, want 3", got)
	}
}

// Guards against reporting a request as not run whose child call is dispatched
// just afterwards.
func TestSeal(t *testing.T) {
	l := NewLedger(1)
	if l.Child(); !l.Seal() || l.Child().RecordDispatch() || l.ChildDispatched() {
		t.Error("child call dispatched after Seal")
	}
	l = NewLedger(1)
	if !l.Child().RecordDispatch() || l.Seal() || !l.Child().RecordDispatch() {
		t.Error("Seal held although a child call was dispatched")
	}
}

// Guards against callers that resend more than their budget, for instance each
// request.
func TestResends(t *testing.T) {
	r := NewResendBudgets()
	rapid.Check(t, func(t *rapid.T) {
		customer := rapid.StringN(8, 8, -1).Draw(t, "customer")
		percent, burst := rapid.IntRange(0, 50).Draw(t, "percent"), rapid.IntRange(0, 20).Draw(t, "burst")
		first, resent := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "requests") {
			if rapid.Bool().Draw(t, "resend") {
				if r.TryResend(customer, burst) {
					resent++
				}
			} else {
				first++
				r.RecordFirst(customer, percent, burst)
			}
		}
		if resent*100 > burst*100+first*percent {
			t.Fatalf("%d resends for %d first attempts, %d%%, burst %d", resent, first, percent, burst)
		}
	})
}

func ExampleLedger() {
	l := NewLedger(4)
	s := l.Child()
	fmt.Println(s.Units())
	s.Settle(1)
	fmt.Println(l.Retry(), l.Close())
	// Output:
	// 2
	// true 2
}
