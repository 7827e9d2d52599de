package dogfresh

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

const testLifetime = 4750 * time.Millisecond

func newTracker(seed uint64) *Tracker {
	return New(Options{Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(seed, 1))})
}

// script is a node under test. Each command has the form "time command arguments"; times
// are readings of its boot clock.
type script struct {
	tracker *Tracker
	asked   map[string]time.Duration // Moments before questions, by their names.
}

// TestScripts guards against keys that are trusted after the time in which a removal must
// take effect, and against keys that are refused although their version is known to be the
// newest. Commands: "ask q" takes the moment before the question q; "store q v" is an
// answer of the store to q with version v; "peer q v age" one of another node; "adopt v"
// puts v in force; "trusted v", "age" and "next" ask the tracker. "restart" replaces it.
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/fresh.txtar", func() func(*testing.T, []string) string {
		s := &script{tracker: newTracker(1), asked: make(map[string]time.Duration)}
		return s.run
	})
}

func (s *script) run(t *testing.T, w []string) string {
	t.Helper()
	now := duration(t, w[0])
	switch w[1] {
	case "ask":
		s.asked[w[2]] = now
	case "store":
		s.tracker.Observe(version(t, w[3]), s.asked[w[2]])
	case "peer":
		s.tracker.Observe(version(t, w[3]), s.asked[w[2]]-duration(t, w[4]))
	case "adopt":
		s.tracker.Adopt(version(t, w[2]))
	case "restart":
		s.tracker = newTracker(1)
	case "trusted":
		return fmt.Sprint(s.tracker.Trusted(version(t, w[2]), now))
	case "age":
		v, age, ok := s.tracker.Age(now)
		return fmt.Sprint(v, " ", age, " ", ok)
	case "next":
		a := s.tracker.Next(now, 1)
		return fmt.Sprint("store=", a.Store, " peers=", a.Peers)
	default:
		t.Fatalf("unknown command %q", w[1])
	}
	return ""
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func version(t *testing.T, text string) int64 {
	t.Helper()
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestNextWaits guards against a node that asks without a pause, and against one that does
// not notice the end of the lifetime in time.
func TestNextWaits(t *testing.T) {
	tr := newTracker(3)
	tr.Adopt(1)
	tr.Observe(1, 0)
	for now := time.Duration(0); now < 2*testLifetime; now += time.Millisecond {
		a := tr.Next(now, 91)
		if a.Wait <= 0 || a.Wait > testLifetime {
			t.Fatalf("at %v: wait %v", now, a.Wait)
		}
		if now < testLifetime && now+a.Wait > testLifetime {
			t.Fatalf("at %v: wait %v goes beyond the lifetime", now, a.Wait)
		}
	}
}
