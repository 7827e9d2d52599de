package dogretry

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// tree simulates the attempts of one customer request on nodes, each with its
// own ledger, and counts the attempts beyond the first of each call.
type tree struct {
	t     *rapid.T
	extra int
	calls int
}

// sender makes attempts of one call with its budget and returns the units
// that it reports as used.
func (s *tree) sender(budget, depth int) int {
	l := NewLedger(budget)
	for {
		share := l.Attempt(rapid.Bool().Draw(s.t, "all"))
		used := s.target(share.Units(), depth)
		if rapid.Bool().Draw(s.t, "lost") {
			share.Lost()
		} else {
			share.Settle(used)
		}
		if !rapid.Bool().Draw(s.t, "again") || !l.Retry() {
			return l.Close()
		}
		s.extra++
	}
}

// target makes child calls, some of them at once and some settled after the
// answer was sent.
func (s *tree) target(budget, depth int) int {
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
		used = append(used, s.sender(share.Units(), depth-1))
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
	// A late child call gets nothing.
	if late := l.Child(); late.Units() != 0 || l.Retry() {
		s.t.Fatal("units given out after Close")
	}
	return n
}

// Guards against retries that multiply along the call tree.
func TestAttemptsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 20).Draw(t, "budget")
		s := &tree{t: t}
		used := s.sender(budget, rapid.IntRange(0, 8).Draw(t, "depth"))
		if s.extra > used || used > budget {
			t.Fatalf("%d attempts beyond the first, %d reported, budget %d", s.extra, used, budget)
		}
	})
}

// Guards against shares that are rounded otherwise than the design says, and
// against counts that are not credible giving units back.
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

// Guards against "not run" for a request whose child call is sent just after.
func TestSeal(t *testing.T) {
	l := NewLedger(1)
	if l.Child(); !l.Seal() || l.Child().Dispatched() || l.Dispatched() {
		t.Error("child call dispatched after Seal")
	}
	l = NewLedger(1)
	if !l.Child().Dispatched() || l.Seal() || !l.Child().Dispatched() {
		t.Error("Seal held although a child call was dispatched")
	}
}

// Guards against callers that send everything twice.
func TestResends(t *testing.T) {
	r := NewResends()
	rapid.Check(t, func(t *rapid.T) {
		customer := rapid.StringN(8, 8, -1).Draw(t, "customer")
		percent, burst := rapid.IntRange(0, 50).Draw(t, "percent"), rapid.IntRange(0, 20).Draw(t, "burst")
		first, resent := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "requests") {
			if rapid.Bool().Draw(t, "resend") {
				if r.Resend(customer, burst) {
					resent++
				}
			} else {
				first++
				r.First(customer, percent, burst)
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
