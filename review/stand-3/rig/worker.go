package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a worker began to work on.
type Run struct {
	At                           time.Time
	Worker, ID, Method, Path     string
	Caller, Workspace, KeyHeader string
	Body                         string
}

// Worker is a stand-in for an application worker.
type Worker struct {
	ID      string
	Machine *Machine
	Rec     *Record
	Slots   int
	Work    time.Duration // Time that a request takes.
	// Answer, if set, answers a request in place of the usual answer.
	Answer func(w http.ResponseWriter, r *http.Request, body []byte)

	born     int64
	mu       sync.Mutex
	sequence int64
	state    string
	leaving  bool // Has said that it leaves.
	runs     []Run
	srv      *http.Server
	stop     chan struct{}
}

// Start makes the worker listen and send heartbeats.
func (w *Worker) Start() error {
	ln, err := net.Listen("tcp", w.Machine.App())
	if err != nil {
		return err
	}
	w.born, w.state, w.stop = time.Now().UnixMilli(), "ready", make(chan struct{})
	w.srv = &http.Server{Handler: w}
	go w.srv.Serve(ln)
	go w.beat()
	return nil
}

// Close ends the worker.
func (w *Worker) Close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.srv.Close()
}

const heartbeat = 1500 * time.Millisecond

func (w *Worker) beat() {
	for {
		w.Beat()
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// Heartbeat is a heartbeat that may be under way for some time.
type Heartbeat struct {
	state string
	body  []byte
}

// Prepare returns the next heartbeat.
func (w *Worker) Prepare() Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": w.Machine.App(), "born": w.born,
		"info":   map[string]any{"service": w.Machine.Service, "version": "v1", "zone": w.Machine.Zone, "slots": w.Slots},
		"status": map[string]any{"state": w.state, "sequence": w.sequence, "coldRemaining": "0ms"},
	})
	return Heartbeat{w.state, body}
}

// Beat sends one heartbeat and reports whether it was acknowledged.
func (w *Worker) Beat() bool { return w.Deliver(w.Prepare()) }

// Deliver makes a heartbeat arrive and reports whether it was acknowledged.
func (w *Worker) Deliver(h Heartbeat) bool {
	return w.report(http.MethodPut, "heartbeat "+h.state, h.body)
}

// Leave says that the worker leaves, from then on sends no further heartbeats, and reports whether that was
// acknowledged. The worker goes on to serve.
func (w *Worker) Leave() bool {
	w.mu.Lock()
	if !w.leaving {
		close(w.stop)
	}
	w.leaving = true
	w.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": w.born})
	return w.report(http.MethodDelete, "leave", body)
}

func (w *Worker) report(method, what string, body []byte) bool {
	url := "http://" + w.Machine.Control() + "/dogwoodford/instances/" + w.ID
	req, _ := http.NewRequest(method, url, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second}
	resp, err := c.Do(req)
	if err != nil {
		w.Rec.Printf("worker %s: %s: %v", w.ID, what, err)
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // The status is the acknowledgement.
	w.Rec.Printf("worker %s: %s: %d", w.ID, what, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// SetState sets the state of later heartbeats.
func (w *Worker) SetState(s string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = s
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
		rw.Header().Set("Connection", "close")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.ID)
		if leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // Broken off before it was read, so that it does not run.
	}
	run := Run{
		At: time.Now(), Worker: w.ID, ID: id, Method: r.Method, Path: r.RequestURI, Caller: r.Header.Get("Caller-Service"),
		Workspace: r.Header.Get("Tenant"), KeyHeader: r.Header.Get("Credential"), Body: string(body),
	}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.Rec.Printf("worker %s: runs %s %s %s, body of %d bytes, caller %q, tenant %q", w.ID, id, run.Method, run.Path, len(body), run.Caller, run.Workspace)
	rw.Header().Set("Attempt-Id", id)
	time.Sleep(w.Work)
	if w.Answer != nil {
		w.Answer(rw, r, body)
		return
	}
	w.Sealed(rw, id, http.StatusOK, "answer to "+id+"\n")
}

// Sealed writes an answer with its seal.
func (w *Worker) Sealed(rw http.ResponseWriter, id string, status int, body string) {
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", Seal(id, status, body))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	io.WriteString(rw, body)
}

// Seal returns the signature of an answer.
func Seal(id string, status int, body string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(fmt.Sprintf("%s %d %s", id, status, body))))
}

// Runs returns the requests that the worker began to work on.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}
