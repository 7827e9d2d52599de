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

// late returns how many runs a worker began after from and later than drain after it was
// acknowledged that it leaves.
func (r *runs) late(worker string, acked, from time.Time) int {
	n := 0
	for _, x := range r.list() {
		if x.worker == worker && x.at.Sub(acked) > drain && x.at.After(from) {
			n++
		}
	}
	return n
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
	left     bool
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
	if w.left {
		w.mu.Unlock()
		return
	}
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	sequence := w.sequence
	w.mu.Unlock()
	w.sendBeat(state, sequence)
}

// lateBeat returns a heartbeat that is sent now and arrives when the result is called.
func (w *worker) lateBeat() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	sequence := w.sequence
	w.rec.add("beat", "%s sends ready (sequence %d), which arrives late", w.id, sequence)
	return func() { w.sendBeat("ready", sequence) }
}

func (w *worker) sendBeat(state string, sequence int64) {
	data, _ := json.Marshal(map[string]any{
		"address": w.m.at(w.m.ports.app), "born": w.born,
		"info":   map[string]any{"service": w.m.service, "version": "v1", "zone": w.m.zone, "slots": 16},
		"status": map[string]any{"state": state, "sequence": sequence, "coldRemaining": "0ms"},
	})
	status := w.call(http.MethodPut, data)
	if !w.quiet {
		w.rec.add("beat", "%s says %s (sequence %d), answered %d", w.id, state, sequence, status)
	}
	if status/100 == 2 && state == "draining" {
		w.acknowledged()
	}
}

// leave says that the worker is gone, without a drain before; it goes on serving.
func (w *worker) leave() {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	status := w.call(http.MethodDelete, nil)
	w.rec.add("beat", "%s leaves, answered %d", w.id, status)
	if status/100 == 2 {
		w.acknowledged()
	}
}

func (w *worker) acknowledged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.acked.IsZero() {
		w.acked = time.Now()
	}
}

// call makes a call about the worker to its node and returns the status, 0 if there is no
// answer within a second or if it is too long.
func (w *worker) call(method string, data []byte) int {
	url := "http://" + w.m.at(w.m.ports.control) + "/dogwoodford/instances/" + w.id
	req, _ := http.NewRequest(method, url, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || len(body) > 4096 {
		return 0
	}
	return resp.StatusCode
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
