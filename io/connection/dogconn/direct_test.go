package dogconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodford/core/connection/dogoutcome"
	"dogwoodford/internal/dogscript"
)

// rawServer starts a TCP server that handles each connection with serve, and
// returns its address and the count of connections.
func rawServer(t *testing.T, serve func(c net.Conn)) (addr string, conns *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = new(atomic.Int32)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String(), conns
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondThen returns a handler that responds to each call and then calls
// after.
func respondThen(after func(c net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			io.WriteString(c, okResponse)
			after(c)
		}
	}
}

func exchangeOnce(t *testing.T, tr *Transport, addr, body string) (string, dogoutcome.Stage, error) {
	t.Helper()
	resp, stage, err := tr.Do(request(t, "POST", "http://"+addr+"/", strings.NewReader(body)))
	if err != nil {
		return "", stage, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), stage, err
}

// TestKeptConnections guards against calls that are sent on an idle connection
// that the server has closed, and against bytes after a response that are read
// as the next response.
func TestKeptConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		after func(c net.Conn)
		conns int32
	}{
		"kept":          {func(net.Conn) {}, 1},
		"ended":         {func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }, 3},
		"reset":         {func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, 3},
		"extra answer":  {func(c net.Conn) { io.WriteString(c, okResponse) }, 3},
		"late answer":   {func(c net.Conn) { time.Sleep(5 * time.Millisecond); io.WriteString(c, okResponse) }, 3},
		"not an answer": {func(c net.Conn) { io.WriteString(c, "x") }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := rawServer(t, respondThen(tc.after))
			tr := NewTarget(Options{MaxConns: 1})
			defer tr.Close()
			for range 3 {
				if got, stage, err := exchangeOnce(t, tr, addr, "content"); err != nil || got != "ok" {
					t.Fatalf("answer %q, stage %v, error %v", got, stage, err)
				}
				time.Sleep(20 * time.Millisecond) // Lets anything that the server does after the response arrive.
			}
			if n := conns.Load(); n != tc.conns {
				t.Errorf("%d connections, want %d", n, tc.conns)
			}
		})
	}
}

// TestEarlyAnswer guards against a response that is lost because its call is
// still being written, and against a call that the server reads as the rest of
// the body before it.
func TestEarlyAnswer(t *testing.T) {
	release := make(chan struct{})
	addr, conns := rawServer(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if req.ContentLength > maxInlineBody {
				io.WriteString(c, okResponse)
				<-release
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if req.ContentLength <= maxInlineBody {
				io.WriteString(c, okResponse)
			}
		}
	})
	tr := NewTarget(Options{MaxConns: 1})
	defer tr.Close()
	longBody := strings.Repeat("x", 32<<20) // More than the socket buffers hold.
	if got, stage, err := exchangeOnce(t, tr, addr, longBody); err != nil || got != "ok" {
		t.Fatalf("early answer %q, stage %v, error %v", got, stage, err)
	}
	if got, stage, err := exchangeOnce(t, tr, addr, "short"); err != nil || got != "ok" {
		t.Errorf("next answer %q, stage %v, error %v", got, stage, err)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
	close(release)
}

// TestWholeAnswerBeforeReset guards against a whole response of known length that is given
// up because the connection was reset while its long call was still being written. One whose
// length is unknown is not whole then.
func TestWholeAnswerBeforeReset(t *testing.T) {
	const tries, bodyBytes, readBytes = 100, 4 << 20, 64 << 10
	for _, tc := range []struct {
		name, answer string
		whole        bool
	}{
		{"of known length", okResponse, true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"of unknown length", "HTTP/1.1 200 OK\r\n\r\nok", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, _ := rawServer(t, func(c net.Conn) {
				_, _ = io.CopyN(io.Discard, c, readBytes)
				io.WriteString(c, tc.answer)
				c.(*net.TCPConn).SetLinger(0) // Closing resets the connection.
			})
			tr := NewTarget(Options{})
			defer tr.Close()
			other, last := 0, error(nil)
			for range tries {
				got, _, err := exchangeOnce(t, tr, addr, strings.Repeat("x", bodyBytes))
				if (err == nil) != tc.whole || tc.whole && got != "ok" {
					other, last = other+1, err
				}
			}
			if other > 0 {
				t.Errorf("%d of %d responses: want whole %v; last error %v", other, tries, tc.whole, last)
			}
		})
	}
}

