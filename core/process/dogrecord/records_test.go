package dogrecord

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodford"

	"github.com/google/go-cmp/cmp"
)

var t0 = time.UnixMilli(1_750_000_000_000)

func keyAt(t time.Time, i uint64) dogwoodford.Key {
	return dogwoodford.MakeKey(t, 0, i*0x9e3779b97f4a7c15)
}

func attempt(k dogwoodford.Key, n int) Attempt {
	return Attempt{Key: k, Number: k.Range(), Epoch: 3, Scope: 1, Attempt: n}
}

// TestDuplicates guards against a duplicate that runs, and against an answer to a
// duplicate that claims more than is known.
func TestDuplicates(t *testing.T) {
	big := make([]byte, 5<<10)
	for _, tt := range []struct {
		name  string
		res   *Result // Nil while in progress.
		again Attempt
		want  Decision
	}{
		{"in progress", nil, Attempt{Scope: 1, Attempt: 2}, Decision{Kind: InProgress, Reason: dogwoodford.ReasonDuplicate}},
		{"answer kept", &Result{Outcome: dogwoodford.OutcomeRan, Status: 201, Answer: []byte("ok")}, Attempt{Scope: 1, Attempt: 2}, Decision{Kind: Replay, Status: 201, Body: []byte("ok")}},
		{"answer too large", &Result{Outcome: dogwoodford.OutcomeRan, Status: 200, Answer: big}, Attempt{Scope: 1, Attempt: 2}, Decision{Kind: RanBefore, Reason: dogwoodford.ReasonDuplicate, Status: 200}},
		{"unknown", &Result{}, Attempt{Scope: 1, Attempt: 2}, Decision{Kind: MayHaveRun, Reason: dogwoodford.ReasonLost}},
		{"not run, same attempt", &Result{Outcome: dogwoodford.OutcomeNotRun}, Attempt{Scope: 1, Attempt: 1}, Decision{Kind: DidNotRun, Reason: dogwoodford.ReasonDuplicate}},
		{"not run, next attempt", &Result{Outcome: dogwoodford.OutcomeNotRun}, Attempt{Scope: 1, Attempt: 2}, Decision{}},
		{"another customer", &Result{Outcome: dogwoodford.OutcomeRan, Answer: []byte("secret")}, Attempt{Scope: 2, Attempt: 1}, Decision{Reason: dogwoodford.ReasonBadRequest, Kind: MayHaveRun}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, k := New(Options{}), keyAt(t0, 1)
			if d := r.Begin(t0, attempt(k, 1)); !d.Run() {
				t.Fatalf("first attempt: %+v", d)
			}
			if tt.res != nil {
				r.Finish(k, *tt.res)
			}
			tt.again.Key, tt.again.Number, tt.again.Epoch = k, k.Range(), 3
			if d := cmp.Diff(tt.want, r.Begin(t0, tt.again)); d != "" {
				t.Errorf("(-want +got):\n%s", d)
			}
		})
	}
}

// TestRetention guards against an expired key that runs again, also after the
// clock stepped back.
func TestRetention(t *testing.T) {
	r, k := New(Options{}), keyAt(t0, 1)
	r.Begin(t0, attempt(k, 1))
	r.Finish(k, Result{Outcome: dogwoodford.OutcomeRan, Answer: []byte("a")})
	if d := r.Begin(t0.Add(9*time.Minute+59*time.Second), attempt(k, 2)); d.Kind != Replay {
		t.Errorf("within the retention: %+v", d)
	}
	late := t0.Add(10*time.Minute + 17*time.Second)
	r.Expire(late)
	if st := r.Stats(); st != (Stats{}) {
		t.Errorf("after the retention: %+v", st)
	}
	for _, now := range []time.Time{late, t0, t0.Add(-time.Hour)} {
		if d := r.Begin(now, attempt(k, 2)); d.Kind != MayHaveRun || d.Reason != dogwoodford.ReasonKeyAge {
			t.Errorf("at %v: %+v", now.Sub(t0), d)
		}
	}
}

