package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// RawWorker is a worker that writes its answers itself, and may write further bytes behind one.
type RawWorker struct {
	Worker
	Work time.Duration // Time that a request takes.
	// Extra returns what is to be written behind an answer, and how long after it; empty for
	// nothing.
	Extra func() (text string, after time.Duration)

	ln net.Listener
}

// Start makes the worker listen and send heartbeats.
func (w *RawWorker) Start() error {
	ln, err := net.Listen("tcp", w.Machine.App())
	if err != nil {
		return err
	}
	w.ln, w.born, w.state, w.stop = ln, time.Now().UnixMilli(), "ready", make(chan struct{})
	go w.accept()
	go w.beat()
	return nil
}

// Close ends the worker.
func (w *RawWorker) Close() {
	close(w.stop)
	w.ln.Close()
}

func (w *RawWorker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// serve serves one connection, one request after the other.
func (w *RawWorker) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex // Held while an answer or what follows it is written.
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := w.handle(req, body)
		mu.Lock()
		_, err = io.WriteString(c, answer)
		mu.Unlock()
		if err != nil {
			return
		}
		if w.Extra == nil {
			continue
		}
		if text, after := w.Extra(); text != "" {
			go func() {
				time.Sleep(after)
				mu.Lock()
				defer mu.Unlock()
				_, err := io.WriteString(c, text)
				w.Rec.Printf("worker %s: %d further bytes behind the answer to %s: %v", w.ID, len(text), req.Header.Get("Attempt-Id"), err)
			}()
		}
	}
}

// handle runs a request and returns the answer.
func (w *RawWorker) handle(req *http.Request, body []byte) string {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != w.ID {
		return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.ID + "\r\nContent-Length: 0\r\n\r\n"
	}
	id := req.Header.Get("Attempt-Id")
	w.mu.Lock()
	w.runs = append(w.runs, Run{
		At: time.Now(), Worker: w.ID, ID: id, Method: req.Method, Path: req.RequestURI, Caller: req.Header.Get("Caller-Service"), Body: string(body),
	})
	w.mu.Unlock()
	w.Rec.Printf("worker %s: runs %s %s %s", w.ID, id, req.Method, req.RequestURI)
	time.Sleep(w.Work/2 + rand.N(w.Work))
	text := "answer to " + id + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, Seal(id, 200, text), len(text), text)
}
