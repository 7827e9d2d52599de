package faketarget

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Counts holds the numbers of requests with one key or id.
type Counts struct {
	Started      int `json:"started"`
	Completed    int `json:"completed"`
	NeverStarted int `json:"never_started,omitempty"`
}

// RunCounts is the answer to GET /control/ran.
type RunCounts struct {
	Total Counts             `json:"total"`
	Keys  map[string]*Counts `json:"keys"` // By Dogwoodford-Key.
	IDs   map[string]*Counts `json:"ids"`  // By Dogfake-Id.
}

func newRunCounts() RunCounts {
	return RunCounts{Keys: make(map[string]*Counts), IDs: make(map[string]*Counts)}
}

// updateCounts applies update to the counts of the request's key and id and to
// the total.
func (t *Target) updateCounts(r *http.Request, update func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.runCounts.Total)
	for _, e := range []struct {
		counts map[string]*Counts
		name   string
	}{{t.runCounts.Keys, r.Header.Get("Dogwoodford-Key")}, {t.runCounts.IDs, r.Header.Get(IDHeader)}} {
		if e.name == "" {
			continue
		}
		if e.counts[e.name] == nil {
			e.counts[e.name] = new(Counts)
		}
		update(e.counts[e.name])
	}
}

func (t *Target) serveRunCounts(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, t.runCounts)
}

// healthMode is the state that the health and load endpoints report instead of
// the actual one.
type healthMode struct {
	Health string `json:"health"` // honest, ready, failing or stale; empty means honest.
	Load   string `json:"load"`   // honest, idle or full; empty means honest.
	MS     int64  `json:"ms"`     // For stale: how long the health at the change of mode is reported.

	since      time.Time
	staleState string
}

var (
	healthModes = []string{"", "honest", "ready", "failing", "stale"}
	loadModes   = []string{"", "honest", "idle", "full"}
)

func (t *Target) serveHealthMode(w http.ResponseWriter, r *http.Request) {
	var m healthMode
	if !decodeBody(w, r, &m) {
		return
	}
	if !slices.Contains(healthModes, m.Health) || !slices.Contains(loadModes, m.Load) {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "unknown mode"})
		return
	}
	m.since, m.staleState = time.Now(), t.actualHealth()
	t.mu.Lock()
	t.health = m
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, m)
}

// actualHealth returns the state of the target: starting, draining or ready.
func (t *Target) actualHealth() string {
	switch {
	case t.draining.Load():
		return "draining"
	case t.cold():
		return "starting"
	}
	return "ready"
}

func (t *Target) currentHealthMode() healthMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	state := t.actualHealth()
	switch m := t.currentHealthMode(); m.Health {
	case "ready":
		state = "ready"
	case "failing":
		state = "failing"
	case "stale":
		if time.Since(m.since) < time.Duration(m.MS)*time.Millisecond {
			state = m.staleState
		}
	}
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// An error means that the client disconnected.
	_, _ = w.Write([]byte(state))
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	n := int(t.inFlight.Load())
	switch t.currentHealthMode().Load {
	case "idle":
		n = 0
	case "full":
		n = t.cfg.Slots
	}
	writeJSON(w, http.StatusOK, map[string]int{"slots": t.cfg.Slots, "in_flight": n})
}

func (t *Target) serveServiceTime(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MS int64 `json:"ms"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	t.serviceTimeOverride.Store(int64(time.Duration(body.MS) * time.Millisecond))
	writeJSON(w, http.StatusOK, body)
}

func (t *Target) serveDrain(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Exit bool `json:"exit"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	t.draining.Store(true)
	writeJSON(w, http.StatusOK, body)
	if body.Exit {
		t.cfg.Stop()
	}
}

// decodeBody decodes the JSON body of r into v. It answers with an error and
// returns false if the body is malformed.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// writeJSON answers with v in JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
