package dogbudget

import (
	"fmt"
	"testing"
	"time"
)

var options = Options{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}

// TestAllNodes guards against further attempts of many nodes that together
// exceed the budget in some window: 13 nodes ask for one after each request,
// and two levels of the tree above repeat as much as they may.
func TestAllNodes(t *testing.T) {
	const nodes, seconds, perSecond = 13, 40, 12
	var budgets []*Budget
	for range nodes {
		budgets = append(budgets, New(options))
	}
	var first, repeat [seconds]int
	now := time.Unix(0, 0)
	for s := range seconds {
		for i := range perSecond {
			at := now.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/perSecond)
			for _, b := range budgets {
				b.First(at, "depot")
				first[s]++
				if b.Allow(at, "depot", nodes) {
					repeat[s]++
				}
			}
		}
	}
	for s := 0; s+10 <= seconds; s++ {
		f, r := 0, 0
		for i := s; i < s+10; i++ {
			f += first[i]
			r += repeat[i]
		}
		if most := ownShare * (options.Ratio*float64(f) + options.Slack); float64(r) > most*1.1 {
			t.Errorf("window at %d s: %d further attempts for %d requests, want at most %.0f", s, r, f, most)
		}
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
	if b.Allow(now, "depot", 13) {
		t.Error("an attempt beyond the share is allowed")
	}
	if !b.Allow(now, "billing", 1) {
		t.Error("the budget of another service is used up")
	}
	if later := now.Add(30 * time.Second); !b.Allow(later, "depot", 1) {
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
				g.Allow(now, name, 13)
			}
		})
	}
}
