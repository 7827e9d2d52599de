package fakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// client opens a connection for each call: net/http resends a GET by itself if
// a reused connection breaks, which would make the counts wrong.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns the status and the decoded answer. Status 0
// means that the connection broke.
func call(t *testing.T, base, method, path, body string) (int, map[string]any) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatalf("%s %s: %v in %q", method, path, err, data)
	}
	return resp.StatusCode, out
}

// TestProtocol guards against answers that deviate from the protocol of section
// 8.3, and against faults that behave otherwise than documented.
func TestProtocol(t *testing.T) {
	srv := httptest.NewServer(NewServer(NewStore()))
	defer srv.Close()
	for _, step := range []struct {
		method, path, body string
		status             int
		answer             map[string]any
	}{
		{"GET", "/v1/objects/a/b", "", 404, nil},
		{"PUT", "/v1/objects/a/b", `{"expected":0,"value":"aGk="}`, 200, map[string]any{"version": 1.0}},
		{"PUT", "/v1/objects/a/b", `{"expected":0,"value":"aGk="}`, 409, map[string]any{"version": 1.0}},
		{"PUT", "/v1/objects/a/b", `{"expected":0,"value":"` + strings.Repeat("AAAA", 1<<19) + `"}`, 413, nil},
		{"PUT", "/v1/objects/a/b", `{`, 400, nil},
		{"GET", "/v1/objects/a/b", "", 200, map[string]any{"name": "a/b", "version": 1.0, "revision": 1.0, "value": "aGk="}},
		{"GET", "/v1/objects?prefix=z", "", 200, map[string]any{"objects": []any{}, "revision": 1.0}},
		{"POST", "/control/snapshot", `{"name":"s"}`, 200, nil},
		{"POST", "/control/fault", `{"kind":"lose_answer","count":1}`, 200, nil},
		{"GET", "/v1/objects/a/b", "", 200, nil},
		{"PUT", "/v1/objects/a/b", `{"expected":1,"value":"eW8="}`, 0, nil},
		{"GET", "/v1/objects/a/b", "", 200, map[string]any{"name": "a/b", "version": 2.0, "revision": 2.0, "value": "eW8="}},
		{"POST", "/control/fault", `{"kind":"down"}`, 200, nil},
		{"GET", "/v1/objects/a/b", "", 0, nil},
		{"GET", "/v1/watch?prefix=a&after=2", "", 0, nil},
		{"POST", "/control/fault", `{"kind":"none"}`, 200, nil},
		{"POST", "/control/fault", `{"kind":"odd"}`, 400, nil},
		{"POST", "/control/restore", `{"name":"s"}`, 200, nil},
		{"GET", "/v1/watch?prefix=a&after=2", "", 200, map[string]any{"revision": 3.0, "objects": []any{
			map[string]any{"name": "a/b", "version": 1.0, "revision": 3.0, "value": "aGk="}}}},
		{"DELETE", "/v1/objects/a/b?expected=7", "", 409, map[string]any{"version": 1.0}},
		{"DELETE", "/v1/objects/a/b?expected=1", "", 200, nil},
		{"POST", "/control/restore", `{"name":"s","rewind":true}`, 200, nil},
		{"GET", "/v1/watch?prefix=a&after=4", "", 200, map[string]any{"revision": 1.0, "objects": []any{
			map[string]any{"name": "a/b", "version": 1.0, "revision": 1.0, "value": "aGk="}}}},
		{"GET", "/control/counts", "", 200, map[string]any{
			"get": 5.0, "put": 5.0, "list": 1.0, "delete": 2.0, "watch": 3.0, "total": 16.0}},
	} {
		status, got := call(t, srv.URL, step.method, step.path, step.body)
		if status != step.status {
			t.Fatalf("%s %s: status %d, want %d (%v)", step.method, step.path, status, step.status, got)
		}
		if diff := cmp.Diff(step.answer, got); step.answer != nil && diff != "" {
			t.Fatalf("%s %s: -want +got:\n%s", step.method, step.path, diff)
		}
	}
}

// TestDownBreaksWatches guards against a pending watch that stays open during
// the fault down, so that nodes would not notice that the service is down.
func TestDownBreaksWatches(t *testing.T) {
	s := NewServer(NewStore())
	srv := httptest.NewServer(s)
	defer srv.Close()
	broken := make(chan int)
	go func() {
		status, _ := call(t, srv.URL, "GET", "/v1/watch?prefix=a&after=0", "")
		broken <- status
	}()
	for s.callCount("watch") == 0 {
		time.Sleep(time.Millisecond)
	}
	call(t, srv.URL, "POST", "/control/fault", `{"kind":"down"}`)
	if status := <-broken; status != 0 {
		t.Errorf("status %d, want a broken connection", status)
	}
}

// callCount returns the number of calls of a kind.
func (s *Server) callCount(kind string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[kind]
}

// TestWatchWaits guards against watches that return early, which would increase
// the number of counted calls, or that miss a change.
func TestWatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		start := time.Now()
		if got, _ := s.Watch(t.Context(), "a", 0, 30*time.Second); len(got) != 0 || time.Since(start) != 30*time.Second {
			t.Errorf("%d objects after %v, want none after 30 s", len(got), time.Since(start))
		}
		go func() {
			time.Sleep(time.Second)
			s.Put("b/1", 0, nil) // Outside the prefix.
			time.Sleep(time.Second)
			s.Put("a/1", 0, nil)
		}()
		start = time.Now()
		got, revision := s.Watch(t.Context(), "a", 0, 30*time.Second)
		if len(got) != 1 || revision != 2 || time.Since(start) != 2*time.Second {
			t.Errorf("%d objects, revision %d after %v, want 1, 2, 2 s", len(got), revision, time.Since(start))
		}
	})
}
