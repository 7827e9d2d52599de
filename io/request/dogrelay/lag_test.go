package dogrelay

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLag guards against a node that lacks processor time and answers requests long after
// the timeout of their route, because it counts from when it read them (CONFIG). Each line
// of testdata/lag.txt has the lag of the entry and of the guard, the kind of the request,
// which has a timeout of 900 ms, the script of the target, the status, how often the
// target was reached, and whether the answer leaves room for the lag before and after.
func TestLag(t *testing.T) {
	const timeout = 900 * time.Millisecond
	data, err := os.ReadFile("testdata/lag.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(data)) {
		w := strings.Fields(line)
		entry := newTestNode(t, "entry", "billing", "refuse", timeout)
		guard := newTestNode(t, "guard", "rounds", w[3], timeout)
		entry.addGuards(guard)
		for i, n := range []*testNode{entry, guard} {
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
		fmt.Fprintf(&got, "%s -> %d %d in-time=%v\n", strings.Join(w[:4], " "), status, guard.target.count(), inTime)
	}
	if diff := cmp.Diff(string(data), got.String()); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}
