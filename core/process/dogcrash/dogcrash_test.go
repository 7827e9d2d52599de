package dogcrash

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. Each line has the time in seconds, the
// node, the step taken there, and the expected result. Each report reaches all
// nodes immediately.
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/crashes.txtar", func() func(*testing.T, []string) string { return newScript().run })
}

// script holds the guards and tables of a fleet, by node.
type script struct {
	guards map[string]*Guard
	tables map[string]*Table
}

func newScript() *script {
	s := &script{guards: make(map[string]*Guard), tables: make(map[string]*Table)}
	for _, n := range []string{"a", "b", "c", "d"} {
		s.guards[n], s.tables[n] = NewGuard(n), NewTable(n, quarantineThreshold)
	}
	return s
}

func (s *script) run(t *testing.T, w []string) string {
	t.Helper()
	second, err := strconv.ParseFloat(w[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	now := start.Add(time.Duration(second * float64(time.Second)))
	node, digest := w[1], uint64(0)
	if len(w) > 3 {
		if digest, err = strconv.ParseUint(w[3], 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	id := fmt.Sprint(node, digest)
	switch w[2] {
	case "starts":
		s.guards[node].Start(now, id, digest)
	case "breaks":
		s.guards[node].End(now, id, true)
	case "completes":
		s.guards[node].End(now, id, false)
		if s.tables[node].RecordCompletion(digest) {
			for _, t := range s.tables {
				t.AddReport(now, Report{ID: fmt.Sprint(node, "/cleared/", digest), Cleared: []uint64{digest}})
			}
			return "clears"
		}
	case "crashes":
		return s.crash(now, node)
	case "vouches":
		return fmt.Sprint(s.tables[node].HasCompleted(digest))
	case "asks":
		t := s.tables[node]
		tester, _ := t.Tester(now, digest)
		switch {
		case t.QuarantineRemaining(now, digest) == 0:
			return "free"
		case t.Test(now, digest, tester):
			return "tests"
		}
		return "quarantined"
	default:
		t.Fatalf("unknown step %v", w)
	}
	return ""
}

func (s *script) crash(now time.Time, node string) string {
	r, ok := s.guards[node].RecordCrash(now)
	if r = s.tables[node].Split(r).Newest(); !ok || r.Empty() {
		return "nothing"
	}
	for _, t := range s.tables {
		t.AddReport(now, r)
		t.AddReport(now, r) // A node reads the same report more than once from the entry of another.
	}
	// The order in a report is that of the starts, and that of the results in the
	// scripts the one of the digests.
	r.Digests = slices.Sorted(slices.Values(r.Digests))
	if len(r.Doubtful) > 0 {
		return fmt.Sprint(r.ID, " ", r.Digests, " doubtful ", r.Doubtful)
	}
	return fmt.Sprint(r.ID, " ", r.Digests)
}

// TestSameTester guards against nodes that each take another one for the tester of a content,
// so that none tests it: reports of crashes at the same time reach them in any order.
func TestSameTester(t *testing.T) {
	reports := []Report{{ID: "b/9/1", Digests: []uint64{7}}, {ID: "c/5/1", Digests: []uint64{7}}, {ID: "a/7/1", Digests: []uint64{7}}}
	testers := make(map[string]bool)
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		tab := NewTable("d", quarantineThreshold)
		for _, i := range order {
			tab.AddReport(start, reports[i])
		}
		tester, ok := tab.Tester(start.Add(firstQuarantine), 7)
		if !ok {
			t.Errorf("order %v: no tester after the quarantine", order)
		}
		testers[tester] = true
	}
	if len(testers) != 1 {
		t.Errorf("testers %v, want the same one in each order", testers)
	}
}

// TestBounds guards against a table that grows without bound as crashes and completed
// contents are added.
func TestBounds(t *testing.T) {
	tab := NewTable("a", quarantineThreshold)
	for i := range 4 * maxReports {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		tab.AddReport(now, Report{ID: fmt.Sprint(i), Digests: []uint64{uint64(i + 1)}})
		tab.RecordCompletion(uint64(i + 1))
	}
	most := int(crashRetention/(10*time.Second)) + 1
	if len(tab.reports) > most || len(tab.order) > most || len(tab.counts) > most {
		t.Errorf("%d reports, %d contents, want at most %d", len(tab.reports), len(tab.counts), most)
	}
	for i := range 2 * maxCompleted {
		tab.RecordCompletion(uint64(i + 1))
	}
	if n := len(tab.completed) + len(tab.olderCompleted); n > maxCompleted {
		t.Errorf("%d completed contents, want at most %d", n, maxCompleted)
	}
}

func ExampleTable() {
	t := NewTable("a", quarantineThreshold)
	for _, id := range []string{"rounds-1/1", "rounds-2/1", "rounds-3/1"} {
		t.AddReport(start, Report{ID: id, Digests: []uint64{7}})
	}
	fmt.Println(t.QuarantineRemaining(start, 7), t.QuarantineRemaining(start, 8))
	// Output: 30s 0s
}

func BenchmarkGuard(b *testing.B) {
	for _, running := range []int{16, 200} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			g := NewGuard("a")
			ids := make([]string, running)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
				g.Start(start, ids[i], uint64(i+1))
			}
			for i := 0; b.Loop(); i++ {
				id := ids[i%running]
				g.End(start, id, false)
				g.Start(start, id, uint64(i+1))
			}
		})
	}
}
