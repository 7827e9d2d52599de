package dogquota

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// usedUp returns a node without others that has granted all tokens of a workspace, at the
// time of its next refusal.
func usedUp(t *testing.T, at time.Time) (*Node, Workspace) {
	t.Helper()
	w := Workspace{ID: WorkspaceID("north"), Limit: Limit{Rate: 1, Burst: 2}}
	n := NewNode(at.Add(-time.Minute), Options{
		Name: "n", Rand: rand.New(rand.NewPCG(1, 1)), Bound: Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	})
	n.SetLimits(map[uint64]Limit{w.ID: w.Limit})
	n.SetView(at.Add(-time.Minute), View{Complete: true})
	for range 100 {
		d := n.Take(at, w)
		if d.Verdict == Wait {
			n.Flush(at)
			d = n.Resume(at, w.ID)
		}
		if d.Verdict == Refused {
			return n, w
		}
	}
	t.Fatal("the quota is never used up")
	return nil, w
}

// Guards against an inspection that takes a token, asks a lender or counts as a refusal,
// and against one that does not show a used-up quota.
func TestInspect(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	asked, w := usedUp(t, now)
	other, _ := usedUp(t, now)
	for range 20 {
		asked.Inspect(now.Add(time.Hour), w.ID)
		asked.Inspect(now, WorkspaceID("unknown"))
		i := asked.Inspect(now, w.ID)
		if i.Verdict != Refused || i.RetryAfter <= 0 || i.Lender != "n" || i.Tokens != 0 {
			t.Fatalf("inspection %+v, want a refusal", i)
		}
	}
	all := cmp.Exporter(func(reflect.Type) bool { return true })
	if diff := cmp.Diff(other, asked, all); diff != "" {
		t.Errorf("node that was asked (-other +asked):\n%s", diff)
	}
	if want, got := asked.Inspect(now, w.ID).RetryAfter, asked.Take(now, w).RetryAfter; got != want {
		t.Errorf("hint %v of a refusal, %v of the inspection", got, want)
	}
}
