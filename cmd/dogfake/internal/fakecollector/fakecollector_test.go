package fakecollector

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWriteTree guards against spans that are shown below the wrong parent or
// not in the order of their start times.
func TestWriteTree(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	spans := []span{
		{id: "c", parent: "a", name: "guard", node: "n3", start: at(3), duration: time.Millisecond},
		{id: "b", parent: "a", name: "guard", node: "n2", start: at(2), duration: time.Millisecond,
			attrs: map[string]string{"dogwoodford.outcome": "not-run", "dogwoodford.reason": "draining", "dogwoodford.service": "depot"}},
		{id: "a", parent: "caller", name: "entry", node: "n1", start: at(1), duration: 5 * time.Millisecond,
			attrs: map[string]string{"dogwoodford.outcome": "ran"}},
	}
	var got bytes.Buffer
	writeTree(&got, spans)
	want := "entry  at n1: ran, 5.0 ms\n" +
		"  guard depot at n2: not-run (draining), 1.0 ms\n" +
		"  guard  at n3: no outcome, 1.0 ms\n"
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Errorf("tree mismatch (-want +got):\n%s", diff)
	}
}
