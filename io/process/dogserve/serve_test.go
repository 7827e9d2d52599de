package dogserve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"
)

// TestServe guards against a server that the supervisor restarts after a planned
// shutdown, and against one that continues after its context is cancelled.
func TestServe(t *testing.T) {
	for name, end := range map[string]func(*Server, context.CancelFunc) error{
		"shutdown": func(s *Server, _ context.CancelFunc) error { return s.Shutdown(t.Context()) },
		"cancel":   func(_ *Server, cancel context.CancelFunc) error { cancel(); return nil },
	} {
		s := New("entry", "127.0.0.1:0", &http.Server{Handler: http.NotFoundHandler()})
		if err := s.Listen(); err != nil {
			t.Fatal(err)
		}
		addr := s.ln.Addr().String()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		resp, err := http.Get("http://" + addr)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		resp.Body.Close()
		if err := end(s, cancel); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := <-done; !errors.Is(err, suture.ErrDoNotRestart) && !errors.Is(err, context.Canceled) {
			t.Errorf("%s: Serve returns %v", name, err)
		}
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			t.Errorf("%s: the listener is still open", name)
		}
		cancel()
	}
}

// TestListenAddressInUse guards against a node that starts although the address of
// one of its listeners is in use.
func TestListenAddressInUse(t *testing.T) {
	a := New("a", "127.0.0.1:0", &http.Server{})
	if err := a.Listen(); err != nil {
		t.Fatal(err)
	}
	defer a.ln.Close()
	if err := New("b", a.ln.Addr().String(), &http.Server{}).Listen(); err == nil {
		t.Error("Listen on an address in use returns no error")
	}
}

// TestSleep guards against a Sleep that outlasts its context.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Sleep(t.Context(), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		Sleep(ctx, time.Hour)
		if got := time.Since(start); got != 2*time.Second {
			t.Errorf("slept for %v, want 2 s", got)
		}
	})
}

// TestShutdownAnswers guards against connections that are closed without a response
// to a request that arrives during Shutdown: one that was opened just before, and
// one that has carried a request.
func TestShutdownAnswers(t *testing.T) {
	s := New("entry", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})})
	s.linger = time.Minute // Both connections are closed before this ends.
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	addr := s.ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.Serve(t.Context()) }()
	opened, kept := dial(t, addr), dial(t, addr)
	if got := sendRequest(t, kept); got.Close {
		t.Error("a running server closes the connection")
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	for refused := false; !refused; {
		c, err := net.Dial("tcp", addr)
		if refused = err != nil; !refused {
			c.Close()
		}
	}
	for name, c := range map[string]net.Conn{"opened": opened, "kept": kept} {
		if got := sendRequest(t, c); got.StatusCode != http.StatusNoContent || !got.Close {
			t.Errorf("%s: status %d, close %v; want 204 and close", name, got.StatusCode, got.Close)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if err := <-served; !errors.Is(err, suture.ErrDoNotRestart) {
		t.Errorf("Serve returns %v", err)
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// sendRequest sends a request on c and returns the response.
func sendRequest(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	return resp
}

// TestMaxConns guards against a server that is full of silent connections and takes no
// other, and against one that closes a connection with a request in progress.
func TestMaxConns(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := New("ready", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
	})})
	var full atomic.Int64
	s.SetMaxConns(2, func() { full.Add(1) })
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(t.Context()) }()
	addr := s.ln.Addr().String()
	slow := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/slow")
		if err == nil {
			_ = resp.Body.Close()
		}
		slow <- err
	}()
	<-arrived
	for range 5 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/")
	if err != nil {
		t.Errorf("a request beside silent connections: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("the request in progress: %v", err)
	}
	if got := full.Load(); got != 5 {
		t.Errorf("the bound was met %d times, want 5", got)
	}
}

// TestUnfinishedRequests guards against a server that clients shut out from all others by
// requests whose bodies do not come.
func TestUnfinishedRequests(t *testing.T) {
	const unfinished = 2
	begun := make(chan struct{}, unfinished)
	s := New("control", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			begun <- struct{}{}
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})})
	s.SetMaxConns(unfinished, nil)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(t.Context()) }()
	addr := s.ln.Addr().String()
	for range unfinished {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	for range unfinished {
		<-begun
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	const tries = 500
	for i := range tries {
		resp, err := client.Get("http://" + addr + "/")
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		if i == tries-1 {
			t.Errorf("beside requests without bodies: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
