package dogpipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// boundedServer is a server behind pipes, with the reasons for which it turned clients
// away.
type boundedServer struct {
	srv   *Server
	ln    *pipeListener
	start time.Time

	mu      sync.Mutex
	reasons []Reason
	paths   []string // Paths of the requests that have begun to run.
}

// newBoundedServer starts srv. Its handler takes a second for a response of a megabyte to
// /long, and answers /slow after 30 seconds. It must be called in a bubble.
func newBoundedServer(srv *Server) *boundedServer {
	s := &boundedServer{srv: srv, ln: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, start: time.Now()}
	srv.Rejected = func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, r)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.paths = append(s.paths, r.URL.Path)
		s.mu.Unlock()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch r.URL.Path {
		case "/slow":
			select {
			case <-time.After(30 * time.Second):
			case <-r.Context().Done():
			}
		case "/long":
			_, _ = w.Write(make([]byte, 1<<20))
		}
	})
	go func() { _ = srv.Serve(s.ln) }()
	return s
}

// dial opens a connection, sends text and waits until the server has taken it.
func (s *boundedServer) dial(text string) net.Conn {
	client, server := net.Pipe()
	s.ln.conns <- server
	go func() { _, _ = io.WriteString(client, text) }()
	synctest.Wait()
	return client
}

// isOpen reports whether the server has not closed the connection of a client that gets no
// response.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// close ends the server and returns the reasons.
func (s *boundedServer) close() []Reason {
	_ = s.srv.Close()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons
}

const slowRequest = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"

// TestConnBound guards against a full server that closes a connection with a complete
// request, or keeps silent ones in place of new ones.
func TestConnBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedServer(&Server{MaxConns: 3})
		silent, slow, half := s.dial(""), s.dial(slowRequest), s.dial("GET /")
		second := s.dial(slowRequest)
		if !isOpen(half) {
			t.Error("the connection that came later was closed first")
		}
		third := s.dial(slowRequest)
		refused := s.dial(slowRequest)
		got := fmt.Sprint(isOpen(silent), isOpen(half), isOpen(slow), isOpen(second), isOpen(third), isOpen(refused))
		if want := "false false true true true false"; got != want {
			t.Errorf("open: %s, want %s (silent, half, three with requests, one beyond the bound)", got, want)
		}
		want := []Reason{ReasonConnBound, ReasonConnBound, ReasonConnBound}
		if diff := cmp.Diff(want, s.close()); diff != "" {
			t.Errorf("reasons (-want +got):\n%s", diff)
		}
	})
}

// TestIdleGivesWay guards against clients that keep out all others by connections on which
// they have sent one request.
func TestIdleGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedServer(&Server{MaxConns: 1})
		idle := s.dial("GET /fast HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		synctest.Wait()
		next := s.dial(slowRequest)
		if isOpen(idle) || !isOpen(next) {
			t.Error("the idle connection was kept, or the new one closed")
		}
		s.close()
	})
}

// TestBodyBoundOfEarlierRequest guards against a body that is cut off by the bound of a
// request without a body that runs ahead of it: a request that is refused sets no bound of
// its own.
func TestBodyBoundOfEarlierRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedServer(&Server{})
		handler := s.srv.Handler
		s.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bounded" {
				time.Sleep(time.Second)
				BoundBody(r.Context(), time.Now().Add(time.Second))
			}
			handler.ServeHTTP(w, r)
		})
		c := s.dial("GET /bounded HTTP/1.1\r\nHost: h\r\n\r\nPOST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf")
		var sent sync.WaitGroup
		defer sent.Wait()
		sent.Go(func() {
			time.Sleep(5 * time.Second)
			_, _ = io.WriteString(c, "half")
		})
		responses := bufio.NewReader(c)
		for range 2 {
			if _, err := http.ReadResponse(responses, nil); err != nil {
				t.Errorf("response to a request within its bounds: %v", err)
			}
		}
		if diff := cmp.Diff([]Reason(nil), s.close()); diff != "" {
			t.Errorf("reasons (-want +got):\n%s", diff)
		}
	})
}

