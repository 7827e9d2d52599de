package dogpipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// departures counts the requests whose client has not left when their body was read.
type departures struct {
	mu      sync.Mutex
	present map[string]int
	seen    int
}

// ServeHTTP implements http.Handler.
func (d *departures) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	left := err != nil || r.Context().Err() != nil
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen++
	if !left {
		d.present[r.Method]++
	}
}

// TestDepartedBeforeRead guards against running requests whose client had left before the
// server, which was short of processor time, came to read them.
func TestDepartedBeforeRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const clients = 40
	for i := range clients {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		if i%2 > 0 {
			request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
		}
		if _, err := fmt.Fprint(c, request); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	d := &departures{present: make(map[string]int)}
	srv := &Server{Handler: d}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.mu.Lock()
		seen := d.seen
		d.mu.Unlock()
		if seen == clients {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if diff := cmp.Diff(map[string]int{}, d.present); diff != "" || d.seen != clients {
		t.Errorf("%d of %d requests seen; those that ran for nobody (-want +got):\n%s", d.seen, clients, diff)
	}
}

// TestBodyOutlivesHandler guards against a server that reads its connection while another
// goroutine still reads the body of a request whose handler has returned, as when a target
// answers an upload early. The race detector reports it.
func TestBodyOutlivesHandler(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var readers sync.WaitGroup
	srv := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := make(chan struct{})
		readers.Go(func() {
			close(started)
			_, _ = io.Copy(io.Discard, r.Body)
		})
		<-started
		w.WriteHeader(http.StatusForbidden)
	})}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() { uploadSlowly(t, ln.Addr().String()) })
	}
	clients.Wait()
	readers.Wait()
}

// uploadSlowly sends a long body in small pieces until the server closes the connection.
func uploadSlowly(t *testing.T, addr string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 4<<20)
	for piece := make([]byte, 1000); err == nil; time.Sleep(time.Millisecond) {
		_, err = c.Write(piece)
	}
}

// halfCloser is a pipe whose directions can be closed one by one.
type halfCloser struct{ net.Conn }

func (halfCloser) CloseWrite() error { return nil }

// TestAnswerBeforeBody guards against a reset that overtakes the answer to a request whose
// body is still being read when its handler returns.
func TestAnswerBeforeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			go func() { _, _ = io.Copy(io.Discard, r.Body) }()
			time.Sleep(time.Millisecond) // The body is being read.
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
		})}
		l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		client, server := net.Pipe()
		defer client.Close()
		l.conns <- halfCloser{server}
		if _, err := io.WriteString(client, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\npart"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", resp, err)
		}
		start := time.Now()
		for err == nil {
			time.Sleep(lingerTime / 10)
			_, err = io.WriteString(client, "more")
		}
		if d := time.Since(start); d < lingerTime {
			t.Errorf("the connection is closed %v after the answer, want %v", d, lingerTime)
		}
	})
}
