package faketarget

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func send(t *Target, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w
}

// TestSlots guards against a target that runs more requests concurrently than
// it has slots, and against expired requests that run.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := New(Config{Service: "rounds", Slots: 2, ServiceTime: 20 * time.Millisecond, ColdStart: time.Second})
		if w := send(target, "GET", "/health", ""); w.Code != 503 || w.Body.String() != "starting" {
			t.Errorf("health during the cold start: %d %s", w.Code, w.Body)
		}
		time.Sleep(time.Second)
		start := time.Now()
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { send(target, "GET", "/sheets/1", "") })
		}
		synctest.Wait()
		if w := send(target, "GET", "/load", ""); w.Body.String() != "{\"in_flight\":2,\"slots\":2}\n" {
			t.Errorf("load: %s", w.Body)
		}
		w := send(target, "GET", "/sheets/1", "", "Dogwoodford-Deadline-Ms", "5")
		if w.Code != 503 || w.Header().Get(outcomeHeader) != "not-run" {
			t.Errorf("expired request: %d %v", w.Code, w.Header())
		}
		wg.Wait()
		if got := time.Since(start); got != 60*time.Millisecond {
			t.Errorf("5 requests of 20 ms on 2 slots took %v, want 60 ms", got)
		}
		if diff := cmp.Diff(Counts{Started: 5, Completed: 5, NeverStarted: 1}, target.runCounts.Total); diff != "" {
			t.Errorf("run counts: -want +got:\n%s", diff)
		}
	})
}

// TestDrain guards against a drain that aborts or drops requests in progress.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := New(Config{Slots: 2, ServiceTime: time.Second})
		var early, grace, late *httptest.ResponseRecorder
		go func() { early = send(target, "POST", "/invoices", "", "Dogwoodford-Key", "k") }()
		synctest.Wait()
		go func() {
			time.Sleep(50 * time.Millisecond)
			grace = send(target, "GET", "/sheets/1", "")
		}()
		go func() {
			time.Sleep(200 * time.Millisecond)
			late = send(target, "GET", "/sheets/1", "")
		}()
		target.Drain(t.Context(), 100*time.Millisecond)
		synctest.Wait()
		if grace.Code != 200 {
			t.Errorf("during the grace period: %d, want 200", grace.Code)
		}
		if early.Code != 200 || late.Code != 503 || late.Header().Get(outcomeHeader) != "not-run" {
			t.Errorf("in progress %d, new %d %v, want 200, 503 not-run", early.Code, late.Code, late.Header())
		}
		if w := send(target, "GET", "/health", ""); w.Body.String() != "draining" {
			t.Errorf("health: %s", w.Body)
		}
		if diff := cmp.Diff(&Counts{Started: 1, Completed: 1}, target.runCounts.Keys["k"]); diff != "" {
			t.Errorf("key: -want +got:\n%s", diff)
		}
	})
}

// TestControl guards against control requests that have no effect.
func TestControl(t *testing.T) {
	crashes := 0
	target := New(Config{Slots: 3, CrashMarker: "CRASH", Crash: func() { crashes++ }})
	send(target, "POST", "/control/health", `{"health":"failing","load":"full"}`)
	if w := send(target, "GET", "/health", ""); w.Code != 503 {
		t.Errorf("false health: %d, want 503", w.Code)
	}
	if w := send(target, "GET", "/load", ""); !strings.Contains(w.Body.String(), `"in_flight":3`) {
		t.Errorf("false load: %s", w.Body)
	}
	if w := send(target, "POST", "/control/health", `{"health":"odd"}`); w.Code != 400 {
		t.Errorf("unknown mode: %d, want 400", w.Code)
	}
	send(target, "POST", "/control/slow", `{"ms":7}`)
	if d := target.serviceTime(); d != 7*time.Millisecond {
		t.Errorf("service time %v, want 7 ms", d)
	}
	send(target, "GET", "/CRASH", "")
	send(target, "POST", "/a", "xxCRASHxx")
	s := &crashScanner{marker: []byte("CRASH"), crash: func() { crashes++ }}
	for _, part := range []string{"xxCR", "A", "SHxx"} {
		_, _ = s.Write([]byte(part))
	}
	if crashes != 3 {
		t.Errorf("%d crashes, want 3", crashes)
	}
}

// TestChildCalls guards against child calls without the headers by which a node
// associates them with their parent request.
func TestChildCalls(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	exit := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.Method+" "+r.URL.Path+" "+r.Header.Get("Dogwoodford-Request")+" "+r.Header.Get("Traceparent")+" "+r.Header.Get(IDHeader)]++
		if r.URL.Path == "/depot/fail" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer exit.Close()
	rules, err := ParseRules("/ sequence GET /depot/fail\n# A comment.\n/sheets/ parallel GET /depot/1 POST /evidence/2")
	if err != nil {
		t.Fatal(err)
	}
	target := New(Config{Slots: 1, Exit: strings.TrimPrefix(exit.URL, "http://"), Rules: rules, Retries: 2})
	headers := []string{"Dogwoodford-Request", "tok", "Traceparent", "tp", IDHeader, "id"}
	if w := send(target, "GET", "/sheets/1", "", headers...); w.Code != 200 {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	if w := send(target, "GET", "/other", "", headers...); w.Code != 502 {
		t.Errorf("failed child: status %d, want 502", w.Code)
	}
	want := map[string]int{"GET /depot/1 tok tp id": 1, "POST /evidence/2 tok tp id": 1, "GET /depot/fail tok tp id": 3}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Errorf("child calls: -want +got:\n%s", diff)
	}
	for _, bad := range []string{"/a", "/a sequence", "/a sequence GET", "/a both GET /b", "a sequence GET /b", "/a sequence get /b"} {
		if _, err := ParseRules(bad); err == nil {
			t.Errorf("ParseRules(%q) accepted a malformed rule", bad)
		}
	}
}

// TestStreams guards against streams whose digests do not match their bytes.
func TestStreams(t *testing.T) {
	srv := httptest.NewServer(New(Config{Slots: 1}))
	defer srv.Close()
	data, _ := io.ReadAll(Pattern(3 << 20))
	sum := sha256.Sum256(data)
	resp, err := http.Get(srv.URL + "/stream?bytes=3145728")
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || sha256.Sum256(got) != sum || resp.Trailer.Get(SHA256Trailer) != hex.EncodeToString(sum[:]) {
		t.Errorf("stream: %d bytes, trailer %v, error %v", len(got), resp.Trailer, err)
	}
	resp, err = http.Post(srv.URL+"/upload/1", "", Pattern(3<<20))
	if err != nil {
		t.Fatal(err)
	}
	got, _ = io.ReadAll(resp.Body)
	if want := `{"bytes":3145728,"sha256":"` + hex.EncodeToString(sum[:]) + "\"}\n"; string(got) != want {
		t.Errorf("upload: %s, want %s", got, want)
	}
	resp, err = http.Get(srv.URL + "/stream?bytes=3145728&break=1000000&length=1")
	if err != nil {
		t.Fatal(err)
	}
	if got, err = io.ReadAll(resp.Body); err == nil {
		t.Errorf("aborted stream was read without an error: %d bytes", len(got))
	}
}
