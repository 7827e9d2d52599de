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

// metadata is what the store keeps of an object besides its spec.
type metadata struct {
	Name       string `json:"name"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// change is one event of a watch.
type change struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
	kind      string
}

// store is a stand-in for the platform's metadata store. It is linearizable, loses
// nothing and keeps its whole history.
type store struct {
	addr string

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{} // Closed at the next change.
	away     bool          // Calls are not answered and do nothing.
}

// startStore starts a store on a free port of ip.
func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	go http.Serve(ln, s)
	return s, nil
}

// setAway makes the store silent, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// write creates or replaces an object without a condition, and returns its revision.
func (s *store) write(kind, name string, spec json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, spec).Metadata.Revision
}

// names returns the sorted names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.kinds[kind] {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// spec returns the spec of an object, nil if there is none.
func (s *store) spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// set stores an object. The caller must hold s.mu.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := s.kinds[kind][name]
	if o.Metadata.CreatedRev == 0 {
		o.Metadata = metadata{Name: name, CreatedRev: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][name] = o
	s.publish(change{Object: o, kind: kind})
	return o
}

// publish adds a change to the history. The caller must hold s.mu.
func (s *store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/dogwoodford/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.isAway() {
		io.Copy(io.Discard, r.Body) // Or else the end of the connection is not seen.
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	var status int
	var answer any
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		status, answer = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		status, answer = s.list(r, kind)
	default:
		status, answer = s.object(r, kind, name)
	}
	if s.isAway() { // A watch that began before.
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) list(r *http.Request, kind string) (int, any) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		case <-end:
			return http.StatusOK, answer
		}
	}
}

// object makes a call on one object.
func (s *store) object(r *http.Request, kind, name string) (int, any) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &in) != nil {
			return http.StatusBadRequest, nil
		}
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		in.Metadata.Revision, _ = strconv.ParseInt(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusOK, s.set(kind, name, in.Spec)
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.revision++
		old.Metadata.Revision = s.revision
		delete(s.kinds[kind], name)
		s.publish(change{Object: old, Tombstone: true, kind: kind})
		return http.StatusOK, old
	case string(old.Spec) == string(in.Spec):
		return http.StatusOK, old // A write that changes nothing makes no event.
	}
	return http.StatusOK, s.set(kind, name, in.Spec)
}
