package dogplatform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fake is an in-memory object service. It is the transport of a client instead
// of a server, so that it works with the fake clock of testing/synctest.
type fake struct {
	mu               sync.Mutex
	objects          map[string]fakeObject
	revision         int64
	changed          chan struct{} // Closed at each change.
	status           int           // HTTP status of every response if not 0.
	loseNextResponse bool          // The next call takes effect, but its response is lost.
	hang             bool          // Calls block until their deadline.
	body             string        // Body of every response if not empty.
	calls            []time.Time
	running          int
	maxRunning       int // Highest number of concurrent calls.
}

type fakeObject struct {
	Name     string `json:"name"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value"`
}

func newFake() *fake {
	return &fake{objects: map[string]fakeObject{}, changed: make(chan struct{})}
}

func (f *fake) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.calls = append(f.calls, time.Now())
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	lose, hang, status, body := f.loseNextResponse, f.hang, f.status, f.body
	f.loseNextResponse = false
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.running--
		f.mu.Unlock()
	}()
	select {
	case <-time.After(5 * time.Millisecond):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	switch {
	case status != 0:
		w.WriteHeader(status)
	case body != "":
		w.WriteString(body)
	default:
		f.serve(w, r)
	}
	if lose {
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

func (f *fake) serve(w *httptest.ResponseRecorder, r *http.Request) {
	name, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	switch {
	case r.URL.Path == "/v1/watch":
		f.watch(r.Context(), w, q.Get("prefix"), after)
	case !isObject:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.list(w, q.Get("prefix"), 0)
	case r.Method == http.MethodGet:
		f.mu.Lock()
		defer f.mu.Unlock()
		if o, ok := f.objects[name]; ok {
			json.NewEncoder(w).Encode(o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		expected, _ := strconv.ParseInt(q.Get("expected"), 10, 64)
		f.change(w, name, expected, nil)
	default:
		var in struct {
			Expected int64
			Value    []byte
		}
		b, _ := io.ReadAll(r.Body)
		if json.NewDecoder(bytes.NewReader(b)).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f.change(w, name, in.Expected, in.Value)
	}
}

func (f *fake) change(w *httptest.ResponseRecorder, name string, expected int64, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.objects[name]
	if o.Version != expected {
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(map[string]int64{"version": o.Version})
		return
	}
	f.revision++
	if value == nil {
		delete(f.objects, name)
		return
	}
	f.objects[name] = fakeObject{Name: name, Version: expected + 1, Revision: f.revision, Value: value}
	json.NewEncoder(w).Encode(map[string]int64{"version": expected + 1})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fake) list(w *httptest.ResponseRecorder, prefix string, after int64) int {
	out := []fakeObject{}
	for name, o := range f.objects {
		if strings.HasPrefix(name, prefix) && o.Revision > after {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	json.NewEncoder(w).Encode(map[string]any{"objects": out, "revision": f.revision})
	return len(out)
}

func (f *fake) watch(ctx context.Context, w *httptest.ResponseRecorder, prefix string, after int64) {
	end := time.After(30 * time.Second)
	for {
		f.mu.Lock()
		changed := f.changed
		snapshot := httptest.NewRecorder()
		n := f.list(snapshot, prefix, after)
		f.mu.Unlock()
		if n > 0 {
			w.Body = snapshot.Body
			return
		}
		select {
		case <-changed:
			continue
		case <-end:
			w.Body = snapshot.Body
		case <-ctx.Done():
		}
		return
	}
}
