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

	"dogwoodford"
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
// neither on the hop, nor on its place on the connection, nor on what comes behind it.
func sendToBroken(t *testing.T, w []string) string {
	t.Helper()
	unescape(t, w)
	var got []string
	for _, b := range []broken{{}, {later: true}, {closes: true}, {later: true, closes: true}, {fromNode: true}, {fromNode: true, later: true, closes: true}} {
		b.answer = rawAnswer(w[0], w[1], w[2])
		if b.closes {
			b.answer.end = func(*net.TCPConn) {}
		}
		got = append(got, b.send(t, "non-idempotent")+"; "+b.send(t, "idempotent"))
	}
	return strings.Join(slices.Compact(got), " | ")
}

// unescape replaces the escapes in words; "-" stands for nothing.
func unescape(t *testing.T, words []string) {
	t.Helper()
	for i := range words {
		text, err := strconv.Unquote(`"` + strings.TrimPrefix(words[i], "-") + `"`)
		if err != nil {
			t.Fatal(err)
		}
		words[i] = text
	}
}

// rawAnswer returns an answer with the fields that entries and guards need.
func rawAnswer(start, fields, body string) rawResponse {
	h := make(http.Header)
	formatAnswer(h, &result{outcome: dogwoodford.OutcomeRan}, 1)
	return rawResponse{bytes: fmt.Sprintf("%s Status\r\nX-Attempt: a1\r\nX-Seal: s\r\n%s: %s\r\n%s\r\n%s",
		start, headerAnswer, h.Get(headerAnswer), fields, body)}
}

// broken is an answer and how it reaches a caller.
type broken struct {
	answer   rawResponse
	fromNode bool // It takes the place of the answer of another node.
	later    bool // Its connection has carried a whole answer.
	closes   bool // Its connection ends behind it.
}

// send sends a request of a kind through two nodes to a target that answers b, where another
// target answers "other", and returns what the caller gets.
func (b broken) send(t *testing.T, kind string) string {
	t.Helper()
	const timeout = 10 * time.Second // No line of the data waits for it.
	entry := newTestNode(t, "entry", "billing", "refuse", timeout)
	guard, other := newTestNode(t, "guard", "rounds", "", timeout), newTestNode(t, "other", "rounds", "", timeout)
	guard.target.raw = []rawResponse{b.answer}
	if b.later {
		guard.target.raw = []rawResponse{rawAnswer("HTTP/1.1 200", "Content-Length: 4\r\n", "body"), b.answer}
	}
	other.target.raw = []rawResponse{rawAnswer("HTTP/1.1 200", "Content-Length: 5\r\n", "other")}
	entry.addGuards(guard, other)
	entry.targets[0].Peer = listen(t, guard.relay.Guard())
	if b.fromNode {
		entry.targets[0].Peer = guard.target.addr
	}
	if b.later {
		if status, body, err := get(t, entry, kind); err != nil || status != http.StatusOK || string(body) != "body" {
			t.Fatalf("earlier answer: status %d, body %q, error %v", status, body, err)
		}
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
	upload := make([]byte, 64<<20) // More than the buffers on the way hold.
	for name, u := range map[string]unframed{
		"reset":                                  {answer: []byte("part")},
		"reset of an upload":                     {request: upload, answer: []byte("part")},
		"reset of an upload, long answer":        {request: upload, answer: largeBody},
		"reset of an upload by a node":           {request: upload, answer: []byte("part"), fromNode: true},
		"in order":                               {answer: []byte("body"), whole: true},
		"in order beside an upload":              {request: upload, answer: []byte("body"), whole: true},
		"in order beside an upload, long answer": {request: upload, answer: largeBody, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u.check(t)
		})
	}
}

// unframed is an answer without a length.
type unframed struct {
	request  []byte
	answer   []byte
	fromNode bool // It takes the place of the answer of another node.
	whole    bool // Its connection ends in order behind it, and is not reset.
}

// check sends requests through two nodes to a target that answers u before it has read them,
// and reports an error if a caller does not see whether u is whole.
func (u unframed) check(t *testing.T) {
	const rounds = 10 // In which the write and the read of a connection race.
	answered := make(chan struct{}, rounds)
	answer := rawAnswer("HTTP/1.1 200", "", string(u.answer))
	answer.end = func(c *net.TCPConn) {
		if u.whole {
			_ = c.CloseWrite()
			<-answered
			return
		}
		time.Sleep(10 * time.Millisecond) // The nodes write and read meanwhile.
		_ = c.SetLinger(0)
	}
	entry := newTestNode(t, "entry", "billing", "refuse", 10*time.Second)
	guard := newTestNode(t, "guard", "rounds", "ok", 10*time.Second)
	guard.target.raw, guard.target.early = []rawResponse{answer}, true
	entry.addGuards(guard)
	entry.targets[0].Peer = listen(t, guard.relay.Guard())
	if u.fromNode {
		entry.targets[0].Peer = guard.target.addr
	}
	for range rounds {
		status, body, err := send(t, entry, "upload", u.request)
		answered <- struct{}{}
		if got := err == nil && status == http.StatusOK; got != u.whole {
			t.Errorf("status %d, %d bytes, error %v; taken as whole: %v, want %v", status, len(body), err, got, u.whole)
		}
		if u.whole && !bytes.Equal(body, u.answer) {
			t.Errorf("%d bytes that are not the answer", len(body))
		}
	}
}
