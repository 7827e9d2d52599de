package dogbudget

import (
	"fmt"
	"testing"
	"time"
)

var options = Options{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}

// tree is the call tree of TestTree: each run of a service makes so many calls
// of the next one.
var tree = []struct {
	service string
	calls   int
}{{"rounds", 1}, {"billing", 1}, {"evidence", 4}, {"depot", 0}}

// fleet is a number of nodes that repeat as much as they may.
type fleet struct {
	budgets []*Budget
	now     time.Time
	next    int
	first   map[string]int // Counts of the present second.
	repeat  map[string]int
}

// run sends one request to a level of the tree through some node, and once more
// to another target if the budget permits.
func (f *fleet) run(level int, repeated bool) {
	service := tree[level].service
	b := f.budgets[f.next%len(f.budgets)]
	f.next++
	if repeated {
		b.Repeat(f.now, service)
		f.repeat[service]++
	} else {
		b.First(f.now, service)
		f.first[service]++
	}
	for range tree[level].calls {
		f.run(level+1, repeated)
	}
	if b.Allow(f.now, service, len(f.budgets), level == 0) {
		f.repeat[service]++
		for range tree[level].calls {
			f.run(level+1, true)
		}
	}
}

// second is what all nodes sent in one second, by service.
type second struct {
	first, repeat map[string]int
}

// play sends requests to the first service of the tree for some seconds.
func (f *fleet) play(seconds, perSecond int) []second {
	out := make([]second, seconds)
	for s := range out {
		out[s] = second{first: make(map[string]int), repeat: make(map[string]int)}
		f.first, f.repeat = out[s].first, out[s].repeat
		for i := range perSecond {
			f.now = time.Unix(int64(s), int64(i)*int64(time.Second)/int64(perSecond))
			f.run(0, false)
		}
	}
	return out
}

// TestTree guards against further attempts that together exceed the budget of a
// service in some window. Pattern: every target of a call tree four levels deep
// fails, so that each node asks for one more attempt after each.
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
		played := f.play(40, tc.perSecond)
		for _, level := range tree {
			for s := 0; s+window <= len(played); s++ {
				requests, attempts := 0, 0
				for _, x := range played[s : s+window] {
					requests += x.first[level.service]
					attempts += x.repeat[level.service]
				}
				if most := options.Ratio*float64(requests) + tc.slack; float64(attempts) > most {
					t.Errorf("%d nodes, window at %d s: %d further attempts at %s for %d requests, want at most %.0f",
						tc.nodes, s, attempts, level.service, requests, most)
				}
			}
		}
	}
}

// TestRootShare guards against requests of callers that use up the budget of a
// service, so that nothing is left for calls, whose repeats cost less.
func TestRootShare(t *testing.T) {
	b := New(options)
	now := time.Unix(0, 0)
	for range 1000 {
		b.First(now, "billing")
	}
	roots, calls := 0, 0
	for b.Allow(now, "billing", 13, true) {
		roots++
	}
	for b.Allow(now, "billing", 13, false) {
		calls++
	}
	if roots == 0 || calls < roots/3 {
		t.Errorf("%d attempts of callers' requests, then %d of calls", roots, calls)
	}
}

// TestRepeats guards against a node that adds attempts of its own while calls
// of repeated requests already use its share.
func TestRepeats(t *testing.T) {
	b := New(options)
	now := time.Unix(0, 0)
	for range 100 {
		b.First(now, "depot")
	}
	for range 20 {
		b.Repeat(now, "depot")
	}
	if b.Allow(now, "depot", 13, false) {
		t.Error("an attempt beyond the share is allowed")
	}
	if !b.Allow(now, "billing", 1, true) {
		t.Error("the budget of another service is used up")
	}
	if later := now.Add(30 * time.Second); !b.Allow(later, "depot", 1, true) {
		t.Error("counts outside of the window still matter")
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
				g.First(now, name)
				g.Allow(now, name, 13, true)
			}
		})
	}
}
