package fakeload

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRun guards against customer requests that are counted twice or not at
// all, and against answers that are counted under the wrong result.
func TestRun(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string][]string{} // Idempotency keys by path.
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		attempts[r.URL.Path] = append(attempts[r.URL.Path], r.Header.Get("Dogwoodford-Key"))
		mu.Unlock()
		switch r.URL.Path {
		case "/ok":
			_, _ = w.Write([]byte(`{"id":"` + r.Header.Get("Dogfake-Id") + `"}`))
		case "/wrong":
			_, _ = w.Write([]byte(`{"id":"another"}`))
		case "/refused":
			w.Header().Set("Dogwoodford-Outcome", "not-run")
			w.Header().Set("Dogwoodford-Reason", "overload")
			w.WriteHeader(503)
		case "/unknown-then-refused":
			w.Header().Set("Dogwoodford-Outcome", map[string]string{"1": "unknown", "2": "not-run"}[r.Header.Get("Dogwoodford-Attempt")])
			w.WriteHeader(503)
		case "/error":
			w.Header().Set("Dogwoodford-Outcome", "ran")
			w.WriteHeader(500)
		case "/cut":
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("short"))
		case "/lost":
			panic(http.ErrAbortHandler)
		}
	}))
	defer entry.Close()
	mix, err := ParseMix("1 ok GET /ok; 1 wrong GET /wrong; 1 refused GET /refused; 1 mixed POST /unknown-then-refused 10;" +
		"1 error GET /error; 1 cut GET /cut; 1 lost POST /lost 10 \n # A comment.")
	if err != nil {
		t.Fatal(err)
	}
	rep := Run(t.Context(), Config{
		Entries: []string{strings.TrimPrefix(entry.URL, "http://")}, Rate: 2000, Duration: 100 * time.Millisecond,
		Mix: mix, Timeout: time.Minute, Resends: 1, MaxInProgress: 1000, Seed: 3,
	})
	if rep.Total.Asked != 200 || len(rep.Rows) != len(mix) {
		t.Fatalf("asked %d in %d classes, want 200 in %d", rep.Total.Asked, len(rep.Rows), len(mix))
	}
	want := map[string]func(Row) int{
		"ok":      func(r Row) int { return r.Completed },
		"wrong":   func(r Row) int { return r.Failed },
		"refused": func(r Row) int { return r.Refused },
		"mixed":   func(r Row) int { return r.Unknown },
		"error":   func(r Row) int { return r.Failed },
		"cut":     func(r Row) int { return r.Failed },
		"lost":    func(r Row) int { return r.Unknown },
	}
	for _, r := range rep.Rows {
		if sum := r.Completed + r.Refused + r.Unknown + r.Failed; sum != r.Asked || want[r.Class](r) != r.Asked {
			t.Errorf("%s: %+v, want all %d in one column", r.Class, r, r.Asked)
		}
	}
	// After a broken connection, the handler is not known to have returned, so
	// that the map is read under the lock.
	mu.Lock()
	defer mu.Unlock()
	for _, key := range attempts["/lost"] {
		n := 0
		for _, k := range attempts["/lost"] {
			if k == key {
				n++
			}
		}
		if key == "" || n != 2 {
			t.Errorf("key %q was sent %d times, want 2: a resend repeats its key", key, n)
		}
	}
}

// TestParseMix guards against mixes that are parsed wrongly and malformed ones
// that are accepted.
func TestParseMix(t *testing.T) {
	got, err := LoadMix("3 sheet GET /rounds/{n}\n1 invoice POST /billing 20")
	want := Mix{{3, "sheet", "GET", "/rounds/{n}", 0}, {1, "invoice", "POST", "/billing", 20}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("error %v; -want +got:\n%s", err, diff)
	}
	for _, bad := range []string{"", "0 a GET /", "1 a GET", "1 a get /", "1 a GET b", "1 a GET / x", "1 a GET / 2 3"} {
		if _, err := ParseMix(bad); err == nil {
			t.Errorf("ParseMix(%q) accepted a malformed mix", bad)
		}
	}
}
