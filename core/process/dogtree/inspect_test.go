package dogtree

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against an inspection that drops reports or counts as a request, and against one
// that says nothing while few trees complete.
func TestInspect(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	estimators := [2]*Estimator{}
	for i := range estimators {
		estimators[i] = NewEstimator(rand.New(rand.NewPCG(1, 1)))
		estimators[i].AddReport(now, "c", "n", Runs{Total: 1000, Failed: 1000})
	}
	asked, other := estimators[0], estimators[1]
	r := Request{Class: "c", Left: time.Second}
	for range 20 {
		asked.Inspect(now.Add(time.Hour), r)
		asked.Inspect(now, Request{Class: "unknown", Left: time.Second})
		want := Inspection{Runs: Runs{Total: 1000, Failed: 1000}, Refuses: true, RetryAfter: 320 * time.Millisecond}
		if diff := cmp.Diff(want, asked.Inspect(now, r)); diff != "" {
			t.Fatalf("inspection (-want +got):\n%s", diff)
		}
	}
	all := cmp.Exporter(func(reflect.Type) bool { return true })
	if diff := cmp.Diff(other, asked, all); diff != "" {
		t.Errorf("estimator that was asked (-other +asked):\n%s", diff)
	}
}
