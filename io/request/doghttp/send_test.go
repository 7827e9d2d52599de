package doghttp

import (
	"testing"

	"dogwoodford"
)

// TestPreferredAnswer guards against a refusal as not run after an attempt that
// may have run, for instance when the remaining time is too short for a
// connection to the next target.
func TestPreferredAnswer(t *testing.T) {
	const notRun, unknown, ran = dogwoodford.OutcomeNotRun, dogwoodford.OutcomeUnknown, dogwoodford.OutcomeRan
	for _, tc := range []struct {
		last, next, want dogwoodford.Outcome
	}{
		{unknown, notRun, unknown},
		{unknown, unknown, unknown},
		{unknown, ran, ran},
		{notRun, notRun, notRun},
		{notRun, unknown, unknown},
		{notRun, ran, ran},
	} {
		ended := map[string]bool{}
		last, next := refusal(tc.last, dogwoodford.ReasonLost, 0), refusal(tc.next, dogwoodford.ReasonNoTarget, 0)
		last.onEnd(func(ending) { ended["last"] = true })
		next.onEnd(func(ending) { ended["next"] = true })
		got := preferredAnswer(last, next)
		if got.info.Outcome != tc.want {
			t.Errorf("%v then %v: caller gets %v, want %v", tc.last, tc.next, got.info.Outcome, tc.want)
		}
		if ended["last"] != (got == next) || ended["next"] != (got == last) {
			t.Errorf("%v then %v: ended %v, want the other answer only", tc.last, tc.next, ended)
		}
	}
	first := refusal(notRun, dogwoodford.ReasonNoTarget, 0)
	if preferredAnswer(nil, first) != first {
		t.Error("the first answer is not kept")
	}
}
