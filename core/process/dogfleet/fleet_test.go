package dogfleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/internal/dogscript"
)

// TestSilence guards against a node that waits long for one that has stopped
// answering, and against probes of nodes that answer.
func TestSilence(t *testing.T) {
	s := NewSilenceDetector()
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	check := func(ms int, wantIn time.Duration, wantProbe bool) {
		t.Helper()
		if in, probe := s.Check(at(ms), "a"); in != wantIn || probe != wantProbe {
			t.Errorf("at %d ms: check in %v, probe %v; want %v, %v", ms, in, probe, wantIn, wantProbe)
		}
	}
	check(0, 0, false)
	s.RequestSent(at(0), "a")
	s.RequestSent(at(50), "a")
	check(100, 50*time.Millisecond, false)
	s.RequestEnded(at(120), "a", true)
	check(150, 120*time.Millisecond, false)
	check(270, suspectAfter, true)
	check(420, suspectAfter, false) // One probe at a time.
	s.ProbeEnded(at(430), "a")
	check(500, 80*time.Millisecond, false)
	check(600, suspectAfter, true)
	s.RequestEnded(at(700), "a", false)
	check(700, 0, false)
}

// TestScripts runs the scripts in testdata. They guard against requests that
// are sent to failed nodes, and against entries of failed nodes that are never
// removed. Each line is a time, an event, "->" and the targets, the nodes to
// probe and the nodes to remove after it.
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/fleet.txtar", func() func(*testing.T, []string) string {
		f := New()
		return func(t *testing.T, words []string) string { return step(t, f, words) }
	})
}

var states = map[string]dogwoodford.State{
	"ready": dogwoodford.StateReady, "draining": dogwoodford.StateDraining, "left": dogwoodford.StateLeft,
}

func step(t *testing.T, f *Fleet, w []string) string {
	t.Helper()
	at, err := time.ParseDuration(w[0])
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0).Add(at)
	switch w[1] {
	case "put": // Node, service, state, revision and address, which is the node by default.
		peer := w[2]
		if len(w) > 6 {
			peer = w[6]
		}
		f.Put(now, Entry{Node: w[2], Service: w[3], State: states[w[4]], Peer: peer}, revision(t, w[5]))
	case "remove":
		f.Remove(w[2], revision(t, w[3]))
	case "keep":
		f.Retain(w[2:])
	case "unreachable":
		f.MarkUnreachable(now, w[2], len(w) > 3)
	case "reachable":
		f.MarkReachable(w[2])
	case "wait":
	default:
		t.Fatalf("unknown event %q", w[1])
	}
	return show(f, now)
}

// revision returns the revision of a number, or of an era and a number with a slash between.
func revision(t *testing.T, text string) dogwoodford.Revision {
	t.Helper()
	era, number, found := strings.Cut(text, "/")
	if !found {
		era, number = "0", text
	}
	n, err := strconv.ParseInt(number, 10, 64)
	e, eraErr := strconv.ParseInt(era, 10, 64)
	if err != nil || eraErr != nil {
		t.Fatal(err, eraErr)
	}
	return dogwoodford.NewRevision(e, n)
}

func show(f *Fleet, now time.Time) string {
	var targets, probes, stale []string
	for _, x := range f.Targets(now) {
		targets = append(targets, x.Node)
	}
	for _, e := range f.Probes(now) {
		probes = append(probes, e.Node)
	}
	for name := range f.Stale(now) {
		stale = append(stale, name)
	}
	out := ""
	for _, list := range []struct {
		name  string
		nodes []string
	}{{"targets", targets}, {"probe", probes}, {"remove", stale}} {
		slices.Sort(list.nodes)
		if len(list.nodes) > 0 {
			out += " " + list.name + "=" + strings.Join(list.nodes, ",")
		}
	}
	if f.Isolated(now) {
		out += " isolated"
	}
	return strings.TrimSpace(out + " end")
}

