package dogroute

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
)

// explained returns a router and targets of which one drains, one is slow, one declines,
// one is remote and one refuses low priorities.
func explained() (*Router, []dogwoodford.Target) {
	rt := newCompletionRouter()
	targets := []dogwoodford.Target{
		target("slow", "here"), target("fast", "here"), target("drains", "here"), target("declines", "here"),
		target("remote", "there"), target("refuses", "here"), target("other", "here"),
	}
	targets[2].State = dogwoodford.StateDraining
	targets[6].Service = "mill"
	report(rt, start, "slow", dogwoodford.Load{InFlight: 2, Limit: 10, ServiceTime: 30 * time.Millisecond})
	report(rt, start, "fast", dogwoodford.Load{InFlight: 2, Limit: 10, ServiceTime: 10 * time.Millisecond})
	report(rt, start, "declines", dogwoodford.Load{})
	report(rt, start, "refuses", dogwoodford.Load{Limit: 10, Cutoff: dogwoodford.MaxPriority})
	return rt, targets
}

// Guards against an explanation that names another order than Pick follows, or that drops
// a target without a reason.
func TestExplain(t *testing.T) {
	rt, targets := explained()
	type line struct {
		Node     string
		Excluded Exclusion
	}
	var got []line
	for _, c := range rt.Explain(start, request(0), targets) {
		got = append(got, line{c.Target.Node, c.Excluded})
	}
	want := []line{
		{"fast", Considered}, {"slow", Considered}, {"remote", Considered}, {"refuses", BelowCutoff},
		{"drains", NotReady}, {"declines", Declined},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
	if picks := countPicks(t, rt, start, request(0), targets, 100); picks["fast"] != 100 {
		t.Errorf("picks %v, want only the first choice", picks)
	}
}

// Guards against an explanation that changes what is picked later, by chance or by a count.
func TestExplainChangesNothing(t *testing.T) {
	asked, targets := explained()
	other, _ := explained()
	for range 50 {
		asked.Explain(start.Add(time.Second), request(0), targets)
	}
	all := cmp.Exporter(func(reflect.Type) bool { return true })
	if diff := cmp.Diff(other, asked, all); diff != "" {
		t.Errorf("router that was asked (-other +asked):\n%s", diff)
	}
}
