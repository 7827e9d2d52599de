package dogroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRouter() *Router {
	return New(Options{DataCentre: "here", CompletedDigests: 8, Rand: rand.New(rand.NewPCG(1, 1))})
}

func target(name, dc string) dogwoodford.Target {
	return dogwoodford.Target{
		Node: name, Service: "depot", DataCentre: dc, State: dogwoodford.StateReady, Slots: 10,
		ReadySince: start.Add(-time.Hour), LastSeen: start,
	}
}

func request(digest uint64) dogwoodford.Request {
	return dogwoodford.NewRequest(dogwoodford.RequestSpec{Root: "root", Service: "depot", Importance: 3, Digest: digest})
}

// countPicks picks n times and returns how often each node was picked.
func countPicks(t *testing.T, rt *Router, now time.Time, r dogwoodford.Request, targets []dogwoodford.Target, n int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range n {
		got, reason := rt.Pick(now, r, targets, nil)
		if reason != dogwoodford.ReasonNone {
			t.Fatalf("Pick: %q", reason)
		}
		out[got.Node]++
	}
	return out
}

// Guards against requests to draining targets, and against choosing another
// data centre while the local one has free targets.
func TestStatesAndDataCentres(t *testing.T) {
	rt := newRouter()
	targets := []dogwoodford.Target{target("a", "here"), target("b", "there"), target("c", "here")}
	targets[2].State = dogwoodford.StateDraining
	if got := countPicks(t, rt, start, request(0), targets, 100); got["a"] != 100 {
		t.Errorf("picks %v, want only the ready local target", got)
	}
	for range 10 {
		rt.RecordDispatch(start, "a")
	}
	if got := countPicks(t, rt, start, request(0), targets, 100); got["b"] != 100 {
		t.Errorf("picks %v, want only the remote target as the local one is full", got)
	}
	if _, reason := rt.Pick(start, request(0), targets, []string{"a", "b"}); reason != dogwoodford.ReasonNoTarget {
		t.Errorf("all tried: %q, want no-target", reason)
	}
	rt.RecordDispatchEnd(start, "b", 0, true, &dogwoodford.Load{})
	if _, reason := rt.Pick(start, request(0), targets, []string{"a"}); reason != dogwoodford.ReasonNoTarget {
		t.Errorf("target that accepts no requests: %q, want no-target", reason)
	}
}

// Guards against trusting reported load alone: a target that fails fast looks
// idle, but must lose its share, and regain it after the failures end.
func TestWeights(t *testing.T) {
	rt := newRouter()
	targets := []dogwoodford.Target{target("bad", "here"), target("new", "here"), target("old", "here")}
	targets[1].ReadySince = start.Add(-time.Second)
	for range 8 {
		rt.RecordDispatch(start, "bad")
		rt.RecordDispatchEnd(start, "bad", time.Millisecond, true, &dogwoodford.Load{Limit: 1000})
	}
	got := countPicks(t, rt, start, request(0), targets, 1000)
	if got["bad"] > 30 || got["new"] > 150 || got["new"] == 0 {
		t.Errorf("picks %v, want few of bad and about a tenth of new", got)
	}
	got = countPicks(t, rt, start.Add(30*time.Second), request(0), targets, 1000)
	if got["bad"] < 200 || got["new"] < 200 {
		t.Errorf("picks after 30 s %v, want about equal shares", got)
	}
}

// Guards against ignoring the load and the cutoff that targets report.
func TestReports(t *testing.T) {
	rt := newRouter()
	targets := []dogwoodford.Target{target("busy", "here"), target("idle", "here"), target("strict", "here")}
	for name, load := range map[string]dogwoodford.Load{
		"busy": {InFlight: 9, Limit: 10}, "idle": {Limit: 10}, "strict": {Limit: 10, Cutoff: dogwoodford.MaxPriority},
	} {
		rt.RecordDispatch(start, name)
		rt.RecordDispatchEnd(start, name, 0, false, &load)
	}
	if got := countPicks(t, rt, start, request(0), targets, 100); got["idle"] != 100 {
		t.Errorf("picks %v, want only idle", got)
	}
}

