package dogpressure

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against an inspection that counts as a request or fills a cache, and against a
// cutoff other than that of Admit.
func TestInspect(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := request("depot", "c", 3, 0)
	tables := [2]*Table{}
	for i := range tables {
		tables[i] = New(Options{
			Rand: rand.New(rand.NewPCG(1, 1)), UseMean: true, Refresh: 20 * time.Millisecond, RetryByRefusalShare: true,
		})
		tables[i].AddReport(now, r, "n1", Report{Own: 700})
		tables[i].AddReport(now, r, "n2", Report{Own: 300})
	}
	asked, other := tables[0], tables[1]
	for range 20 {
		if cutoff, retryAfter := asked.Inspect(now, r); cutoff != 500 || retryAfter != maxRetryAfter {
			t.Fatalf("cutoff %d, hint %v; want 500 and %v", cutoff, retryAfter, maxRetryAfter)
		}
	}
	all := cmp.Exporter(func(reflect.Type) bool { return true })
	if diff := cmp.Diff(other, asked, all); diff != "" {
		t.Errorf("table that was asked (-other +asked):\n%s", diff)
	}
	if got := asked.Cutoff(now, r); got != 500 {
		t.Errorf("cutoff %d, want 500", got)
	}
}
