package main

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// seal returns a worker's signature over an answer.
func seal(id string, body []byte) string {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// run is one run of a request at a worker.
type run struct {
	id, method, path, worker, machine string
	at                                time.Time
}

// runs records all runs.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// list returns all runs so far.
func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// worker is a stand-in for an application worker.
type worker struct {
	m         *machine
	id        string
	born      int64
	slots     int
	work      time.Duration
	runs      *runs
	readPause time.Duration                                                       // For which the worker stops reading a body; 0 if it reads on.
	answer    func(w *worker, rw http.ResponseWriter, r *http.Request, id string) // Answers a request that has run.
	crash     func(w *worker, path string) bool                                   // Whether a request crashes the worker as it begins to run.

	busy   chan struct{}
	seq    atomic.Int64
	srv    *http.Server
	cancel context.CancelFunc
	ended  chan struct{}
	once   sync.Once
}

// start listens at the worker's address and sends heartbeats.
func (w *worker) start() error {
	lc := net.ListenConfig{Control: setWindow}
	ln, err := lc.Listen(context.Background(), "tcp", w.m.at(w.m.p.app))
	if err != nil {
		return err
	}
	if w.born == 0 {
		w.born = time.Now().UnixMilli()
	}
	w.busy = make(chan struct{}, w.slots)
	w.ended = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.srv = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.srv.Serve(ln) }()
	go w.heartbeats(ctx)
	w.m.rec.log("worker %s on %s started", w.id, w.m.name)
	return nil
}

// windowBytes is the receive buffer of a worker's connections: links have small windows, so
// that a worker that does not read blocks the writer.
const windowBytes = 64 << 10

func setWindow(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
	if err != nil {
		return err
	}
	return sockErr
}

// stop ends the worker at once, as a crash does.
func (w *worker) stop() {
	w.once.Do(func() {
		w.cancel()
		_ = w.srv.Close()
		close(w.ended)
		w.m.rec.log("worker %s on %s has ended", w.id, w.m.name)
	})
}

func (w *worker) heartbeats(ctx context.Context) {
	tick := time.NewTicker(1500 * time.Millisecond)
	defer tick.Stop()
	for {
		// A heartbeat without an acknowledgement is sent again soon, as a node that has
		// just started does not listen yet.
		for ctx.Err() == nil && !w.beat(ctx, "ready", w.seq.Add(1)) {
			time.Sleep(200 * time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) beat(ctx context.Context, state string, seq int64) bool {
	data, _ := json.Marshal(map[string]any{
		"address": w.m.at(w.m.p.app), "born": w.born,
		"info":   map[string]any{"service": w.m.service, "version": "v1", "zone": w.m.zone, "slots": w.slots},
		"status": map[string]any{"state": state, "sequence": seq, "coldRemaining": "0ms"},
	})
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + w.m.at(w.m.p.control) + "/dogwoodford/instances/" + w.id
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP runs requests, as many at a time as the worker has slots.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		rw.Header().Set("Attempt-Id", id)
	}
	rw.Header().Set("Instance-Id", w.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, _ := strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	select {
	case w.busy <- struct{}{}:
		defer func() { <-w.busy }()
	case <-ctx.Done():
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.runs.add(run{id: id, method: r.Method, path: r.URL.Path, worker: w.id, machine: w.m.name, at: time.Now()})
	w.m.rec.log("run    %s %s %s at %s on %s", id, r.Method, r.URL.Path, w.id, w.m.name)
	if readBody(r, w.readPause) != nil {
		return
	}
	if w.crash != nil && w.crash(w, r.URL.Path) {
		w.stop()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(w.work):
	case <-ctx.Done():
		w.reply(rw, id, http.StatusGatewayTimeout, []byte("too late"))
		return
	}
	if w.answer != nil {
		w.answer(w, rw, r, id)
		return
	}
	w.reply(rw, id, http.StatusOK, []byte("answer to "+id))
}

// reply sends an answer with the worker's signature.
func (w *worker) reply(rw http.ResponseWriter, id string, status int, body []byte) {
	rw.Header().Set("Response-Seal", seal(id, body))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
	w.m.rec.log("answer %s by %s: %d, %d bytes", id, w.id, status, len(body))
}
