package dogrelay

import (
	"fmt"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

// TestLag guards against a node that lacks processor time and answers requests long after
// the timeout of their route, because it counts from when it read them (CONFIG). Each line
// of testdata/lag.txtar has the lag of the entry and of the guard, the kind of the request,
// which has a timeout of 900 ms, the script of the target, the status, how often the
// target was reached, and whether the answer leaves room for the lag before and after.
func TestLag(t *testing.T) {
	dogscript.RunLines(t, "testdata/lag.txtar", func() func(*testing.T, []string) string { return sendLate })
}

// sendLate sends a request through nodes that are late.
func sendLate(t *testing.T, w []string) string {
	t.Helper()
	const timeout = 900 * time.Millisecond
	entry := newTestNode(t, "entry", "billing", "refuse", timeout)
	guard := newTestNode(t, "guard", "rounds", w[3], timeout)
	entry.addGuards(guard)
	for i, n := range []*testNode{entry, guard} {
		var err error
		if n.lag, err = time.ParseDuration(w[i]); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	status, _, _, err := post(t, entry, w[2], "a1", "payload")
	if err != nil {
		t.Fatal(err)
	}
	inTime := time.Since(start)+2*entry.lag < timeout+answerGrace+minLag
	return fmt.Sprintf("%d %d in-time=%v", status, guard.target.count(), inTime)
}
