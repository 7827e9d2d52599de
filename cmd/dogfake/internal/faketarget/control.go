package faketarget

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Counts says how often a key or id was seen.
type Counts struct {
	Started      int `json:"started"`
	Completed    int `json:"completed"`
	NeverStarted int `json:"never_started,omitempty"`
}

// Ran is the answer of GET /control/ran.
type Ran struct {
	Total Counts             `json:"total"`
	Keys  map[string]*Counts `json:"keys"` // By Dogwoodford-Key.
	IDs   map[string]*Counts `json:"ids"`  // By Dogfake-Id.
}

func newRan() Ran { return Ran{Keys: make(map[string]*Counts), IDs: make(map[string]*Counts)} }

// record changes the counts of a request's key and id, and the total.
func (t *Target) record(r *http.Request, change func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.ran.Total)
	for _, e := range []struct {
		counts map[string]*Counts
		name   string
	}{{t.ran.Keys, r.Header.Get("Dogwoodford-Key")}, {t.ran.IDs, r.Header.Get(IDHeader)}} {
		if e.name == "" {
			continue
		}
		if e.counts[e.name] == nil {
			e.counts[e.name] = new(Counts)
		}
		change(e.counts[e.name])
	}
}

func (t *Target) serveRan(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer(w, http.StatusOK, t.ran)
}

// healthMode says how the health and load endpoints mislead.
type healthMode struct {
	Health string `json:"health"` // honest, ready, failing, stale.
	Load   string `json:"load"`   // honest, idle, full.
	MS     int64  `json:"ms"`     // For stale: how long the state at the change is kept.

	since  time.Time
	frozen string
}

var (
	healthModes = []string{"", "honest", "ready", "failing", "stale"}
	loadModes   = []string{"", "honest", "idle", "full"}
)

func (t *Target) serveHealthMode(w http.ResponseWriter, r *http.Request) {
	var m healthMode
	if !decode(w, r, &m) {
		return
	}
	if !slices.Contains(healthModes, m.Health) || !slices.Contains(loadModes, m.Load) {
		answer(w, http.StatusBadRequest, map[string]string{"error": "unknown mode"})
		return
	}
	m.since, m.frozen = time.Now(), t.trueHealth()
	t.mu.Lock()
	t.health = m
	t.mu.Unlock()
	answer(w, http.StatusOK, m)
}

// trueHealth returns starting, draining or ready.
func (t *Target) trueHealth() string {
	switch {
	case t.draining.Load():
		return "draining"
	case t.cold():
		return "starting"
	}
	return "ready"
}

func (t *Target) mode() healthMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	state := t.trueHealth()
	switch m := t.mode(); m.Health {
	case "ready":
		state = "ready"
	case "failing":
		state = "failing"
	case "stale":
		if time.Since(m.since) < time.Duration(m.MS)*time.Millisecond {
			state = m.frozen
		}
	}
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// An error means that the reader went away.
	_, _ = w.Write([]byte(state))
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	n := int(t.inFlight.Load())
	switch t.mode().Load {
	case "idle":
		n = 0
	case "full":
		n = t.cfg.Slots
	}
	answer(w, http.StatusOK, map[string]int{"slots": t.cfg.Slots, "in_flight": n})
}

func (t *Target) serveSlow(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MS int64 `json:"ms"`
	}
	if !decode(w, r, &body) {
		return
	}
	t.slow.Store(int64(time.Duration(body.MS) * time.Millisecond))
	answer(w, http.StatusOK, body)
}

func (t *Target) serveDrain(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Exit bool `json:"exit"`
	}
	if !decode(w, r, &body) {
		return
	}
	t.draining.Store(true)
	answer(w, http.StatusOK, body)
	if body.Exit {
		t.cfg.Stop()
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(v); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the reader went away.
	_ = json.NewEncoder(w).Encode(v)
}
