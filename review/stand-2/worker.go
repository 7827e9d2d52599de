package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 1500 * time.Millisecond

// run is one run of a request at a worker.
type run struct {
	id, path, worker, caller string
	at                       time.Time
}

// runs records the runs of all workers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// worker is one incarnation of the application worker beside a node.
type worker struct {
	id     string
	m      *machine
	born   int64 // Start by the worker's clock, Unix time in milliseconds.
	work   time.Duration
	runs   *runs
	rec    *record
	crash  func(*worker, *http.Request) bool // Reports whether a request crashes the worker; may be nil.
	answer func(*http.Request) int           // Status of the answer to a request that runs; 200 if nil.
	quiet  bool                              // Heartbeats are not recorded.

	srv  *http.Server
	stop chan struct{}
	once sync.Once

	mu       sync.Mutex
	sequence int64
	draining bool
	acked    time.Time // First acknowledgement that it is draining or gone.
}

// start starts the worker and its heartbeats.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.m.at(w.m.ports.app))
	if err != nil {
		return err
	}
	w.srv, w.stop = &http.Server{Handler: w}, make(chan struct{})
	go w.srv.Serve(ln)
	go func() {
		for {
			w.beat()
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	w.rec.add("worker", "%s (%s) starts on %s, born %d", w.id, w.m.service, w.m.name, w.born)
	return nil
}

// end ends the worker at once, as a crash does, or after it has left.
func (w *worker) end() {
	w.once.Do(func() {
		close(w.stop)
		w.srv.Close()
	})
}

// drain makes the worker say that it is draining, until it is acknowledged.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.beat()
}

// ackedAt returns when the drain was acknowledged, zero if it was not.
func (w *worker) ackedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acked
}

// beat sends one heartbeat.
func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	sequence, draining := w.sequence, w.draining
	w.mu.Unlock()
	state := "ready"
	if draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"address": w.m.at(w.m.ports.app), "born": w.born,
		"info":   map[string]any{"service": w.m.service, "version": "v1", "zone": w.m.zone, "slots": 16},
		"status": map[string]any{"state": state, "sequence": sequence, "coldRemaining": "0ms"},
	})
	url := "http://" + w.m.at(w.m.ports.control) + "/dogwoodford/instances/" + w.id
	req, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	acked := err == nil && resp.StatusCode/100 == 2 && len(body) <= 4096
	if !w.quiet {
		w.rec.add("beat", "%s says %s (sequence %d), answered %d", w.id, state, sequence, resp.StatusCode)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if acked && draining && w.acked.IsZero() {
		w.acked = time.Now()
	}
}

// seal returns the signature of an answer.
func seal(id string, status int, body []byte) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d ", id, status)
	h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Instance-Id", w.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		w.rec.add("worker", "%s rejects %s, which expects %s", w.id, id, want)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.runs.add(run{id: id, path: r.RequestURI, worker: w.id, caller: r.Header.Get("Caller-Service"), at: time.Now()})
	w.rec.add("worker", "%s runs %s %s for %s", w.id, id, r.RequestURI, r.Header.Get("Caller-Service"))
	if w.crash != nil && w.crash(w, r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(w.work)
	status := http.StatusOK
	if w.answer != nil {
		status = w.answer(r)
	}
	body := []byte("answer to " + id)
	out.Header().Set("Response-Seal", seal(id, status, body))
	out.WriteHeader(status)
	out.Write(body)
}
