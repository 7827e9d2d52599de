package dogpipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// scriptRun plays one script: the sent bytes of a client, and what it and the handler
// saw, with the milliseconds since the start.
type scriptRun struct {
	srv   *Server
	start time.Time

	mu   sync.Mutex
	seen []string
}

func (s *scriptRun) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, fmt.Sprintf("%4d ", time.Since(s.start).Milliseconds())+fmt.Sprintf(format, args...))
}

// ServeHTTP runs a request as its path says: /MILLISECONDS/OPTION.
func (s *scriptRun) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	option := parts[2]
	if option == "once" && AwaitTurn(r.Context()) != nil {
		s.record("not run %s", r.URL.Path)
		return
	}
	s.record("run %s", r.URL.Path)
	if option != "unread" {
		if n, err := io.Copy(io.Discard, r.Body); err != nil {
			s.record("body of %s broken", r.URL.Path)
		} else if n > 0 {
			s.record("body of %s has %d bytes", r.URL.Path, n)
		}
	}
	ms, _ := strconv.Atoi(parts[1])
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		s.record("cancelled %s", r.URL.Path)
	}
	w.Header().Set("X-Path", r.URL.Path)
	switch option {
	case "close":
		w.Header().Set("Connection", "close")
	case "short":
		w.Header().Set("Content-Length", "9")
	case "abort":
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	case "panic":
		panic("fault")
	case "empty":
		return
	case "stream":
		for range 3 {
			_, _ = io.WriteString(w, strings.Repeat("x", 3000))
		}
	}
	_, _ = io.WriteString(w, "body")
}

// read records the responses that the client gets.
func (s *scriptRun) read(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			s.record("client: end")
			return
		}
		data, err := io.ReadAll(resp.Body)
		what := fmt.Sprintf("%d %s %d bytes", resp.StatusCode, resp.Header.Get("X-Path"), len(data))
		if err != nil {
			what += " broken"
		}
		if resp.Close {
			what += " close"
		}
		s.record("client: %s", what)
	}
}

// play runs the commands of a script and returns what was seen.
func (s *scriptRun) play(commands []string) []string {
	s.start = time.Now()
	s.srv = &Server{
		Handler: s, IdleTimeout: 5 * time.Second, Limits: func() Limits { return Limits{HeadTimeout: time.Second} },
		Panicked: func(v any) { s.record("panic %v", v) },
	}
	ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = s.srv.Serve(ln) }()
	client, server := net.Pipe()
	ln.conns <- server
	go s.read(client)
	for _, command := range commands {
		s.do(client, command)
	}
	time.Sleep(20 * time.Second)
	_ = client.Close()
	_ = s.srv.Close()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.seen)
	return s.seen
}

func (s *scriptRun) do(client net.Conn, command string) {
	verb, rest, _ := strings.Cut(command, " ")
	switch verb {
	case "send":
		text, err := strconv.Unquote(`"` + strings.ReplaceAll(rest, "|", `\r\n`) + `"`)
		if err != nil {
			panic(err)
		}
		go func() { _, _ = io.WriteString(client, text) }()
		synctest.Wait()
	case "many":
		go func() { _, _ = io.WriteString(client, strings.Repeat("GET /10/x HTTP/1.1\r\nHost: h\r\n\r\n", 10000)) }()
		time.Sleep(10 * time.Second)
	case "get":
		for path := range strings.FieldsSeq(rest) {
			s.do(client, "send GET "+path+" HTTP/1.1|Host: h||")
		}
	case "longhead":
		s.do(client, "send GET /10/a HTTP/1.1|Host: h|X-Long: "+strings.Repeat("x", 2*maxHeadBytes))
	case "emptylines":
		s.do(client, "send "+strings.Repeat("|", maxHeadBytes))
	case "wait":
		ms, _ := strconv.Atoi(rest)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	case "leave":
		_ = client.Close()
		synctest.Wait()
	case "shutdown":
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		s.record("shutdown: %v", s.srv.Shutdown(ctx))
	default:
		panic("unknown command " + command)
	}
}

// TestScripts guards against responses in another order than their requests, requests
// that run behind a response that closes the connection, departures that are not
// noticed while further requests wait, and broken responses that look complete. Each
// file of the archive has the commands of a client, a line "--", and what is seen.
func TestScripts(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/pipeline.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) {
			commands, _, _ := strings.Cut(string(f.Data), "=\n")
			synctest.Test(t, func(t *testing.T) {
				seen := new(scriptRun).play(strings.Split(strings.TrimSpace(commands), "\n"))
				if f.Name == "ten thousand tiny requests ahead" {
					seen = counts(seen)
				}
				got := commands + "=\n" + strings.Join(seen, "\n") + "\n"
				if diff := cmp.Diff(string(f.Data), got); diff != "" {
					t.Errorf("mismatch (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// counts returns how often each line was seen, without its time.
func counts(seen []string) []string {
	n := make(map[string]int)
	for _, line := range seen {
		n[line[5:]]++
	}
	var out []string
	for line, times := range n {
		out = append(out, fmt.Sprintf("%d times %s", times, line))
	}
	slices.Sort(out)
	return out
}

// TestBrokenOffWithConnection guards against a response that ends with its connection, as
// HTTP/1.0 knows no other end for one of unknown length, and looks complete to its client
// although its handler broke it off.
func TestBrokenOffWithConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 2*bufferBytes))
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
	})}
	defer srv.Close()
	go func() { _ = srv.Serve(ln) }()
	for path, whole := range map[string]bool{"/whole": true, "/cut": false} {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: h\r\n\r\n", path)
		data, err := io.ReadAll(c)
		if whole != (err == nil) {
			t.Errorf("%s: %d bytes, error %v; want an error: %v", path, len(data), err, !whole)
		}
	}
}
