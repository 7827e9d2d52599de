package processes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"dogwoodford"
)

// headerRecorder is a target in the test process that records the headers of the
// last request.
type headerRecorder struct {
	mu      sync.Mutex
	headers http.Header
}

func (r *headerRecorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/health":
	case "/load":
		_, _ = w.Write([]byte(`{"slots":40}`))
	case "/probe/slow":
		<-req.Context().Done() // The node cancels at the deadline.
	default:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.headers = req.Header.Clone()
	}
}

func serveRecorder(t *testing.T, address string) *headerRecorder {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &headerRecorder{}
	srv := &http.Server{Handler: r}
	go func() { _ = srv.Serve(ln) }() // Returns when srv is closed.
	t.Cleanup(func() { _ = srv.Close() })
	return r
}

// TestOutcomes guards against incomplete answers, refusals with the wrong
// outcome, and headers by which a caller obtains more than its contract grants.
func TestOutcomes(t *testing.T) {
	f := newFleet(t, 8)
	rounds := f.addWorker("rounds-1", "midrand", "/sheets/ sequence GET /depot/stock/1; /collections sequence POST /billing/invoices")
	depot := f.addWorker("depot-1", "germiston", "/stock/ sequence GET /billing/invoices/1")
	billing := f.addWorker("billing-1", "soweto", "")
	archive := f.addWorker("archive-1", "midrand", "")
	rec := serveRecorder(t, archive.targetAddress)
	for _, w := range f.workers {
		if w != archive {
			f.startTarget(w)
		}
		f.startNode(w)
	}
	f.applyContract(1)
	f.waitConverged(1, f.workers...)
	f.waitRangesReachable("/billing/invoices", f.workers...)

	t.Run("three calls deep", func(t *testing.T) { f.checkNestedCalls(t, billing.entry, rounds, depot, billing) })
	t.Run("headers raise no limits", func(t *testing.T) { f.checkHeaderLimits(t, rounds, rec) })
	t.Run("child call without a token", func(t *testing.T) { f.checkWithoutToken(t, rounds, rec) })
	t.Run("replay", func(t *testing.T) { f.checkReplay(t, rounds, billing) })
	t.Run("overload", func(t *testing.T) { f.checkOverload(t, depot) })
	f.runScript(t, rounds, "testdata/outcomes.txtar")
	depot.target.kill()
	f.eventually("the failure of the target of depot-1 is known", func() error { return f.checkMemberState(rounds, "depot-1", "starting") })
	// A cutoff reported during the overload remains in effect for 2 s.
	f.eventually("requests without a target are refused", func() error {
		r := f.send(t.Context(), rounds.entry, http.MethodGet, "/depot/stock/1", "")
		if r.outcome != "not-run" {
			t.Errorf("without a target: %v", r)
		}
		if r.reason != "no-target" {
			return fmt.Errorf("%v", r)
		}
		return nil
	})
	for key, n := range f.startCounts() {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
}

// checkNestedCalls checks that a request three calls deep runs once at each
// target and gets a complete answer.
func (f *fleet) checkNestedCalls(t *testing.T, entry string, workers ...*worker) {
	id := "deep-1"
	r := f.send(t.Context(), entry, http.MethodGet, "/rounds/sheets/1", "", "Dogfake-Id", id)
	want := `{"service":"rounds","path":"/sheets/1","id":"deep-1","received":0}`
	if r.status != 200 || r.outcome != "ran" || strings.TrimSpace(r.body) != want {
		t.Errorf("got %v", r)
	}
	for _, w := range workers {
		var ran struct {
			IDs map[string]struct{ Started, Completed int }
		}
		if err := f.get("http://"+w.targetAddress+"/control/ran", &ran); err != nil {
			t.Fatal(err)
		}
		if c := ran.IDs[id]; c.Started != 1 || c.Completed != 1 {
			t.Errorf("%s: %+v", w.name, c)
		}
	}
}

// checkHeaderLimits checks that no header of the caller raises the class, the
// deadline or the retry budget, and that no secrets reach the target.
func (f *fleet) checkHeaderLimits(t *testing.T, rounds *worker, rec *headerRecorder) {
	r := f.send(t.Context(), rounds.entry, http.MethodGet, "/archive/probe/1", "",
		"Dogwoodford-Class", "sheet", "Dogwoodford-Importance", "7", "Dogwoodford-Retries", "9",
		"Dogwoodford-Deadline-Ms", "60000", "Dogwoodford-Peer-Key", "key-between-test-nodes", "Dogwoodford-Hop", "0")
	if r.outcome != "ran" {
		t.Fatalf("got %v", r)
	}
	got := rec.headers
	ms, err := strconv.Atoi(got.Get("Dogwoodford-Deadline-Ms"))
	if err != nil || ms < 1 || ms > 400 || got.Get("Dogwoodford-Class") != "probe" || got.Get("Dogwoodford-Retries") != "0" {
		t.Errorf("the target received %v", got)
	}
	for _, secret := range []string{"Authorization", "Dogwoodford-Peer-Key", "Dogwoodford-Importance"} {
		if got.Get(secret) != "" {
			t.Errorf("the target received %s", secret)
		}
	}
}

// checkWithoutToken checks that a call that belongs to no request in progress
// needs a credential and gets no retry budget, and that a call with a wrong peer
// key is refused.
func (f *fleet) checkWithoutToken(t *testing.T, rounds *worker, rec *headerRecorder) {
	r := f.send(t.Context(), rounds.exit, http.MethodGet, "/archive/probe/1", "", "Dogwoodford-Request", "unknown", "Dogwoodford-Retries", "9")
	if r.outcome != "ran" || rec.headers.Get("Dogwoodford-Retries") != "0" {
		t.Errorf("got %v, the target received %v", r, rec.headers)
	}
	r = f.send(t.Context(), rounds.exit, http.MethodGet, "/archive/probe/1", "", "Dogwoodford-Request", "unknown", "Authorization", "Bearer x")
	if r.reason != "credential" || r.outcome != "not-run" {
		t.Errorf("got %v", r)
	}
	r = f.send(t.Context(), rounds.peer, http.MethodGet, "/rounds/sheets/1", "", "Dogwoodford-Peer-Key", "key-of-another-fleet")
	if r.reason != "credential" || r.outcome != "not-run" {
		t.Errorf("a call with a wrong peer key got %v", r)
	}
}

// checkReplay checks that a key sent through two nodes runs once and gets the
// same answer from both.
func (f *fleet) checkReplay(t *testing.T, workers ...*worker) {
	key := newKey()
	var bodies []string
	for _, w := range workers {
		r := f.send(t.Context(), w.entry, http.MethodPost, "/billing/invoices", "an invoice", "Dogwoodford-Key", key)
		if r.outcome != "ran" || r.status != 200 {
			t.Errorf("through %s: %v", w.name, r)
		}
		bodies = append(bodies, r.body)
	}
	if bodies[0] != bodies[1] || f.startCounts()[key] != 1 {
		t.Errorf("ran %d times, answers %q", f.startCounts()[key], bodies)
	}
}

// checkOverload sends more requests than the target completes within the
// deadline, and checks that each answer is complete and that no request answered
// with "not-run" was started.
func (f *fleet) checkOverload(t *testing.T, w *worker) {
	f.postControl(w.targetAddress, "/control/slow", `{"ms":300}`)
	defer f.postControl(w.targetAddress, "/control/slow", `{"ms":0}`)
	var wg sync.WaitGroup
	results := make([]result, 300)
	for i := range results {
		wg.Go(func() {
			results[i] = f.send(context.Background(), w.entry, http.MethodGet, "/depot/stock/1", "",
				"Dogwoodford-Deadline-Ms", "1000", "Dogfake-Id", fmt.Sprintf("load-%d", i))
		})
	}
	wg.Wait()
	var ran struct {
		IDs map[string]struct{ Started int }
	}
	if err := f.get("http://"+w.targetAddress+"/control/ran", &ran); err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for i, r := range results {
		counts[r.outcome+" "+r.reason]++
		started := ran.IDs[fmt.Sprintf("load-%d", i)].Started
		switch {
		case r.err != nil || r.outcome == "" || r.outcome == "not-run" && (started > 0 || r.reason == ""):
			t.Errorf("started %d times: %v", started, r)
		case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "":
			t.Errorf("no Retry-After: %v", r)
		}
	}
	if counts["ran "] == 0 || counts["ran "] == len(results) {
		t.Errorf("outcomes %v", counts)
	}
	t.Logf("outcomes %v", counts)
}

// waitRangesReachable waits until each worker reaches the owners of all key
// ranges of the service that path names.
func (f *fleet) waitRangesReachable(path string, workers ...*worker) {
	f.t.Helper()
	for _, w := range workers {
		for n := range dogwoodford.KeyRanges {
			f.eventually(fmt.Sprintf("%s reaches the owner of range %d", w.name, n), func() error {
				k := newKey()
				for key, err := dogwoodford.ParseKey(k); err == nil && key.Range() != n; key, err = dogwoodford.ParseKey(k) {
					k = newKey()
				}
				if r := f.send(f.t.Context(), w.entry, http.MethodPost, path, "reach", "Dogwoodford-Key", k, "Dogwoodford-Attempt", "1"); r.outcome != "ran" {
					return fmt.Errorf("%v", r)
				}
				return nil
			})
		}
	}
}

func (f *fleet) checkMemberState(at *worker, name, state string) error {
	s, err := f.status(at)
	if err != nil {
		return err
	}
	for _, m := range s.Members {
		if m.Node == name && m.State == state {
			return nil
		}
	}
	return fmt.Errorf("%s does not see %s as %s", at.name, name, state)
}

// runScript sends the requests of a txtar file and checks their answers.
func (f *fleet) runScript(t *testing.T, w *worker, file string) {
	ar, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	at := func(d time.Duration) string { return dogwoodford.MakeKey(time.Now().Add(d), 1, 2).String() }
	for _, c := range ar.Files {
		t.Run(c.Name, func(t *testing.T) {
			text := strings.NewReplacer("$KEY", newKey(), "$OLD", at(-11*time.Minute), "$FUTURE", at(time.Minute)).Replace(string(c.Data))
			head, body, _ := strings.Cut(text, "\n\n")
			lines := strings.Split(strings.TrimSpace(head), "\n")
			method, path, _ := strings.Cut(lines[0], " ")
			var header []string
			for _, l := range lines[1:] {
				name, value, _ := strings.Cut(l, ": ")
				header = append(header, name, value)
			}
			r := f.send(t.Context(), w.entry, method, path, body, header...)
			want := strings.Fields(c.Name)
			got := fmt.Sprintf("%d %s %s", r.status, r.outcome, r.reason)
			if got != strings.TrimSuffix(strings.Join(want[:3], " "), "-") || r.err != nil {
				t.Errorf("got %v", r)
			}
		})
	}
}