// TestBounds guards against records that are evicted, and against memory that
// grows, at the bounds.
func TestBounds(t *testing.T) {
	r := New(Options{Records: 10, AnswerBytes: 300, Shards: 1})
	for i := range uint64(10) {
		k := keyAt(t0, i+1)
		if d := r.Begin(t0, attempt(k, 1)); !d.Run() {
			t.Fatalf("key %d: %+v", i, d)
		}
		r.Finish(k, Result{Outcome: dogwoodford.OutcomeRan, Answer: make([]byte, 100)})
	}
	over := keyAt(t0, 99)
	for n, want := range map[int]DecisionKind{1: DidNotRun, 2: MayHaveRun} {
		if d := r.Begin(t0, attempt(over, n)); d.Kind != want || d.Reason != dogwoodford.ReasonOverload {
			t.Errorf("attempt %d at the bound: %+v", n, d)
		}
	}
	if d := r.Begin(t0, attempt(keyAt(t0, 1), 2)); d.Kind != RanBefore {
		t.Errorf("oldest answer: %+v", d)
	}
	if d := r.Begin(t0, attempt(keyAt(t0, 10), 2)); d.Kind != Replay {
		t.Errorf("newest answer: %+v", d)
	}
	if st := r.Stats(); st.Records != 10 || st.AnswerBytes > 300 || st.Refused != 2 {
		t.Errorf("stats %+v", st)
	}
}

// TestFences guards against keys that begin at or above a cap or in a closed epoch.
func TestFences(t *testing.T) {
	r := New(Options{})
	k := keyAt(t0.Add(1500*time.Millisecond), 1)
	n := k.Range()
	r.Begin(t0, attempt(k, 1))
	end := r.Cap(n, 3, t0.UnixMilli()+500)
	if want := t0.UnixMilli() + 1501; end != want {
		t.Errorf("cap at %d, want 1 ms after the newest key, %d", end, want)
	}
	fresh := func(ms int64) Attempt {
		for i := uint64(1000); ; i++ {
			if k := keyAt(time.UnixMilli(ms), i); k.Range() == n {
				return attempt(k, 1)
			}
		}
	}
	if d := r.Begin(t0, fresh(end)); d.Kind != DidNotRun {
		t.Errorf("key at the cap: %+v", d)
	}
	if d := r.Begin(t0, fresh(end-1)); !d.Run() {
		t.Errorf("key below the cap: %+v", d)
	}
	r.Cap(n, 5, 0) // The range has returned; the cap of the old epoch must stay in force.
	if d := r.Begin(t0, fresh(end)); d.Kind != DidNotRun {
		t.Errorf("key at the cap after the cap of a later epoch: %+v", d)
	}
	r.LiftCap(n, 3)
	if d := r.Begin(t0, fresh(end)); !d.Run() {
		t.Errorf("key after the cap was lifted: %+v", d)
	}
	if busy := r.CountInProgress(n, end); busy != 2 {
		t.Errorf("%d keys in progress below the cap, want 2", busy)
	}
	r.Close(n, 3)
	next := fresh(end + 1)
	if d := r.Begin(t0, next); d.Kind != DidNotRun {
		t.Errorf("key of a closed epoch: %+v", d)
	}
	next.Epoch = 4
	if d := r.Begin(t0, next); !d.Run() {
		t.Errorf("key of the next epoch: %+v", d)
	}
}

// TestTransfer guards against a key that runs at both owners of a handover.
func TestTransfer(t *testing.T) {
	from, to := New(Options{}), New(Options{})
	var keys []dogwoodford.Key
	for i := uint64(1); len(keys) < 4; i++ {
		if k := keyAt(t0, i); k.Range() == 2 {
			keys = append(keys, k)
			from.Begin(t0, attempt(k, 1))
		}
	}
	from.Finish(keys[0], Result{Outcome: dogwoodford.OutcomeRan, Status: 200, Answer: []byte("a")})
	from.Finish(keys[1], Result{Outcome: dogwoodford.OutcomeNotRun})
	from.Finish(keys[2], Result{})
	from.Close(2, 3)
	start, records := from.Export(t0, 2, t0.UnixMilli()-700_000, t0.UnixMilli()+1)
	if start <= t0.UnixMilli()-700_000 || start > t0.UnixMilli()-600_000 {
		t.Errorf("complete from %d ms before now", t0.UnixMilli()-start)
	}
	// A repeated transfer must change nothing.
	for range 2 {
		if !to.Import(t0, records) {
			t.Fatal("import failed")
		}
	}
	var got []DecisionKind
	for _, k := range keys {
		got = append(got, to.Begin(t0, attempt(k, 1)).Kind)
	}
	if d := cmp.Diff([]DecisionKind{Replay, DidNotRun, MayHaveRun, MayHaveRun}, got); d != "" {
		t.Errorf("duplicates at the successor (-want +got):\n%s", d)
	}
	if d := to.Begin(t0, attempt(keys[1], 2)); !d.Run() {
		t.Errorf("second attempt of a key that did not run: %+v", d)
	}
	to.Import(t0, records)
	if d := to.Begin(t0, attempt(keys[1], 3)); d.Kind != InProgress {
		t.Errorf("a late repeat of the transfer undid a record: %+v", d)
	}
	if New(Options{Records: 3}).Import(t0, records) {
		t.Error("an import beyond the bound succeeds")
	}
}

