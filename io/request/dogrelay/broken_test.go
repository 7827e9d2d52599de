package dogrelay

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

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
