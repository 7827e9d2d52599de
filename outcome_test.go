package dogwoodford_test

import (
	"fmt"
	"testing"

	"dogwoodford"
)

// Guards against an outcome that is formatted by one node and parsed as another
// outcome by the next.
func TestOutcomeRoundTrip(t *testing.T) {
	for _, o := range []dogwoodford.Outcome{dogwoodford.OutcomeUnknown, dogwoodford.OutcomeRan, dogwoodford.OutcomeNotRun} {
		got, err := dogwoodford.ParseOutcome(o.String())
		if err != nil || got != o {
			t.Errorf("ParseOutcome(%q) = %v, %v", o.String(), got, err)
		}
	}
	if _, err := dogwoodford.ParseOutcome("run"); err == nil {
		t.Error("ParseOutcome accepts an unknown text")
	}
}

func ExampleNewPriority() {
	low := dogwoodford.NewPriority(2, "request-1")
	high := dogwoodford.NewPriority(7, "request-1")
	fmt.Println(low < high, low.Importance(), high.Importance())
	// Output: true 2 7
}
