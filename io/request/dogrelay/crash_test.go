package dogrelay

import (
	"net/http"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/request/dogcall"
)

// TestCrashes guards against confusing content that may have crashed a target
// with content that completed, as after an error response of the target, and
// against running quarantined content.
func TestCrashes(t *testing.T) {
	for script, want := range map[string][2]int{
		"reset": {1, 0}, "garbage": {1, 0}, "ok": {0, 1}, "500": {0, 0}, "shed": {0, 0}, "refuse": {0, 0},
	} {
		entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
		guard := newTestNode(t, "guard", "rounds", script, time.Second)
		entry.addGuards(guard)
		if _, _, _, err := post(t, entry, "upload", "a1", "payload"); err != nil {
			t.Fatal(err)
		}
		if got := [2]int{len(guard.brokenRequests), len(guard.completed)}; got != want {
			t.Errorf("%s: broken and completed %v, want %v", script, got, want)
		}
		if len(entry.completed) != want[1] {
			t.Errorf("%s: the entry knows of %d completed, want %d", script, len(entry.completed), want[1])
		}
		if script != "ok" {
			continue
		}
		// The guard quarantines the content, but the entry knows that it has
		// completed.
		guard.quarantined = guard.completed[0]
		if status, _, _, err := post(t, entry, "upload", "a4", "payload"); err != nil || status != http.StatusOK {
			t.Errorf("quarantined at the guard, known at the entry: status %d, error %v; want 200", status, err)
		}
		entry.completed = nil
		status, h, _, err := post(t, entry, "upload", "a2", "payload")
		if err != nil || status != http.StatusServiceUnavailable || h.Get(dogcall.HeaderReason) != string(dogwoodford.ReasonQuarantined) {
			t.Errorf("quarantined at the guard: status %d %v, error %v; want 503", status, h, err)
		}
		entry.quarantined, guard.quarantined = guard.quarantined, dogcrash.Content{}
		if status, _, _, err := post(t, entry, "upload", "a3", "payload"); err != nil || status != http.StatusServiceUnavailable {
			t.Errorf("quarantined at the entry: status %d, error %v; want 503", status, err)
		}
		if guard.target.count() != 2 {
			t.Errorf("the target ran %d requests, want 2", guard.target.count())
		}
		guard.quarantined = entry.quarantined
		checkOneTest(t, entry, guard)
	}
}

// checkOneTest checks that a content which entry and guard quarantine runs once, at the node
// that tests it.
func checkOneTest(t *testing.T, entry, guard *testNode) {
	t.Helper()
	tester := newTestNode(t, "tester", "rounds", "ok", time.Second)
	tester.quarantined, tester.tests, guard.tests = entry.quarantined, 1, 1
	entry.addGuards(guard, tester)
	entry.targets[len(entry.targets)-1].Node = "tester"
	entry.tester = "tester"
	runs := guard.target.count()
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		if status, _, _, err := post(t, entry, "upload", "a5", "payload"); err != nil || status != want {
			t.Errorf("test of quarantined content: status %d, error %v; want %d", status, err, want)
		}
	}
	if guard.target.count() != runs || tester.target.count() != 1 {
		t.Errorf("%d runs at another node, %d at the tester; want none and one", guard.target.count()-runs, tester.target.count())
	}
}