// TestStalledClients guards against clients that hold a request for good by a body that
// does not come, by one that comes too late, or by a response that they do not read.
func TestStalledClients(t *testing.T) {
	body := "POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
	for name, text := range map[string]string{
		"no body": body, "half a body": body + "half", "unread response": "GET /long HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBoundedServer(&Server{Limits: func() Limits { return Limits{StallTimeout: 5 * time.Second} }})
				s.dial(text)
				time.Sleep(4 * time.Second)
				synctest.Wait()
				s.srv.mu.Lock()
				before := len(s.srv.conns.all)
				s.srv.mu.Unlock()
				time.Sleep(4 * time.Second)
				synctest.Wait()
				s.srv.mu.Lock()
				after := len(s.srv.conns.all)
				s.srv.mu.Unlock()
				if before != 1 || after != 0 {
					t.Errorf("%d connections before the time-out and %d after, want 1 and 0", before, after)
				}
				if diff := cmp.Diff([]Reason{ReasonStalled}, s.close()); diff != "" {
					t.Errorf("reasons (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestMaxAhead guards against clients that take all places of a server by requests that
// they send ahead of responses.
func TestMaxAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBoundedServer(&Server{MaxAhead: 3})
		for range 5 {
			s.dial(strings.Repeat(slowRequest, 10))
		}
		s.mu.Lock()
		running := len(s.paths)
		s.mu.Unlock()
		// One of each connection, and three ahead.
		if running != 8 {
			t.Errorf("%d requests run, want 8", running)
		}
		s.close()
		if n := s.srv.ahead.Load(); n != 0 {
			t.Errorf("%d requests count as ahead after their end, want 0", n)
		}
	})
}

// TestBudget guards against a budget that ends the heads of the wrong clients: the one that
// has held most for longest goes first, and requests in progress keep their part.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const headBytes = 100 // A fair part of 8,600 bytes.
		b := NewBudget(10000)
		conns := make([]*conn, 4)
		for i := range conns {
			_, server := net.Pipe()
			conns[i] = newConn(&Server{Budget: b}, server)
			conns[i].startHead()
		}
		running, old, big, small := conns[0], conns[1], conns[2], conns[3]
		check := func(what string, got, want any) {
			t.Helper()
			if got != want {
				t.Errorf("%s: %v, want %v", what, got, want)
			}
		}
		check("running", b.grow(running, 4000, headBytes), true)
		held := b.endHead(running, 3000)
		check("held", held, int64(3000))
		check("old", b.grow(old, 2000, headBytes), true)
		time.Sleep(2 * time.Second)
		check("big", b.grow(big, 4000, headBytes), true)
		time.Sleep(time.Second)
		check("small", b.grow(small, 2000, headBytes), true) // Together 11,000 bytes.
		check("old, 2,000 bytes for 3 s", old.endHead(), ReasonHeadBudget)
		check("big, 4,000 bytes for 1 s", big.endHead(), Reason(""))
		check("its own part", b.grow(small, 8700, headBytes), false)
		check("running keeps its part", running.part.running, int64(3000))
		b.endRequest(running, held)
		for _, c := range conns {
			b.endHead(c, 0)
		}
		check("used at the end", b.used, int64(0))
	})
}

// fuzzTimeout bounds the time for one input, which takes microseconds.
const fuzzTimeout = 10 * time.Second

// bytesConn is a connection whose client has sent everything and left.
type bytesConn struct {
	net.Conn

	in  io.Reader
	out *bytes.Buffer
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.in.Read(p) }
func (c bytesConn) Write(p []byte) (int, error)     { return c.out.Write(p) }
func (c bytesConn) Close() error                    { return nil }
func (c bytesConn) RemoteAddr() net.Addr            { return &net.TCPAddr{} }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }

// FuzzRequests guards against input that makes the reader of requests panic, hang, keep a
// part of the budget, or answer anything behind a response that closes the connection.
func FuzzRequests(f *testing.F) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		"", "\r\n\r\n" + get + "\r\n", get + "\r\n" + get + "\r\n", get + "Connection: close\r\n\r\n" + get + "\r\n",
		strings.Repeat("\r\n", 5000), get + strings.Repeat("a:\r\n", 5000) + "\r\n",
		get + strings.Repeat("a:\r\n", 1500) + "\r\n", get + "X: " + strings.Repeat("x", 9000),
		get + "bad line\r\n\r\n" + get + "\r\n", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc", "GET /a HTTP/1.0\r\n\r\n" + get,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + get + "\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + get + "\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n1\r\nx\r\n0\r\n\r\n" + get,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 5000) + "\r\nx\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + strings.Repeat("a:\r\n", 2000),
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		budget := NewBudget(1 << 20)
		srv := &Server{
			Budget: budget, Limits: func() Limits { return Limits{HeadBytes: 8 << 10} }, sweeping: true,
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		}
		srv.addListener(&pipeListener{})
		out := new(bytes.Buffer)
		c := newConn(srv, bytesConn{in: bytes.NewReader(data), out: out})
		srv.addConn(c)
		done := make(chan struct{})
		go func() {
			c.serve()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(fuzzTimeout):
			t.Fatalf("the connection is still served after %v", fuzzTimeout)
		}
		if budget.used != 0 || len(srv.conns.all) != 0 || srv.conns.open != 0 || srv.conns.unserved.Len() != 0 {
			t.Errorf("left: %d bytes of the budget, %d connections", budget.used, srv.conns.open)
		}
		checkResponses(t, out)
	})
}

// checkResponses checks that out holds whole responses, and none behind one that closes the
// connection.
func checkResponses(t *testing.T, out *bytes.Buffer) {
	t.Helper()
	br := bufio.NewReader(out)
	for closed := false; ; {
		if _, err := br.Peek(1); err != nil {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("response: %v", err)
		}
		_ = resp.Body.Close()
		if closed {
			t.Fatalf("%s behind a response that closes the connection", resp.Status)
		}
		closed = resp.Close
	}
}
