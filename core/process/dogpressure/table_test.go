package dogpressure

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"dogwoodford"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable() *Table { return New(Options{Rand: rand.New(rand.NewPCG(1, 1))}) }

func request(service, class string, importance, hop int) dogwoodford.Request {
	return dogwoodford.NewRequest(dogwoodford.RequestSpec{
		Root: "root", Customer: "firm", Service: service, Class: class, Importance: importance, Hop: hop,
	})
}

// Guards against refusing requests that some target admits, against reports
// that never expire, and against refusing all requests below the cutoff,
// without probes.
func TestAdmit(t *testing.T) {
	tab := newTable()
	low := request("depot", "photo", 2, 0)
	tab.AddReport(start, low, "depot-1", Report{Own: 5 * dogwoodford.RankCount})
	tab.AddReport(start, low, "depot-2", Report{Own: 1 * dogwoodford.RankCount})
	if v := tab.Admit(start, low); v.Action() != dogwoodford.Run {
		t.Errorf("one target admits: %v, want Run", v.Action())
	}
	tab.AddReport(start, low, "depot-2", Report{Own: 4 * dogwoodford.RankCount})
	if got, want := tab.Cutoff(start, low), dogwoodford.Priority(4*dogwoodford.RankCount); got != want {
		t.Errorf("cutoff %d, want the lower report %d", got, want)
	}
	probes := 0
	const n = 64 * 100
	for range n {
		v := tab.Admit(start, low)
		if v.Action() == dogwoodford.Run {
			probes++
		} else if v.Reason() != dogwoodford.ReasonOverload || v.RetryAfter() < time.Second || v.RetryAfter() >= 2*time.Second {
			t.Fatalf("refusal %q with hint %v", v.Reason(), v.RetryAfter())
		}
	}
	if probes < 60 || probes > 140 {
		t.Errorf("%d of %d passed as probes, want about 100", probes, n)
	}
	if v := tab.Admit(start, request("depot", "sheet", 7, 0)); v.Action() != dogwoodford.Run {
		t.Errorf("priority above the cutoff: %v, want Run", v.Action())
	}
	if got := tab.Cutoff(start.Add(DefaultExpiry), low); got != 0 {
		t.Errorf("cutoff after expiry %d, want 0", got)
	}
}

// Guards against a cutoff that does not propagate up the call tree, or that
// applies to classes which do not call the overloaded service.
func TestUpstream(t *testing.T) {
	const high = 6 * dogwoodford.RankCount
	billing, entry := newTable(), newTable()
	child := request("depot", "photo", 2, 2)
	billing.Admit(start, child)
	billing.AddReport(start, child, "depot-1", Report{Own: high})

	photo, sheet := request("billing", "photo", 2, 1), request("billing", "sheet", 3, 1)
	rep := billing.UpstreamReport(start, photo, 9)
	if rep.Own != 9 || rep.Downstream != high {
		t.Errorf("report %+v, want own 9 and downstream %d", rep, high)
	}
	if got := billing.UpstreamReport(start, sheet, 9); got.Downstream != 0 {
		t.Errorf("class without the call reports downstream %d, want 0", got.Downstream)
	}
	entry.AddReport(start, photo, "billing-1", rep)
	if got := entry.Cutoff(start, photo); got != high {
		t.Errorf("cutoff for the class %d, want %d", got, high)
	}
	if got := entry.Cutoff(start, sheet); got != 9 {
		t.Errorf("cutoff for the other class %d, want 9", got)
	}
	entry.AddReport(start, photo, "billing-1", Report{})
	if got := entry.Cutoff(start, photo); got != 0 {
		t.Errorf("cutoff after the report is withdrawn %d, want 0", got)
	}
}

// Guards against a cutoff that two nodes keep alive by reporting it to each
// other: each is an entry for a class that the other serves further down.
func TestNoEcho(t *testing.T) {
	a, b := newTable(), newTable()
	entryA, entryB := request("b", "x", 2, 0), request("a", "x", 2, 0)
	const high = 6 * dogwoodford.RankCount
	now := start
	a.Admit(now, entryA)
	b.Admit(now, entryB)
	a.AddReport(now, entryA, "b", Report{Downstream: high})
	for range 10 {
		now = now.Add(time.Second)
		a.Admit(now, entryA)
		b.Admit(now, entryB)
		b.AddReport(now, entryB, "a", a.UpstreamReport(now, entryB, 0))
		a.AddReport(now, entryA, "b", b.UpstreamReport(now, entryA, 0))
	}
	if got := a.Cutoff(now, entryA); got != 0 {
		t.Errorf("cutoff %d after 10 s without a source, want 0", got)
	}
}