// Guards against content that crashes targets reaching a third one, and against
// restricting content to two targets when it has completed, when the targets
// drain, or after their failures have expired.
func TestTwoTargets(t *testing.T) {
	rt := newRouter()
	var targets []dogwoodford.Target
	for i := range 6 {
		targets = append(targets, target(fmt.Sprint("n", i), []string{"here", "there"}[i%2]))
	}
	const digest = 12345
	two := countPicks(t, rt, start, request(digest), targets, 200)
	if len(two) > 2 {
		t.Fatalf("unknown content went to %v, want two targets", two)
	}
	names := rt.rendezvous(start, request(digest), targets)
	fail := func(state dogwoodford.State) []dogwoodford.Target {
		out := append([]dogwoodford.Target(nil), targets...)
		for i := range out {
			if out[i].Node == names[0] || out[i].Node == names[1] {
				out[i].State = state
			}
		}
		return out
	}
	failed := fail(dogwoodford.StateFailed)
	if _, reason := rt.Pick(start, request(digest), failed, nil); reason != dogwoodford.ReasonNoTarget {
		t.Errorf("both targets failed: %q, want no-target", reason)
	}
	if _, reason := rt.Pick(start.Add(31*time.Second), request(digest), failed, nil); reason != dogwoodford.ReasonNone {
		t.Errorf("31 s after the failures: %q, want a target", reason)
	}
	if _, reason := rt.Pick(start, request(digest), fail(dogwoodford.StateDraining), nil); reason != dogwoodford.ReasonNone {
		t.Errorf("both targets drain: %q, want a target", reason)
	}
	rt.RecordCompletion(digest)
	if got := countPicks(t, rt, start, request(digest), targets, 200); len(got) < 3 {
		t.Errorf("known content went to %v only", got)
	}
	for d := range uint64(100) {
		rt.RecordCompletion(d + 1)
	}
	if n := len(rt.completedSet.current) + len(rt.completedSet.previous); n > 8 || rt.completedSet.has(digest) {
		t.Errorf("%d digests kept, want at most 8 without the oldest", n)
	}
}

// Guards against content that finds no target until the targets of an
// unreachable data centre are forgotten. The data centre is unreachable first by
// this node's own observations, then by the failed state of its targets.
func TestUnreachableDataCentre(t *testing.T) {
	targets := []dogwoodford.Target{target("a", "here"), target("b", "there"), target("c", "there"), target("d", "there")}
	onlyLocal := func(rt *Router, targets []dogwoodford.Target) {
		t.Helper()
		for d := uint64(1); d < 50; d++ {
			if got, _ := rt.Pick(start, request(d), targets, nil); got.Node != "a" {
				t.Fatalf("content %d went to %q, want a", d, got.Node)
			}
		}
	}
	rt := newRouter()
	dispatch := func(t dogwoodford.Target, failed bool, load *dogwoodford.Load) {
		rt.Pick(start, request(0), []dogwoodford.Target{t}, nil)
		rt.RecordDispatch(start, t.Node)
		rt.RecordDispatchEnd(start, t.Node, 0, failed, load)
	}
	dispatch(targets[1], true, nil)
	if rt.unreachableDC(start, "there") {
		t.Error("data centre counts as unreachable after one node without a response")
	}
	dispatch(targets[2], true, nil)
	onlyLocal(rt, targets)
	dispatch(targets[3], false, &dogwoodford.Load{Limit: 10})
	if rt.unreachableDC(start, "there") {
		t.Error("data centre counts as unreachable after a response from it")
	}
	cut := append([]dogwoodford.Target(nil), targets...)
	for i := range cut[1:] {
		cut[i+1].State = dogwoodford.StateFailed
	}
	onlyLocal(newRouter(), cut)
}
