package dogconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford/core/connection/dogoutcome"
)

func request(t testing.TB, method, url string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// breaker is a raw server that answers the first request of each connection
// and breaks the connection when a second one has been read.
type breaker struct {
	ln    net.Listener
	reads atomic.Int32 // Requests read.
	reset bool         // Break by a reset instead of an end.
}

func newBreaker(t *testing.T, reset bool) *breaker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaker{ln: ln, reset: reset}
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { b.serve(c) })
		}
	})
	return b
}

func (b *breaker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		b.reads.Add(1)
		if i == 1 {
			if b.reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against net/http sending a request a second time when a reused
// connection breaks, which would run a non-idempotent request twice and spend
// attempts outside of the retry budget.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "DELETE"} {
			for _, body := range []string{"", "content"} {
				t.Run(fmt.Sprintf("%s/%d/reset=%v", method, len(body), reset), func(t *testing.T) {
					b := newBreaker(t, reset)
					tr := NewTarget(Options{MaxConns: 1})
					defer tr.Close()
					url := "http://" + b.ln.Addr().String() + "/"
					resp, _, err := tr.Do(request(t, "POST", url, nil))
					if err != nil {
						t.Fatal(err)
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					// strings.Reader gives the request a GetBody.
					req := request(t, method, url, strings.NewReader(body))
					req.Header.Set("Idempotency-Key", "1")
					req.Header.Set("X-Idempotency-Key", "1")
					_, stage, err := tr.Do(req)
					if err == nil || stage != dogoutcome.Written || b.reads.Load() != 2 {
						t.Errorf("error %v, stage %v, %d requests read; want an error, written, 2", err, stage, b.reads.Load())
					}
				})
			}
		}
	}
}

// Guards against the fault that Do prevents going unnoticed: a plain transport
// must still replay here, else the test above shows nothing.
func TestPlainTransportReplays(t *testing.T) {
	b := newBreaker(t, false)
	tr := &http.Transport{MaxConnsPerHost: 1}
	defer tr.CloseIdleConnections()
	for range 2 {
		req := request(t, "POST", "http://"+b.ln.Addr().String()+"/", strings.NewReader("content"))
		req.Header.Set("Idempotency-Key", "1")
		resp, err := tr.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if n := b.reads.Load(); n != 3 {
		t.Errorf("%d requests read, want 3", n)
	}
}

// Guards against a stage that says more or less than what was written.
func TestStages(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := ln.Addr().String()
	ln.Close()
	for _, p := range []Protocol{HTTP1, HTTP2} {
		tr := NewPeer(Options{Protocol: p})
		if _, stage, err := tr.Do(request(t, "POST", "http://"+nobody+"/", nil)); err == nil || stage != dogoutcome.DialFailed {
			t.Errorf("protocol %d, nobody listens: stage %v, error %v", p, stage, err)
		}
		srv := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // The server looks for a lost caller only after it.
			<-r.Context().Done()
		}))
		ctx, cancel := context.WithCancel(t.Context())
		req := request(t, "POST", srv.URL, io.NopCloser(readFunc(func([]byte) (int, error) { cancel(); return 0, io.EOF })))
		if _, stage, err := tr.Do(req.WithContext(ctx)); !errors.Is(err, context.Canceled) || stage != dogoutcome.Written {
			t.Errorf("protocol %d, cancelled while written: stage %v, error %v", p, stage, err)
		}
		if _, stage, err := tr.Do(req.WithContext(ctx)); !errors.Is(err, context.Canceled) || stage == dogoutcome.Headers {
			t.Errorf("protocol %d, cancelled before: stage %v, error %v", p, stage, err)
		}
		tr.Close()
	}
}

type readFunc func([]byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a write that follows after a call was found not written.
func TestSealedConnectionRefusesWrites(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &conn{Conn: a}
	if !c.seal(c.count()) {
		t.Fatal("seal failed without a write")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Errorf("write after seal: %v", err)
	}
}

// Guards against more connections to a target than it announced.
func TestConnectionsAreBounded(t *testing.T) {
	var open, most atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			n := open.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
		case http.StateClosed:
			open.Add(-1)
		}
	}
	srv.Start()
	defer srv.Close()
	tr := NewTarget(Options{MaxConns: 3})
	defer tr.Close()
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			if resp, _, err := tr.Do(request(t, "GET", srv.URL, nil)); err != nil {
				t.Error(err)
			} else {
				resp.Body.Close()
			}
		})
	}
	wg.Wait()
	if n := most.Load(); n > 3 {
		t.Errorf("%d connections, want at most 3", n)
	}
}

