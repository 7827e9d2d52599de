package dogrelay

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
	"dogwoodford/io/connection/dogpipeline"
)

// listen serves h as the product does and returns the address.
func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &dogpipeline.Server{Handler: h}
	t.Cleanup(func() { srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String()
}

// TestBrokenAnswers guards against answers that are not valid HTTP/1.1 and reach callers as
// those of the target, and against waiting for the end of one.
func TestBrokenAnswers(t *testing.T) {
	dogscript.RunLines(t, "testdata/broken.txtar", func() func(*testing.T, []string) string { return sendToBroken })
}

// sendToBroken returns what callers get of the answer that w describes, which must depend
// neither on its place on the connection nor on what comes behind it.
func sendToBroken(t *testing.T, w []string) string {
	t.Helper()
	for i := range w {
		text, err := strconv.Unquote(`"` + strings.TrimPrefix(w[i], "-") + `"`)
		if err != nil {
			t.Fatal(err)
		}
		w[i] = text
	}
	answer := fmt.Sprintf("%s Status\r\nX-Attempt: a1\r\nX-Seal: s\r\n%s\r\n%s", w[0], w[1], w[2])
	var got []string
	for _, later := range []bool{false, true} {
		for _, closes := range []bool{false, true} {
			got = append(got, sendTo(t, "non-idempotent", answer, later, closes)+"; "+sendTo(t, "idempotent", answer, later, closes))
		}
	}
	return strings.Join(slices.Compact(got), " | ")
}

// sendTo sends a request through two nodes to a target that gives answer, on a new
// connection or on one that has carried a whole answer, and then closes it or does not.
// Another target answers "other".
func sendTo(t *testing.T, kind, answer string, later, closes bool) string {
	t.Helper()
	const timeout = 10 * time.Second // No line of the data waits for it.
	entry := newTestNode(t, "entry", "billing", "refuse", timeout)
	guard, other := newTestNode(t, "guard", "rounds", "ok", timeout), newTestNode(t, "other", "rounds", "ok", timeout)
	other.target.raw = strings.Replace(wholeResponse("a1"), "4\r\n\r\nbody", "5\r\n\r\nother", 1)
	entry.addGuards(guard, other)
	entry.targets[0].Peer = listen(t, guard.relay.Guard())
	if later {
		if status, body, err := get(t, entry, kind); err != nil || status != http.StatusOK || string(body) != "body" {
			t.Fatalf("earlier answer: status %d, body %q, error %v", status, body, err)
		}
	}
	guard.target.raw = answer
	if closes {
		guard.target.end = func(*net.TCPConn) {}
	}
	status, body, err := get(t, entry, kind)
	if err != nil {
		return "broken off"
	}
	return fmt.Sprintf("%d %s", status, body)
}

// TestUnframedAnswers guards against an answer that ends with its connection, was reset on
// the way and looks complete, and against one that is refused because the target ended it in
// order while the upload was being written. The kernel reports a reset to one system call
// only, which may be the write of the upload.
func TestUnframedAnswers(t *testing.T) {
	const rounds = 10              // In which the write and the read of a connection race.
	upload := make([]byte, 64<<20) // More than the buffers on the way hold.
	reset := func(c *net.TCPConn) {
		time.Sleep(10 * time.Millisecond) // The nodes write and read meanwhile.
		_ = c.SetLinger(0)
	}
	for _, tc := range []struct {
		name    string
		request []byte
		answer  []byte
		whole   bool
	}{
		{"reset", nil, []byte("part"), false},
		{"reset of an upload", upload, []byte("part"), false},
		{"reset of an upload, long answer", upload, largeBody, false},
		{"in order", nil, []byte("body"), true},
		{"in order beside an upload", upload, []byte("body"), true},
		{"in order beside an upload, long answer", upload, largeBody, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			answered := make(chan struct{}, rounds)
			inOrder := func(c *net.TCPConn) {
				_ = c.CloseWrite()
				<-answered
			}
			entry := newTestNode(t, "entry", "billing", "refuse", 10*time.Second)
			guard := newTestNode(t, "guard", "rounds", "ok", 10*time.Second)
			entry.addGuards(guard)
			entry.targets[0].Peer = listen(t, guard.relay.Guard())
			guard.target.raw = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n\r\n" + string(tc.answer)
			guard.target.end, guard.target.early = reset, true
			if tc.whole {
				guard.target.end = inOrder
			}
			for range rounds {
				status, body, err := send(t, entry, "upload", tc.request)
				answered <- struct{}{}
				if got := err == nil && status == http.StatusOK; got != tc.whole {
					t.Errorf("status %d, %d bytes, error %v; taken as whole: %v, want %v", status, len(body), err, got, tc.whole)
				}
				if tc.whole && !bytes.Equal(body, tc.answer) {
					t.Errorf("%d bytes that are not the answer", len(body))
				}
			}
		})
	}
}
