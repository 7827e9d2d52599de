package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		CreatedRev int64    `json:"createdRev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is one event of the history.
type change struct {
	kind      string
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// store is a stand-in for the platform's metadata store. It loses nothing that it has
// done, and answers linearizably.
type store struct {
	addr string
	rec  *record

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	down     bool           // Calls get no answer.
	lose     func(int) bool // Whether the answer to the n-th write of the fault is lost; nil without a fault.
	writes   int            // Writes since lose was set.
	lost     int            // Answers lost.
	gone     chan struct{}  // Closed at the end of the test.
}

func newStore(addr string, rec *record) (*store, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{
		addr: ln.Addr().String(), rec: rec, revision: 1, kinds: make(map[string]map[string]object),
		changed: make(chan struct{}), gone: make(chan struct{}),
	}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// setDown makes the store silent, or ends that. Calls that it did not answer meanwhile were
// not carried out and are never answered.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// setLose sets which answers to writes are lost from now on.
func (s *store) setLose(f func(int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.writes = f, 0
}

// wake wakes the watches. The caller must hold s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write carries out a write of the operator.
func (s *store) write(kind, name string, spec any) {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.set(kind, o)
}

// set stores o with the next revision. The caller must hold s.mu.
func (s *store) set(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, Object: o})
	s.wake()
	return o
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// silence holds a call without an answer until the caller or the test ends.
func (s *store) silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.gone:
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/dogwoodford/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isDown() {
		s.silence(r)
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(path, "/")
	var status int
	var answer any
	lost := false
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		status, answer = s.watch(r, kind)
	case r.Method == http.MethodGet:
		status, answer = s.read(kind, name, r.URL.Query().Get("after"))
	default:
		status, answer, lost = s.change(r, kind, name, body)
	}
	if lost || status == 0 {
		s.silence(r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) read(kind, name, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	}
	items := []object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			return 0, nil
		}
		answer := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return 0, nil
		case <-s.gone:
			return 0, nil
		}
	}
}

// change carries out a write of a node. It reports whether the answer is lost.
func (s *store) change(r *http.Request, kind, name string, body []byte) (int, any, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := s.carryOut(r, kind, name, body)
	lost := false
	if s.lose != nil {
		lost = s.lose(s.writes)
		s.writes++
	}
	if lost {
		s.lost++
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.rec.log("store  %s %s/%s from %s: status %d, answer lost: %v", r.Method, kind, name, host, status, lost)
	return status, answer, lost
}

// carryOut carries out a write. The caller must hold s.mu.
func (s *store) carryOut(r *http.Request, kind, name string, body []byte) (int, any) {
	if r.Method == http.MethodDelete {
		old, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		if rev := r.URL.Query().Get("revision"); rev != "" && rev != strconv.FormatInt(old.Metadata.Revision, 10) {
			return http.StatusConflict, old
		}
		s.revision++
		old.Metadata.Revision = s.revision
		delete(s.kinds[kind], name)
		s.history = append(s.history, change{kind: kind, Object: old, Tombstone: true})
		s.wake()
		return http.StatusOK, old
	}
	var in object
	if json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		if old, ok := s.kinds[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, old
		}
		in.Metadata.Revision, in.Metadata.CreatedRev = 0, 0
		return http.StatusOK, s.set(kind, in)
	}
	old, ok := s.kinds[kind][name]
	switch {
	case !ok:
		return http.StatusNotFound, nil
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case string(old.Spec) == string(in.Spec):
		return http.StatusOK, old
	}
	old.Spec = in.Spec
	return http.StatusOK, s.set(kind, old)
}
