package dogreplay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

// parseFile parses a trace file.
func parseFile(t *testing.T, file string) *Trace {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := Parse(filepath.Base(file), string(text))
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Start and length of the faults in the brief form of a trace, and its length.
const (
	briefStart = 3 * time.Second
	briefFault = 6 * time.Second
	briefRun   = 15 * time.Second
)

// brief shortens a trace: each fault that does not start at 0 s starts at 3 s and
// lasts 6 s, and the run ends 6 s after it. The bounds of the expectations stay.
func brief(tr *Trace) {
	move := func(d time.Duration, first time.Duration) time.Duration {
		if d <= first {
			return briefStart
		}
		return briefStart + briefFault
	}
	for i := range tr.faults {
		f := &tr.faults[i]
		if f.at > 0 {
			f.at, f.length = briefStart, briefFault
		}
	}
	for i := range tr.expectations {
		e := &tr.expectations[i]
		e.from, e.to = move(e.from, 10*time.Second), move(e.to, 10*time.Second)
	}
	tr.length = briefRun
}

// replay runs a trace and reports the expectations that are not met, out of those
// whose text contains only.
func replay(t *testing.T, tr *Trace, p Policy, only string) {
	t.Helper()
	s := newSim(tr, p, 1)
	s.runUntil(tr.length + tail)
	for _, c := range s.result(1).Expectations {
		if strings.Contains(c.Text, only) && !c.Pass {
			t.Errorf("line %d: %s: measured %.2f", c.Line, c.Text, c.Measured)
		}
	}
}

// Guards against a policy that misses the goodput and recovery bounds. Two traces
// run in their brief form, so that the race detector covers the replay too.
func TestTracesBrief(t *testing.T) {
	for _, name := range []string{"consortium-slow", "consortium-retry"} {
		for _, p := range []Policy{Ours, Paced} {
			t.Run(name+"/"+p.String(), func(t *testing.T) {
				t.Parallel()
				tr := parseFile(t, "testdata/traces/"+name+".trace")
				brief(tr)
				replay(t, tr, p, "")
			})
		}
	}
}

const small = `run 5s
data-centres a b
delay between 4ms client 1ms
service front workers 2 slots 10 time 20ms spread 0.5
service back workers 2 slots 4 time 20ms cold 1s cold-factor 2
class read importance 7 deadline 500ms retries 3 idempotent yes contents 50
tree read front(back back)
rate read 0s 100
class write importance 2 deadline 500ms retries 3
tree write back
rate write 0s 100
clients resends 3 backoff 20ms honour-retry-after yes
at 1s crash back 0 for 1s
at 2s cut b for 1s
at 3s slow back x10 for 1s
`

// Guards against results that depend on anything but the trace, policy and seed,
// and against a seed without effect.
func TestDeterminism(t *testing.T) {
	tr, err := Parse("small", small)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []Policy{Ours, None, Fixed, Paced} {
		table := func(seed uint64) string {
			var b strings.Builder
			if err := Run(tr, p, seed).WriteTable(&b); err != nil {
				t.Fatal(err)
			}
			return b.String()
		}
		if diff := cmp.Diff(table(7), table(7)); diff != "" {
			t.Errorf("%v: two runs differ:\n%s", p, diff)
		}
		if table(7) == strings.ReplaceAll(table(8), "seed 8", "seed 7") {
			t.Errorf("%v: seeds 7 and 8 give the same result", p)
		}
	}
}

// Guards against attempts beyond the retry budget: a try makes at most one attempt
// for each call of its tree, and for each retry of the budget as many again.
func TestAttemptsAreBounded(t *testing.T) {
	tr, err := Parse("small", small)
	if err != nil {
		t.Fatal(err)
	}
	res := Run(tr, Ours, 1)
	const calls, budget = 3, 3
	if limit := res.Tries * (calls + budget*calls); res.Attempts > limit {
		t.Errorf("%d attempts for %d tries, want at most %d", res.Attempts, res.Tries, limit)
	}
	l := retryBudget{left: 5}
	a := l.share()
	b := l.share()
	if a != 3 || b != 1 || l.left != 1 {
		t.Errorf("shares %d, %d and %d left; want 3, 1 and 1", a, b, l.left)
	}
	if l.refund(a); !l.spend() || l.left != 3 {
		t.Errorf("%d left after a refund and one retry, want 3", l.left)
	}
}

// Guards against an estimate of the possible goodput that ignores importance,
// faults or the time for which calls hold their slots during child calls.
func TestPossible(t *testing.T) {
	tr, err := Parse("possible", `run 10s
data-centres a b
delay local 0s
service front workers 2 slots 10 time 50ms
service back workers 2 slots 5 time 50ms
class top importance 7
tree top front(back)
rate top 0s 1
class low importance 1
tree low back
rate low 0s 1
at 2s slow back x2 for 2s
at 4s cut b for 2s
at 6s drain back half for 2s
`)
	if err != nil {
		t.Fatal(err)
	}
	s := newSim(tr, None, 1)
	// Slot-seconds per bucket of 0.5 s: front 10, back 5. A top request takes
	// 0.1 of front and 0.05 of back, a low one 0.05 of back.
	for _, tc := range []struct {
		at   time.Duration
		want []float64
	}{
		{0, []float64{80, 20}},
		{2 * time.Second, []float64{50, 0}},
		{4 * time.Second, []float64{80, 20}},
		{6 * time.Second, []float64{50, 0}},
	} {
		got := s.possible(int(tc.at/bucket), []float64{80, 60})
		if diff := cmp.Diff(tc.want, got, cmp.Comparer(func(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 })); diff != "" {
			t.Errorf("at %v (-want +got):\n%s", tc.at, diff)
		}
	}
}

// Guards against errors without the line number, and against invalid input that
// is accepted. Each file of the archive is a trace, and the name of the file is
// part of the expected error. The archive comment is not used.
func TestParseErrors(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/errors.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		_, err := Parse("t", string(f.Data))
		if err == nil || !strings.Contains(err.Error(), f.Name) {
			t.Errorf("error %v, want %q in:\n%s", err, f.Name, f.Data)
		}
	}
}

// Guards against panics and endless loops on any input. Small traces are also
// run.
func FuzzParse(f *testing.F) {
	f.Add(small)
	f.Fuzz(func(t *testing.T, text string) {
		tr, err := Parse("t", text)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "t:") {
				t.Errorf("error without the trace name and line: %v", err)
			}
			return
		}
		requests := 0.0
		for c := range tr.classes {
			for _, r := range tr.classes[c].rates {
				requests = max(requests, r.perSec)
			}
		}
		if requests <= 100 && tr.length <= 5*time.Second && len(tr.faults) == 0 && len(tr.classes) < 5 {
			Run(tr, Ours, 1)
		}
	})
}