// TestMean guards against entries that follow the one node with spare capacity
// while the other nodes refuse calls of requests that have already done work.
func TestMean(t *testing.T) {
	tab := New(Options{Rand: rand.New(rand.NewPCG(1, 1)), UseMean: true})
	r := request("depot", "sheet", 5, 0)
	tab.AddReport(start, r, "depot-1", Report{Own: 600})
	tab.AddReport(start, r, "depot-2", Report{Own: 0})
	tab.AddReport(start, r, "depot-3", Report{Own: 300})
	if got := tab.Cutoff(start, r); got != 300 {
		t.Errorf("cutoff %d, want the mean 300", got)
	}
	if got := tab.Cutoff(start.Add(DefaultExpiry), r); got != 0 {
		t.Errorf("cutoff %d of expired reports, want 0", got)
	}
}

// TestRetryByShare guards against hints beyond the time for which the answer is
// useful although most requests are admitted, and against callers that all return
// during a lasting overload. The demand is 20% above the capacity of a service and
// 400% above it.
func TestRetryByShare(t *testing.T) {
	for _, tc := range []struct {
		name     string
		cutoff   dogwoodford.Priority // Within importance 5, whose ranks are distributed uniformly.
		low, top time.Duration
	}{
		{"a sixth refused", 5*dogwoodford.RankCount + 21, 100 * time.Millisecond, 450 * time.Millisecond},
		{"half refused", 5*dogwoodford.RankCount + 64, 300 * time.Millisecond, 2200 * time.Millisecond},
		{"nearly all refused", 6 * dogwoodford.RankCount, time.Second, 3 * time.Second},
	} {
		tab := New(Options{Rand: rand.New(rand.NewPCG(1, 1)), RetryByRefusalShare: true})
		for i := range 3000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			r := dogwoodford.NewRequest(dogwoodford.RequestSpec{
				Root: strconv.Itoa(i), Service: "depot", Class: "sheet", Importance: 5,
			})
			tab.AddReport(now, r, "depot-1", Report{Own: tc.cutoff})
			v := tab.Admit(now, r)
			if i < 1000 || v.Action() == dogwoodford.Run {
				continue
			}
			if v.RetryAfter() < tc.low || v.RetryAfter() > tc.top {
				t.Errorf("%s: hint %v, want %v to %v", tc.name, v.RetryAfter(), tc.low, tc.top)
				break
			}
		}
	}
}

// TestRefresh guards against a cached cutoff that outlasts the refresh time
// after its reports have changed, and against computing it for each request,
// which is slow in large fleets. The cache must stay bounded.
func TestRefresh(t *testing.T) {
	const refresh = 20 * time.Millisecond
	tab := New(Options{Rand: rand.New(rand.NewPCG(1, 1)), Refresh: refresh})
	r := request("depot", "sheet", 5, 0)
	for step, tc := range []struct {
		after time.Duration
		own   dogwoodford.Priority // Reported before Cutoff is called.
		want  dogwoodford.Priority
	}{{0, 600, 600}, {refresh / 2, 0, 600}, {refresh, 0, 0}, {refresh + 1, 300, 0}, {2 * refresh, 300, 300}} {
		now := start.Add(tc.after)
		tab.AddReport(now, r, "depot-1", Report{Own: tc.own})
		if got := tab.Cutoff(now, r); got != tc.want {
			t.Errorf("step %d: cutoff %d, want %d", step, got, tc.want)
		}
	}
	for i := range 2 * maxServiceClasses {
		tab.Cutoff(start, request("depot", strconv.Itoa(i), 5, 0))
	}
	if n := len(tab.cutoffs); n > maxServiceClasses {
		t.Errorf("%d cutoffs are kept, want at most %d", n, maxServiceClasses)
	}
}
