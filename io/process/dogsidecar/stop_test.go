package dogsidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogstop"
	"dogwoodford/core/process/dogtarget"
)

// TestStopAfterPause guards against a stopping node that still takes requests because its
// process was paused when it should have closed: nothing runs in the node between the
// signal and each question.
func TestStopAfterPause(t *testing.T) {
	for _, tc := range []struct {
		pause                   time.Duration
		guard, entry, shortCall bool // What the node accepts.
	}{
		{time.Second, true, true, true},
		{2600 * time.Millisecond, false, true, true},
		{4 * time.Second, false, false, true},
		{6 * time.Second, false, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := testState(t, func() int64 { return 1 })
			receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4})
			s.beginStop(dogstop.NewPlan(time.Now(), 6*time.Second))
			if !s.stopping() {
				t.Error("the node reports that it is ready")
			}
			time.Sleep(tc.pause)
			s.RecordAnswer("i-1")
			_, reason := s.Current()
			if got := reason == dogwoodford.ReasonNone; got != tc.guard {
				t.Errorf("after %v the guard accepts: %v, want %v", tc.pause, got, tc.guard)
			}
			if got := !s.Leaving(); got != tc.entry {
				t.Errorf("after %v the entry accepts: %v, want %v", tc.pause, got, tc.entry)
			}
			if got := s.AcceptsCall(500 * time.Millisecond); got != tc.shortCall {
				t.Errorf("after %v a short call is accepted: %v, want %v", tc.pause, got, tc.shortCall)
			}
		})
	}
}
