package dogbudget

import (
	"fmt"
	"testing"
	"time"
)

var options = Options{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}

// tree is the call tree of TestTree. Each run of a service makes the given
// number of calls of the next service.
var tree = []struct {
	service string
	calls   int
}{{"rounds", 1}, {"billing", 1}, {"evidence", 4}, {"depot", 0}}

// fleet simulates nodes that retry as often as their budgets permit.
type fleet struct {
	budgets []*Budget
	now     time.Time
	next    int
	first   map[string]int // Counts of the current second, by service.
	retries map[string]int
}

// run sends one request to a level of the tree through the next node, and
// retries it once if the budget permits. induced tells that the request is an
// induced retry.
func (f *fleet) run(level int, induced bool) {
	service := tree[level].service
	b := f.budgets[f.next%len(f.budgets)]
	f.next++
	if induced {
		b.RecordInducedRetry(f.now, service)
		f.retries[service]++
	} else {
		b.RecordFirst(f.now, service)
		f.first[service]++
	}
	for range tree[level].calls {
		f.run(level+1, induced)
	}
	if b.Allow(f.now, service, len(f.budgets), level == 0) {
		f.retries[service]++
		for range tree[level].calls {
			f.run(level+1, true)
		}
	}
}

// second counts the first attempts and retries that all nodes sent in one second,
// by service.
type second struct {
	first, retries map[string]int
}

// simulate sends requests to the first service of the tree and returns the
// counts of each second.
func (f *fleet) simulate(seconds, perSecond int) []second {
	out := make([]second, seconds)
	for s := range out {
		out[s] = second{first: make(map[string]int), retries: make(map[string]int)}
		f.first, f.retries = out[s].first, out[s].retries
		for i := range perSecond {
			f.now = time.Unix(int64(s), int64(i)*int64(time.Second)/int64(perSecond))
			f.run(0, false)
		}
	}
	return out
}

// TestTree guards against retries of all nodes that together exceed the budget
// of a service in some window. Every target of a call tree four levels deep
// fails, so that a retry is requested after each attempt.
func TestTree(t *testing.T) {
	const window = 10 // Seconds.
	for _, tc := range []struct {
		nodes, perSecond int
		slack            float64
	}{{13, 85, 48}, {89, 830, 118}, {17, 8, 48}} {
		f := &fleet{now: time.Unix(0, 0)}
		for range tc.nodes {
			o := options
			o.Slack = tc.slack
			f.budgets = append(f.budgets, New(o))
		}
		sent := f.simulate(40, tc.perSecond)
		for _, level := range tree {
			for s := 0; s+window <= len(sent); s++ {
				requests, retried := 0, 0
				for _, x := range sent[s : s+window] {
					requests += x.first[level.service]
					retried += x.retries[level.service]
				}
				if most := options.Ratio*float64(requests) + tc.slack; float64(retried) > most {
					t.Errorf("%d nodes, window at %d s: %d retries at %s for %d requests, want at most %.0f",
						tc.nodes, s, retried, level.service, requests, most)
				}
			}
		}
	}
}

// TestRootShare guards against root requests that exhaust the budget of a
// service, so that nothing is left for child calls, whose retries repeat less
// work.
func TestRootShare(t *testing.T) {
	b := New(options)
	now := time.Unix(0, 0)
	for range 1000 {
		b.RecordFirst(now, "billing")
	}
	roots, calls := 0, 0
	for b.Allow(now, "billing", 13, true) {
		roots++
	}
	for b.Allow(now, "billing", 13, false) {
		calls++
	}
	if roots == 0 || calls < roots/3 {
		t.Errorf("%d retries of root requests, then %d of child calls", roots, calls)
	}
}

// TestInducedRetries guards against a node that adds retries of its own while
// induced retries already use its share, and against counts that other services
// share or that outlast the window.
func TestInducedRetries(t *testing.T) {
	b := New(options)
	now := time.Unix(0, 0)
	for range 100 {
		b.RecordFirst(now, "depot")
	}
	for range 20 {
		b.RecordInducedRetry(now, "depot")
	}
	if b.Allow(now, "depot", 13, false) {
		t.Error("a retry beyond the node's share is allowed")
	}
	if !b.Allow(now, "billing", 1, true) {
		t.Error("retries at depot use up the budget of billing")
	}
	if later := now.Add(30 * time.Second); !b.Allow(later, "depot", 1, true) {
		t.Error("counts from before the window still apply")
	}
}

func BenchmarkAllow(b *testing.B) {
	for _, services := range []int{4, 32} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			g := New(options)
			now := time.Unix(0, 0)
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprint(i % services)
				now = now.Add(time.Millisecond)
				g.RecordFirst(now, name)
				g.Allow(now, name, 13, true)
			}
		})
	}
}
