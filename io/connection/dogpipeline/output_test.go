package dogpipeline

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOutput guards against bytes of a response that are lost, repeated or reordered where
// they do not fit the buffer.
func TestOutput(t *testing.T) {
	server, client := tcpPair(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	o := newOutput(server, new(atomic.Int64))
	var want []byte
	go func() {
		defer server.Close()
		for range 200 {
			p := make([]byte, rnd.IntN(3*bufferBytes))
			if rnd.IntN(2) == 0 {
				p = p[:len(p)%64]
			}
			for i := range p {
				p[i] = byte(rnd.Uint32())
			}
			want = append(want, p...)
			if _, err := o.Write(p); err != nil {
				t.Errorf("write: %v", err)
			}
			clear(p) // The output must not need it any more.
		}
		if err := o.Flush(); err != nil {
			t.Errorf("flush: %v", err)
		}
	}()
	got, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got) {
		t.Errorf("%d bytes read that differ from the %d written", len(got), len(want))
	}
}

// TestOutputError guards against a response that goes on after a part that could not be
// written.
func TestOutputError(t *testing.T) {
	server, _ := tcpPair(t)
	o := newOutput(server, new(atomic.Int64))
	server.Close()
	if _, err := o.Write(make([]byte, 2*bufferBytes)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v of a write, want %v", err, net.ErrClosed)
	}
	if _, err := o.WriteString("x"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v of a later write, want %v", err, net.ErrClosed)
	}
}

// TestOutputBuffers guards against short pieces that are written one by one.
func TestOutputBuffers(t *testing.T) {
	w := &countingConn{}
	o := newOutput(w, new(atomic.Int64))
	for range 4 {
		if _, err := o.WriteString("piece"); err != nil {
			t.Fatal(err)
		}
	}
	if err := o.Flush(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"piecepiecepiecepiece"}, w.writes); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
}

// countingConn records the writes to a connection.
type countingConn struct {
	net.Conn
	writes []string
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (server, client net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); client.Close() })
	return server, client
}