// TestConcurrentTraffic guards against races between traffic, expiry and transfers.
func TestConcurrentTraffic(t *testing.T) {
	r := New(Options{Retention: time.Minute})
	var ran [500]atomic.Int32
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range ran {
				k := keyAt(t0.Add(time.Duration(i)*time.Second), uint64(i+1))
				if r.Begin(t0.Add(time.Duration(i)*time.Second), attempt(k, g+1)).Run() {
					ran[i].Add(1)
					r.Finish(k, Result{Outcome: dogwoodford.OutcomeRan, Answer: []byte("x")})
				}
				if i%50 == g {
					r.Cap(k.Range(), 2, 0)
					r.Export(t0, 1, 0, t0.UnixMilli()+1_000_000)
					r.Stats()
				}
			}
		})
	}
	wg.Wait()
	for i := range ran {
		if n := ran[i].Load(); n > 1 {
			t.Errorf("key %d ran %d times", i, n)
		}
	}
	if st := r.Stats(); st.InProgress != 0 {
		t.Errorf("stats %+v", st)
	}
}

// TestGuardKeys guards against a guard that starts a key twice.
func TestGuardKeys(t *testing.T) {
	g, k := NewGuardKeys(Options{Records: 1}), keyAt(t0, 1)
	type answer struct {
		Outcome dogwoodford.Outcome
		Reason  dogwoodford.Reason
	}
	claim := func(now time.Time, k dogwoodford.Key) answer { o, r := g.Claim(now, k); return answer{o, r} }
	got := []answer{claim(t0, k), claim(t0, k), claim(t0, keyAt(t0, 2))}
	g.Release(k)
	got = append(got, claim(t0, k), claim(t0.Add(11*time.Minute), k))
	want := []answer{{}, {0, dogwoodford.ReasonDuplicate}, {dogwoodford.OutcomeNotRun, dogwoodford.ReasonOverload}, {}, {0, dogwoodford.ReasonKeyAge}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got):\n%s", d)
	}
	if g.Len() != 0 {
		t.Errorf("%d keys after the retention", g.Len())
	}
}

// BenchmarkBeginFinish measures, by the number of records held, the cost of one
// key and the memory of one record.
func BenchmarkBeginFinish(b *testing.B) {
	for _, held := range []int{1e4, 1e5, 1e6} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := New(Options{Records: 1 << 30})
			// Keys arrive evenly over the retention.
			step := 10 * time.Minute / time.Duration(held)
			now, i := t0, uint64(0)
			one := func() {
				i++
				now = now.Add(step)
				k := keyAt(now, i)
				if r.Begin(now, attempt(k, 1)).Run() {
					r.Finish(k, Result{Outcome: dogwoodford.OutcomeRan, Status: 200})
				}
			}
			for range held {
				one()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				one()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "B/record")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkKeptAnswer measures the memory of one record by the size of the answer
// that is kept with it.
func BenchmarkKeptAnswer(b *testing.B) {
	const held = 10_000
	for _, size := range []int{0, 512, 4096} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := New(Options{})
				for i := range uint64(held) {
					k := keyAt(t0.Add(time.Duration(i)*time.Millisecond), i)
					if r.Begin(t0.Add(time.Minute), attempt(k, 1)).Run() {
						r.Finish(k, Result{Outcome: dogwoodford.OutcomeRan, Status: 200, Answer: make([]byte, size)})
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(r)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "B/record")
		})
	}
}

// BenchmarkGuardKeys measures, by the number of keys held, the cost and the memory
// of one key at a guard.
func BenchmarkGuardKeys(b *testing.B) {
	for _, held := range []int{1e4, 1e5, 2e5} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			g := NewGuardKeys(Options{Records: 1 << 30})
			step := 10 * time.Minute / time.Duration(held)
			now, i := t0, uint64(0)
			one := func() {
				i++
				now = now.Add(step)
				g.Claim(now, keyAt(now, i))
			}
			for range held {
				one()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				one()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "B/key")
			runtime.KeepAlive(g)
		})
	}
}

// BenchmarkBeginFinishParallel measures the cost of one key under traffic from all
// processors.
func BenchmarkBeginFinishParallel(b *testing.B) {
	r := New(Options{Records: 1 << 30})
	var next atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		base := next.Add(1) << 40
		for i := base; pb.Next(); i++ {
			now := t0.Add(time.Duration(i-base) * 100 * time.Microsecond)
			k := keyAt(now, i)
			if r.Begin(now, attempt(k, 1)).Run() {
				r.Finish(k, Result{Outcome: dogwoodford.OutcomeRan, Status: 200})
			}
		}
	})
}
