package rig

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata describes an object of a Store.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object of a Store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is one change of an object.
type event struct {
	kind      string
	Object    Object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// Copy is the state of a Store at one moment.
type Copy struct {
	revision int64
	kinds    map[string]map[string]Object
	history  []event
}

// Revision returns the revision at which the copy was taken.
func (c Copy) Revision() int64 { return c.revision }

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	rec *Record

	mu       sync.Mutex
	revision int64
	first    int64 // Oldest revision from which a watch is served.
	era      int64
	kinds    map[string]map[string]Object
	history  []event
	changed  chan struct{} // Closed at the next change.
	conns    map[net.Conn]struct{}
	down     bool
	// configWatches counts the watches of the configuration that wait.
	configWatches int
}

// StartStore serves a store at addr until the process ends.
func StartStore(rec *Record, addr string) (*Store, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{
		rec: rec, revision: 1, first: 1, era: 1, kinds: make(map[string]map[string]Object),
		changed: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	srv := &http.Server{Handler: s, ConnState: s.track}
	go srv.Serve(ln)
	return s, nil
}

// track keeps the open connections, and closes new ones while the store is away.
func (s *Store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.down {
			c.Close()
			return
		}
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Leave makes the store go away: its connections are closed, as when its process ends.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	for c := range s.conns {
		c.Close()
	}
	s.conns = make(map[net.Conn]struct{})
	s.notify()
	s.rec.Printf("store: away at revision %d", s.revision)
}

// Return makes the store come back as it was.
func (s *Store) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.rec.Printf("store: back at revision %d, era %d", s.revision, s.era)
}

// Take returns a copy of the store.
func (s *Store) Take() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, kinds: cloneKinds(s.kinds), history: slices.Clone(s.history)}
}

func cloneKinds(in map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object)
	for kind, objects := range in {
		out[kind] = maps.Clone(objects)
	}
	return out
}

// Restore makes the store come back from a copy, in the next era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.kinds, s.history = c.revision, cloneKinds(c.kinds), slices.Clone(c.history)
	s.era++
	s.down = false
	s.notify()
	s.rec.Printf("store: back from a copy at revision %d, era %d", s.revision, s.era)
}

// ConfigWatches returns the number of watches of the configuration that wait.
func (s *Store) ConfigWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configWatches
}

// Write creates or replaces an object, as the operator does, and returns its revision.
func (s *Store) Write(kind, name string, spec json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	return s.set(kind, o).Metadata.Revision
}

// Spec returns the spec of an object, nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kinds[kind])
}

// Revision returns the revision of the store.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// notify wakes the watches. The caller must hold s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set stores o with the next revision. The caller must hold s.mu.
func (s *Store) set(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, Object: o})
	s.notify()
	return o
}

const objectsPath = "/dogwoodford/objects/"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(path, "/")
	status, answer := s.call(r, kind, name)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") != "" {
		s.rec.Printf("store: %s %s from %s: %d", r.Method, r.URL.RequestURI(), r.RemoteAddr, status)
	} else {
		s.rec.Printf("store: %s %s from %s: %d", r.Method, r.URL.Path, r.RemoteAddr, status)
	}
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer) // Fails only if the caller has gone.
	}
}

func (s *Store) call(r *http.Request, kind, name string) (int, any) {
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		return s.list(r, kind)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch r.Method {
	case http.MethodGet:
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, old
	case http.MethodDelete:
		return s.remove(r, kind, old, exists)
	}
	return s.put(r.Method, data, kind, name, old, exists)
}

// put creates or replaces an object. The caller must hold s.mu.
func (s *Store) put(method string, data []byte, kind, name string, old Object, exists bool) (int, any) {
	var in Object
	if json.Unmarshal(data, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if method == http.MethodPost {
		if have, exists := s.kinds[kind][in.Metadata.Name]; exists {
			return http.StatusConflict, have
		}
		return http.StatusOK, s.set(kind, Object{Metadata: Metadata{Name: in.Metadata.Name}, Spec: in.Spec})
	}
	switch {
	case !exists:
		return http.StatusNotFound, nil
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case string(old.Spec) == string(in.Spec):
		return http.StatusOK, old
	}
	old.Metadata.Name, old.Spec = name, in.Spec
	return http.StatusOK, s.set(kind, old)
}

// remove deletes an object. The caller must hold s.mu.
func (s *Store) remove(r *http.Request, kind string, old Object, exists bool) (int, any) {
	if !exists {
		return http.StatusNotFound, nil
	}
	if text := r.URL.Query().Get("revision"); text != "" && text != strconv.FormatInt(old.Metadata.Revision, 10) {
		return http.StatusConflict, old
	}
	s.revision++
	old.Metadata.Revision = s.revision
	delete(s.kinds[kind], old.Metadata.Name)
	s.history = append(s.history, event{kind: kind, Object: old, Tombstone: true})
	s.notify()
	return http.StatusOK, old
}

func (s *Store) list(r *http.Request, kind string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision}
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, waitErr := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	s.countWatch(kind, 1)
	defer s.countWatch(kind, -1)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed, gone, down := s.since(kind, after), s.revision, s.changed, after < s.first || after > s.revision, s.down
		s.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case gone:
			return http.StatusGone, nil
		case len(events) > 0:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		case <-end:
			return http.StatusOK, map[string]any{"events": []event{}, "storeRevision": revision}
		}
	}
}

func (s *Store) countWatch(kind string, n int) {
	if kind != "config" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configWatches += n
}

// since returns the changes of a kind after a revision. The caller must hold s.mu.
func (s *Store) since(kind string, after int64) []event {
	var out []event
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			out = append(out, e)
		}
	}
	return out
}
