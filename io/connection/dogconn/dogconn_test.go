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

// breakingServer is a TCP server that responds to the first request of each
// connection and closes the connection after it has read a second one.
type breakingServer struct {
	ln           net.Listener
	requestsRead atomic.Int32
	reset        bool // Close with a reset (RST) instead of a FIN.
}

func newBreakingServer(t *testing.T, reset bool) *breakingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breakingServer{ln: ln, reset: reset}
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

func (b *breakingServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		b.requestsRead.Add(1)
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
// connection breaks, which would run a non-idempotent request twice and make
// attempts that the retry budget does not count.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "DELETE"} {
			for _, body := range []string{"", "content"} {
				t.Run(fmt.Sprintf("%s/%d/reset=%v", method, len(body), reset), func(t *testing.T) {
					b := newBreakingServer(t, reset)
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
					if err == nil || stage != dogoutcome.Written || b.requestsRead.Load() != 2 {
						t.Errorf("error %v, stage %v, %d requests read; want an error, written, 2", err, stage, b.requestsRead.Load())
					}
				})
			}
		}
	}
}

// Shows that the test above can fail: an http.Transport without the measures of
// Do must still send the request a second time here.
func TestPlainTransportReplays(t *testing.T) {
	b := newBreakingServer(t, false)
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
	if n := b.requestsRead.Load(); n != 3 {
		t.Errorf("%d requests read, want 3", n)
	}
}

// Guards against a stage that claims more or less than was written.
func TestStages(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddr := ln.Addr().String()
	ln.Close()
	for _, p := range []Protocol{HTTP1, HTTP2} {
		tr := NewPeer(Options{Protocol: p})
		if _, stage, err := tr.Do(request(t, "POST", "http://"+unusedAddr+"/", nil)); err == nil || stage != dogoutcome.DialFailed {
			t.Errorf("protocol %d, no listener: stage %v, error %v", p, stage, err)
		}
		srv := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // The server detects a closed connection only after the body.
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

// Guards against a write after a call was reported as not written.
func TestSealedConnectionRefusesWrites(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &conn{Conn: a}
	if !c.seal(c.writeCount()) {
		t.Fatal("seal failed without a write")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Errorf("write after seal: %v", err)
	}
}

// Guards against more connections to a target than MaxConns, the number that it
// announced.
func TestConnectionsAreBounded(t *testing.T) {
	var open, maxOpen atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			n := open.Add(1)
			for m := maxOpen.Load(); n > m && !maxOpen.CompareAndSwap(m, n); m = maxOpen.Load() {
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
	if n := maxOpen.Load(); n > 3 {
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

// BenchmarkPeer compares the protocols between nodes for several response sizes
// and numbers of concurrent calls.
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
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	latencies := make([]time.Duration, b.N)
	for range calls {
		wg.Go(func() {
			for i := remaining.Add(-1); i >= 0; i = remaining.Add(-1) {
				start := time.Now()
				resp, _, err := tr.Do(request(b, "GET", url, nil))
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				latencies[i] = time.Since(start)
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
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

// Guards against a call without a body that is sent with a body, a
// Content-Length or a Transfer-Encoding, which some servers misinterpret.
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
			// All bytes that are sent until the call is cancelled.
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

// resetStreams starts a cleartext HTTP/2 server that resets each stream with
// the given error code, and returns its address and the count of streams.
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

// Guards against net/http sending an HTTP/2 call without a body again after a
// stream error, which would run a non-idempotent request twice.
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
