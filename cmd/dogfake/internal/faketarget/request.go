package faketarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Answer is the body of the answer to an ordinary request.
type Answer struct {
	Service  string `json:"service"`
	Path     string `json:"path"`
	ID       string `json:"id,omitempty"`
	Received int64  `json:"received"` // Bytes of the body.
}

// outcomeHeader tells the guard in a 503 answer that the request did not run.
const outcomeHeader = "Dogwoodford-Outcome"

// serveRequest runs a request once a slot is free, unless the target is closed
// or the request's deadline passes first.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	if t.closed.Load() {
		refuse(w, "draining")
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get("Dogwoodford-Deadline-Ms"), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !t.acquire(ctx) {
		t.updateCounts(r, func(n *Counts) { n.NeverStarted++ })
		refuse(w, "expired while waiting for a slot")
		return
	}
	defer t.release()
	if err := t.journal(r); err != nil {
		refuse(w, err.Error())
		return
	}
	t.updateCounts(r, func(n *Counts) { n.Started++ })
	if t.run(ctx, w, r) {
		t.updateCounts(r, func(n *Counts) { n.Completed++ })
	}
}

// journal records the start of a request before it runs, because the counts in
// memory are lost if the process is killed.
func (t *Target) journal(r *http.Request) error {
	if t.cfg.Journal == nil {
		return nil
	}
	_, err := fmt.Fprintf(t.cfg.Journal, "%q %q\n", r.Header.Get("Dogwoodford-Key"), r.Header.Get(IDHeader))
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// run executes a request that holds a slot and reports whether it completed.
func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	if t.cfg.CrashMarker != "" && strings.Contains(r.URL.RequestURI(), t.cfg.CrashMarker) {
		t.cfg.Crash()
		return false
	}
	scan := &crashScanner{marker: []byte(t.cfg.CrashMarker), crash: t.cfg.Crash}
	switch {
	case strings.Contains(r.URL.Path, "/upload"):
		return serveUpload(w, io.TeeReader(r.Body, scan))
	case strings.Contains(r.URL.Path, "/stream"):
		if !sleep(ctx, t.serviceTime()) {
			return false
		}
		return serveStream(w, r)
	}
	received, err := io.Copy(scan, r.Body)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	if !sleep(ctx, t.serviceTime()) {
		http.Error(w, "the deadline passed or the caller disconnected", http.StatusGatewayTimeout)
		return false
	}
	if err := t.callChildren(ctx, r); err != nil {
		http.Error(w, "child call: "+err.Error(), http.StatusBadGateway)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	err = json.NewEncoder(w).Encode(Answer{
		Service: t.cfg.Service, Path: r.URL.Path, ID: r.Header.Get(IDHeader), Received: received,
	})
	return err == nil
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, text string) {
	w.Header().Set(outcomeHeader, "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, text, http.StatusServiceUnavailable)
}

// callChildren makes the child calls that the rules specify for the request.
func (t *Target) callChildren(ctx context.Context, r *http.Request) error {
	rule := matchRule(t.cfg.Rules, r.URL.Path)
	if !rule.Parallel {
		for _, c := range rule.Calls {
			if err := t.callChild(ctx, r, c); err != nil {
				return err
			}
		}
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range rule.Calls {
		g.Go(func() error { return t.callChild(ctx, r, c) })
	}
	return g.Wait()
}

// callChild makes one child call. It retries any failure at once, without
// backoff, until the retries are used up or ctx ends.
func (t *Target) callChild(ctx context.Context, parent *http.Request, c Call) error {
	var err error
	for range t.cfg.Retries + 1 {
		if err = t.attemptChild(ctx, parent, c); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// attemptChild makes one attempt of a child call.
func (t *Target) attemptChild(ctx context.Context, parent *http.Request, c Call) error {
	var body io.Reader
	if !bodyless(c.Method) {
		body = strings.NewReader(`{"from":"` + t.cfg.Service + `"}`)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+t.cfg.Exit+c.Path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", c.Method, c.Path, err)
	}
	for _, h := range propagatedHeaders {
		if v := parent.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	resp, err := t.cfg.Client.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", c.Method, c.Path, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("%s %s: %w", c.Method, c.Path, err)
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: HTTP status %d: %w", c.Method, c.Path, resp.StatusCode, errChildStatus)
	}
	return nil
}

// crashScanner is a writer that crashes the target when the written data
// contains the marker.
type crashScanner struct {
	marker []byte
	tail   []byte // Last bytes written; the marker may span several writes.
	crash  func()
}

// Write implements io.Writer.
func (s *crashScanner) Write(p []byte) (int, error) {
	if len(s.marker) == 0 {
		return len(p), nil
	}
	window := append(s.tail, p...)
	if bytes.Contains(window, s.marker) {
		s.crash()
	}
	keep := min(len(window), len(s.marker)-1)
	s.tail = append([]byte(nil), window[len(window)-keep:]...)
	return len(p), nil
}