func serve(t testing.TB, h http.Handler) *httptest.Server {
	srv := httptest.NewUnstartedServer(h)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Config.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: 1000}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

// BenchmarkPeer compares the protocols between nodes, per size of the answer
// and number of calls at once.
func BenchmarkPeer(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10} {
		data := make([]byte, size)
		srv := serve(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			w.Write(data)
		}))
		for _, calls := range []int{1, 8, 64} {
			for p, name := range map[Protocol]string{HTTP1: "HTTP1", HTTP2: "HTTP2"} {
				b.Run(fmt.Sprintf("%s/bytes=%d/calls=%d", name, size, calls), func(b *testing.B) {
					benchmarkCalls(b, p, srv.URL, calls)
				})
			}
		}
	}
}

func benchmarkCalls(b *testing.B, p Protocol, url string, calls int) {
	tr := NewPeer(Options{Protocol: p})
	defer tr.Close()
	var wg sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(b.N))
	took := make([]time.Duration, b.N)
	for range calls {
		wg.Go(func() {
			for i := left.Add(-1); i >= 0; i = left.Add(-1) {
				start := time.Now()
				resp, _, err := tr.Do(request(b, "GET", url, nil))
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				took[i] = time.Since(start)
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

func ExampleTransport_Do() {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer srv.Close()
	tr := NewTarget(Options{MaxConns: 2})
	defer tr.Close()
	req, err := http.NewRequest("POST", srv.URL, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	resp, stage, err := tr.Do(req)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	fmt.Println(resp.StatusCode, stage)
	// Output: 200 headers
}

// Guards against a call without a body that goes out with a body, a length or
// an encoding, which confuses servers.
func TestEmptyCallIsWrittenWithoutBody(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan string, 1)
		go func() {
			defer close(got)
			c, err := ln.Accept()
			if err != nil {
				return
			}
			// All that is sent until the caller gives the call up.
			data, _ := io.ReadAll(c)
			got <- string(data)
		}()
		ctx, cancel := context.WithCancel(t.Context())
		req := request(t, method, "http://"+ln.Addr().String()+"/a", nil).WithContext(ctx)
		req.Host, req.Header = "rounds", http.Header{"User-Agent": nil}
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
		})
		tr := NewTarget(Options{MaxConns: 1})
		tr.Do(req.WithContext(ctx))
		tr.Close()
		if diff := cmp.Diff(method+" /a HTTP/1.1\r\nHost: rounds\r\n\r\n", <-got); diff != "" {
			t.Errorf("written bytes mismatch (-want +got):\n%s", diff)
		}
		ln.Close()
	}
}

// resetStreams is a cleartext HTTP/2 server that ends each stream with an
// error. It returns its address and the count of streams.
func resetStreams(t *testing.T, code byte) (string, *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	streams := new(atomic.Int32)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				resetAll(c, code, streams)
			}()
		}
	}()
	return ln.Addr().String(), streams
}

func resetAll(c net.Conn, code byte, streams *atomic.Int32) {
	const headers, settings = 1, 4
	br := bufio.NewReader(c)
	br.Discard(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	c.Write([]byte{0, 0, 0, settings, 0, 0, 0, 0, 0})
	for {
		var h [9]byte // Length, type, flags and stream of a frame.
		if _, err := io.ReadFull(br, h[:]); err != nil {
			return
		}
		br.Discard(int(h[0])<<16 | int(h[1])<<8 | int(h[2]))
		switch {
		case h[3] == settings && h[4] == 0:
			c.Write([]byte{0, 0, 0, settings, 1, 0, 0, 0, 0})
		case h[3] == headers:
			streams.Add(1)
			c.Write([]byte{0, 0, 4, 3, 0, h[5], h[6], h[7], h[8], 0, 0, 0, code})
		}
	}
}

// Guards against HTTP/2 sending a call without a body again after a stream
// error, which would run a non-idempotent request twice.
func TestStreamErrorIsNotReplayed(t *testing.T) {
	for name, code := range map[string]byte{"protocol-error": 1, "refused-stream": 7} {
		for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
			t.Run(name+"/"+method, func(t *testing.T) {
				addr, streams := resetStreams(t, code)
				tr := NewPeer(Options{Protocol: HTTP2})
				defer tr.Close()
				_, stage, err := tr.Do(request(t, method, "http://"+addr+"/", nil))
				if err == nil || stage != dogoutcome.Written || streams.Load() != 1 {
					t.Errorf("error %v, stage %v, %d streams; want an error, written, 1", err, stage, streams.Load())
				}
			})
		}
	}
}
