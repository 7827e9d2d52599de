package dogconn

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSourceLooks guards against a call that is written to an idle connection which its
// server has closed, or on which it has sent more than its responses, and against an error
// that is taken for such a look once the call was written.
func TestSourceLooks(t *testing.T) {
	errWrite := errors.New("write failed")
	for _, tc := range []struct {
		name    string
		server  func(net.Conn) // Before the read.
		before  func(client, server net.Conn) error
		want    string
		wantErr error
		written bool
	}{
		{name: "open", before: func(_, s net.Conn) error { _, err := io.WriteString(s, "response"); return err }, want: "response", written: true},
		{name: "closed", server: func(s net.Conn) { s.Close() }, wantErr: errUnusable},
		{name: "unread bytes", server: func(s net.Conn) { _, _ = io.WriteString(s, "more") }, wantErr: errUnusable},
		{name: "closed during the call", before: func(_, s net.Conn) error { return s.Close() }, wantErr: io.EOF, written: true},
		{name: "failed write", before: func(net.Conn, net.Conn) error { return errWrite }, wantErr: errWrite, written: true},
		{name: "deadline", before: func(c, _ net.Conn) error { return c.SetDeadline(pastDeadline) }, wantErr: os.ErrDeadlineExceeded, written: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := connPair(t)
			if tc.server != nil {
				tc.server(server)
				time.Sleep(20 * time.Millisecond) // What the server did arrives.
			}
			src, calls := newSource(&conn{Conn: client}), 0
			src.beforeWait = func() error { calls++; return tc.before(client, server) }
			buf := make([]byte, 100)
			n, err := src.Read(buf)
			if !errors.Is(err, tc.wantErr) {
				t.Errorf("error %v, want %v", err, tc.wantErr)
			}
			if diff := cmp.Diff(tc.want, string(buf[:n])); diff != "" && tc.wantErr == nil {
				t.Errorf("bytes (-want +got):\n%s", diff)
			}
			if got := calls == 1; got != tc.written {
				t.Errorf("%d calls of beforeWait, want one: %v", calls, tc.written)
			}
		})
	}
}

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (client, server net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}
