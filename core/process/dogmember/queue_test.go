package dogmember

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dogwoodford"
)

// TestQueue guards against messages that exceed the byte budget, updates that are
// sent for ever or never, and older updates that are sent in place of newer ones.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 600).Draw(t, "members")
		budget := rapid.IntRange(1, 300).Draw(t, "budget")
		q := newQueue(func(u Update) int { return u.Value.(int) }, 20)
		newest, sent := map[string]int{}, map[string]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "updates") {
			key := fmt.Sprint(rapid.IntRange(0, 25).Draw(t, "key"))
			size := 1 + rapid.IntRange(0, 120).Draw(t, "size")
			if q.add(Update{Key: key, Value: size}) {
				newest[key], sent[key] = size, 0
			} else if q.len() < 20 {
				t.Fatalf("update %d was dropped from a queue of %d", i, q.len())
			}
		}
		for range 10000 {
			us, left := q.take(budget, n)
			checkMessage(t, us, left, budget, newest)
			for _, u := range us {
				sent[u.Key]++
			}
			if len(us) == 0 {
				break
			}
		}
		for key := range newest {
			if sent[key] != sendLimit(n) {
				t.Fatalf("update %s was sent %d times, want %d", key, sent[key], sendLimit(n))
			}
		}
	})
}

func checkMessage(t *rapid.T, us []Update, left, budget int, newest map[string]int) {
	total := 0
	for _, u := range us {
		total += u.Value.(int)
		if u.Value.(int) != newest[u.Key] {
			t.Fatalf("update %v is not the newest", u)
		}
	}
	if len(us) > 1 && (total > budget || left < 0) {
		t.Fatalf("%d bytes in a message of at most %d", total, budget)
	}
}

// TestJoin guards against records that depend on the order in which updates arrive:
// join must be commutative, associative and idempotent.
func TestJoin(t *testing.T) {
	rec := rapid.Custom(func(t *rapid.T) Member {
		m := Member{Node: "a", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
		// A node changes its own record only under a new incarnation, so
		// starting and ready do not occur in the same one.
		m.State = dogwoodford.State(rapid.IntRange(int(dogwoodford.StateReady), int(dogwoodford.StateFailed)).Draw(t, "state"))
		m.Suspected = m.Present() && rapid.Bool().Draw(t, "suspected")
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := rec.Draw(t, "a"), rec.Draw(t, "b"), rec.Draw(t, "c")
		if join(a, b) != join(b, a) {
			t.Fatalf("join(%v, %v) depends on the order", a, b)
		}
		if join(join(a, b), c) != join(a, join(b, c)) {
			t.Fatalf("join of %v, %v, %v depends on the grouping", a, b, c)
		}
		if join(a, a) != a {
			t.Fatalf("join(%v) with itself differs", a)
		}
	})
}
