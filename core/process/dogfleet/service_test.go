package dogfleet

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
)

// serviceFleet returns a view with one target that is ready, one that drains, one that
// cannot be reached, and one of another service.
func serviceFleet(at time.Time) *Fleet {
	f := New()
	f.Put(at, Entry{Node: "a", Service: "s", State: dogwoodford.StateReady}, dogwoodford.NewRevision(1, 1))
	f.Put(at, Entry{Node: "b", Service: "s", State: dogwoodford.StateDraining}, dogwoodford.NewRevision(1, 2))
	f.Put(at, Entry{Node: "c", Service: "s", State: dogwoodford.StateReady}, dogwoodford.NewRevision(1, 3))
	f.Put(at, Entry{Node: "d", Service: "other", State: dogwoodford.StateReady}, dogwoodford.NewRevision(1, 4))
	f.MarkUnreachable(at, "c", false)
	return f
}

// Guards against a target that is missing, or routable contrary to Targets, and against a
// question that changes the view.
func TestServiceTargets(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	asked, other := serviceFleet(at), serviceFleet(at)
	type line struct {
		Node                string
		Reachable, Routable bool
	}
	var got []line
	for _, s := range asked.ServiceTargets(at, "s") {
		got = append(got, line{s.Target.Node, s.Reachable, s.Routable})
	}
	want := []line{{"a", true, true}, {"b", true, false}, {"c", false, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
	all := cmp.Exporter(func(reflect.Type) bool { return true })
	if diff := cmp.Diff(other, asked, all); diff != "" {
		t.Errorf("view that was asked (-other +asked):\n%s", diff)
	}
}
