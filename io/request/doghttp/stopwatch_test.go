package doghttp

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against counting concurrent child calls twice: the guard would then
// take a slow target for one that only waits for child calls.
func TestStopwatch(t *testing.T) {
	start := time.UnixMilli(0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s stopwatch
	s.begin(at(10))
	s.begin(at(20))
	s.end(at(30))
	s.end(at(40))
	s.begin(at(100))
	got := []time.Duration{s.elapsed(at(105))}
	s.end(at(110))
	got = append(got, s.elapsed(at(200)))
	want := []time.Duration{35 * time.Millisecond, 40 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("elapsed mismatch (-want +got):\n%s", diff)
	}
}