func BenchmarkTargets(b *testing.B) {
	for _, n := range []int{13, 89, 590} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := New()
			now := time.Unix(0, 0)
			for i := range n {
				f.Put(now, Entry{Node: fmt.Sprint(i), Service: fmt.Sprint(i % 29), State: dogwoodford.StateReady}, dogwoodford.NewRevision(1, 1))
			}
			for b.Loop() {
				f.MarkUnreachable(now, "1", false)
				f.MarkReachable("1")
				f.Targets(now)
			}
		})
	}
}

// TestSince guards against warm targets that get few requests after a restart
// of their node, and against cold targets that get their full share at once.
func TestSince(t *testing.T) {
	f := New()
	now := time.Unix(1000, 0)
	for i, tc := range []struct {
		state dogwoodford.State
		cold  bool
		want  time.Duration // Age of the target's readiness; -1 if it is not ready.
	}{
		{dogwoodford.StateReady, true, 0},
		{dogwoodford.StateReady, false, time.Second}, // No change of the state.
		{dogwoodford.StateDraining, false, -1},
		{dogwoodford.StateReady, false, warmAge},
		{dogwoodford.StateDraining, false, -1},
		{dogwoodford.StateReady, true, 0},
	} {
		now = now.Add(time.Second)
		f.Put(now, Entry{Node: "a", Service: "s", Peer: "p", State: tc.state, Cold: tc.cold}, dogwoodford.NewRevision(1, int64(i+1)))
		got := time.Duration(-1)
		if targets := f.Targets(now); len(targets) > 0 {
			got = now.Sub(targets[0].ReadySince)
		}
		if got != tc.want {
			t.Errorf("step %d: ready for %v, want %v", i, got, tc.want)
		}
	}
}

// TestDue guards against concurrent probes of one node, and against a timer
// that keeps running without requests in progress.
func TestDue(t *testing.T) {
	s := NewSilenceDetector()
	now := time.Unix(0, 0)
	s.RequestSent(now, "a")
	s.RequestSent(now.Add(100*time.Millisecond), "b")
	for _, tc := range []struct {
		ms   int
		want []string
	}{{149, nil}, {150, []string{"a"}}, {160, nil}, {250, []string{"b"}}} {
		got, pending := s.Due(now.Add(time.Duration(tc.ms) * time.Millisecond))
		if diff := cmp.Diff(tc.want, got); diff != "" || !pending {
			t.Errorf("after %d ms: pending %v, due (-want +got):\n%s", tc.ms, pending, diff)
		}
	}
	s.RequestEnded(now, "a", true)
	s.RequestEnded(now, "b", false)
	if got, pending := s.Due(now.Add(time.Second)); len(got) > 0 || pending {
		t.Errorf("due %v, pending %v without requests in progress", got, pending)
	}
}

// TestGeneration guards against users of Members who miss a change, or look again without
// one for each change of a target's state.
func TestGeneration(t *testing.T) {
	f := New()
	now := time.Unix(0, 0)
	for i, tc := range []struct {
		change func()
		want   bool
	}{
		{func() { f.Put(now, Entry{Node: "a", Peer: "1"}, dogwoodford.NewRevision(1, 1)) }, true},
		{func() {
			f.Put(now, Entry{Node: "a", Peer: "1", State: dogwoodford.StateReady}, dogwoodford.NewRevision(1, 2))
		}, false},
		{func() { f.MarkUnreachable(now, "a", false) }, false},
		{func() { f.MarkUnreachable(now, "a", true) }, true},
		{func() { f.MarkUnreachable(now, "a", true) }, false},
		{func() { f.MarkReachable("a") }, true},
		{func() { f.MarkUnreachable(now, "a", false) }, false},
		{func() { f.MarkReachable("a") }, false},
		{func() { f.Put(now, Entry{Node: "a", Peer: "2"}, dogwoodford.NewRevision(1, 3)) }, true},
		{func() { f.Retain([]string{"a"}) }, false},
		{func() { f.Remove("a", dogwoodford.NewRevision(1, 4)) }, true},
	} {
		before := f.Generation()
		if tc.change(); (f.Generation() != before) != tc.want {
			t.Errorf("step %d: generation %d after %d, want a change: %v", i, f.Generation(), before, tc.want)
		}
	}
}