// TestCancelledCallsCloseConnections guards against calls that hold their
// connection after they were cancelled, and against the reuse of connections
// whose response was not read.
func TestCancelledCallsCloseConnections(t *testing.T) {
	ended := make(chan struct{}, 8)
	addr, conns := rawServer(t, func(c net.Conn) {
		defer func() { ended <- struct{}{} }()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = br.ReadByte() // Waits until the connection is closed.
	})
	tr := NewTarget(Options{MaxConns: 1})
	defer tr.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, stage, err := tr.Do(request(t, "GET", "http://"+addr+"/", nil).WithContext(ctx))
		if !errors.Is(err, context.DeadlineExceeded) || stage != dogoutcome.Written {
			t.Errorf("stage %v, error %v", stage, err)
		}
		cancel()
		<-ended
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestIdleConnectionsAreClosed guards against idle connections that stay open
// beyond the idle timeout.
func TestIdleConnectionsAreClosed(t *testing.T) {
	addr, _ := rawServer(t, respondThen(func(net.Conn) {}))
	tr := NewTarget(Options{MaxConns: 4, IdleTimeout: 30 * time.Millisecond})
	defer tr.Close()
	if _, _, err := exchangeOnce(t, tr, addr, "content"); err != nil {
		t.Fatal(err)
	}
	if n := tr.Counts().Open; n != 1 {
		t.Errorf("%d connections after a call, want 1", n)
	}
	for deadline := time.Now().Add(10 * time.Second); tr.Counts().Open > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection is still open")
		}
	}
}

// TestMisdirectedEndsConnection guards against a refusal that a faulty server writes once
// more on a kept connection: without an ID it would be read as that of the next call.
func TestMisdirectedEndsConnection(t *testing.T) {
	addr, conns := rawServer(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}
	})
	tr := NewTarget(Options{MaxConns: 1})
	defer tr.Close()
	for range 3 {
		if _, stage, err := exchangeOnce(t, tr, addr, ""); err != nil {
			t.Fatalf("stage %v, error %v", stage, err)
		}
	}
	if n := conns.Load(); n != 3 {
		t.Errorf("%d connections for three calls that were answered 421, want 3", n)
	}
}

// TestPausedReader guards against a call that is broken off because its server does not
// read on for longer than the time after which a silent connection is closed.
func TestPausedReader(t *testing.T) {
	const timeout = 400 * time.Millisecond
	addr, _ := rawServer(t, func(c net.Conn) {
		if err := c.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
			return
		}
		br := bufio.NewReader(c)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(4 * timeout)
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			io.WriteString(c, okResponse)
		}
	})
	tr := NewTarget(Options{Liveness: Liveness{UnacknowledgedTimeout: timeout, ProbeInterval: timeout}})
	defer tr.Close()
	got, stage, err := exchangeOnce(t, tr, addr, strings.Repeat("x", 256<<10))
	if err != nil || got != "ok" {
		t.Errorf("answer %q, stage %v, error %v", got, stage, err)
	}
}

// TestSilentPeers guards against a peer that counts as silent although it acknowledges what
// it has got, and against waiting for one that does not. Each line of testdata/silence.txtar
// has what the kernel tells: milliseconds since the last acknowledgement, unacknowledged
// segments, unanswered probes, the window in bytes, and milliseconds to the next probe.
func TestSilentPeers(t *testing.T) {
	dogscript.RunLines(t, "testdata/silence.txtar", func() func(*testing.T, []string) string { return judgePeer })
}

// judgePeer returns whether a peer counts as silent of which the kernel tells words.
func judgePeer(t *testing.T, words []string) string {
	t.Helper()
	info, millis := &unix.TCPInfo{}, uint32(0)
	if _, err := fmt.Sscan(strings.Join(words, " "), &info.Last_ack_recv, &info.Unacked, &info.Probes, &info.Snd_wnd, &millis); err != nil {
		t.Fatal(err)
	}
	info.Rto = 1000 * millis
	return fmt.Sprintf("silent=%v", isSilent(info, time.Second))
}

// TestRejectedLines guards against a line of a head that net/http would pass over, wherever
// the head is split on the way, and against a body that is taken for a part of the head.
func TestRejectedLines(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nA: 1\r\n X: 2\r\n\r\n":        errMalformed,
		"HTTP/1.1 200 OK\nA: 1\n\tX: 2\n\n":               errMalformed,
		" HTTP/1.1 200 OK\r\n\r\n":                        errMalformed,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: x\r\n\r\n": errMalformed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n": nil,
		"HTTP/1.1 200 OK\r\nA:  1 \r\n\r\n body\r\n  x":   nil,
		"HTTP/1.1 200 OK\nA: 1\n\n body":                  nil,
	} {
		for i := range text {
			h := &headReader{r: io.MultiReader(strings.NewReader(text[:i]), strings.NewReader(text[i:]))}
			h.start()
			if _, err := io.ReadAll(h); !errors.Is(err, want) {
				t.Errorf("%q, split at %d: error %v, want %v", text, i, err, want)
			}
		}
	}
}

// TestBrokenBodyStaysBroken guards against a body that breaks off and looks complete to who
// reads on behind the error, or behind the close.
func TestBrokenBodyStaysBroken(t *testing.T) {
	addr, _ := rawServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		}
	})
	tr := NewTarget(Options{MaxConns: 1})
	defer tr.Close()
	for _, closed := range []bool{false, true} {
		resp, _, err := tr.Do(request(t, "GET", "http://"+addr+"/", nil))
		if err != nil {
			t.Fatal(err)
		}
		if closed {
			_ = resp.Body.Close()
		}
		for range 2 {
			if data, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("closed %v: %q is taken as a whole body", closed, data)
			}
		}
	}
}
