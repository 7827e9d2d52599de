package fakeplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1 << 20
	// maxWatchWait is the time after which a watch is answered without changes.
	maxWatchWait = 30 * time.Second
)

// Fault is an injected fault. Count is the number of calls that it affects; 0
// means all calls until another fault is set.
type Fault struct {
	// Kind is none, down (the connection breaks before the call has an effect),
	// slow (each call first waits MS milliseconds) or lose_answer (a write takes
	// effect and the connection breaks instead of an answer).
	Kind  string `json:"kind"`
	MS    int64  `json:"ms"`
	Count int    `json:"count"`
}

// Server serves a store over HTTP. It is safe for concurrent use.
type Server struct {
	store *Store
	mux   *http.ServeMux

	mu     sync.Mutex
	counts map[string]int64
	fault  Fault
	down   chan struct{} // Closed while the fault is down.
}

// NewServer returns a server for the store.
func NewServer(store *Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux(), counts: make(map[string]int64), down: make(chan struct{})}
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.instrument("get", s.get))
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.instrument("put", s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{name...}", s.instrument("delete", s.remove))
	s.mux.HandleFunc("GET /v1/objects", s.instrument("list", s.list))
	s.mux.HandleFunc("GET /v1/watch", s.instrument("watch", s.watch))
	s.mux.HandleFunc("GET /control/counts", s.getCounts)
	s.mux.HandleFunc("DELETE /control/counts", s.resetCounts)
	s.mux.HandleFunc("POST /control/fault", s.setFault)
	s.mux.HandleFunc("POST /control/snapshot", s.snapshot)
	s.mux.HandleFunc("POST /control/restore", s.restore)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// instrument returns a handler that counts each call, applies the current fault
// to it and calls h.
func (s *Server) instrument(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := s.countCall(kind)
		switch fault.Kind {
		case "down":
			panic(http.ErrAbortHandler)
		case "slow":
			select {
			case <-time.After(time.Duration(fault.MS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		case "lose_answer":
			h(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// countCall counts a call and returns the fault that affects it.
func (s *Server) countCall(kind string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	s.counts["total"]++
	f := s.fault
	if f.Kind == "lose_answer" && kind != "put" && kind != "delete" {
		return Fault{}
	}
	if f.Kind != "" && f.Count > 0 {
		s.fault.Count--
		if s.fault.Count == 0 {
			s.replaceFault(Fault{})
		}
	}
	return f
}

// replaceFault sets the fault and, if it is down, breaks pending watches. The
// caller holds mu.
func (s *Server) replaceFault(f Fault) {
	if s.fault.Kind == "down" {
		s.down = make(chan struct{})
	}
	s.fault = f
	if f.Kind == "down" {
		close(s.down)
	}
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o := s.store.Get(r.PathValue("name"))
	if o.Version == 0 {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected int64  `json:"expected"`
		Value    []byte `json:"value"`
	}
	// Base64 encodes three bytes in four; 4096 bytes are left for the JSON around
	// the value.
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes*4/3+4096)).Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || len(body.Value) > maxValueBytes:
		writeError(w, http.StatusRequestEntityTooLarge, "the value is larger than 1 MiB")
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
		return
	case r.PathValue("name") == "":
		writeError(w, http.StatusBadRequest, "the name is empty")
		return
	}
	version, ok := s.store.Put(r.PathValue("name"), body.Expected, body.Value)
	writeVersion(w, version, ok)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseInt(r.FormValue("expected"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "parameter expected is not a number")
		return
	}
	version, ok := s.store.Delete(r.PathValue("name"), expected)
	if !ok && version == 0 {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	writeVersion(w, version, ok)
}

// writeVersion answers with the version of an object, with status 409 if ok is
// false.
func writeVersion(w http.ResponseWriter, version int64, ok bool) {
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]int64{"version": version})
}

// listAnswer is the answer to a list or a watch.
type listAnswer struct {
	Objects  []Object `json:"objects"`
	Revision int64    `json:"revision"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, revision := s.store.List(r.FormValue("prefix"))
	writeJSON(w, http.StatusOK, listAnswer{Objects: objects, Revision: revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "parameter after is not a revision")
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	ctx, cancel := contextUntil(r.Context(), down)
	defer cancel()
	objects, revision := s.store.Watch(ctx, r.FormValue("prefix"), after, maxWatchWait)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, listAnswer{Objects: objects, Revision: revision})
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.counts)
}

func (s *Server) resetCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.counts)
	writeJSON(w, http.StatusOK, s.counts)
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	switch f.Kind {
	case "none":
		f = Fault{}
	case "down", "slow", "lose_answer":
	default:
		writeError(w, http.StatusBadRequest, fmt.Sprintf("unknown kind of fault %q", f.Kind))
		return
	}
	s.mu.Lock()
	s.replaceFault(f)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) snapshot(w http.ResponseWriter, r *http.Request) {
	var body struct{ Name string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.store.Snapshot(body.Name)
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Name   string
		Rewind bool
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.store.Restore(body.Name, body.Rewind); err != nil {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// writeJSON answers with v in JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers with an error message.
func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]string{"error": text})
}
