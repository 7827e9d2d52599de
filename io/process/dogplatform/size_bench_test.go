package dogplatform_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"dogwoodford/io/process/dogplatform"
)

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

// serveFake serves a fake object service on a socket and counts the bytes.
func serveFake(b *testing.B) (*dogplatform.Client, *atomic.Int64) {
	f, wire := newFake(), new(atomic.Int64)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		f.serve(rec, r)
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	srv.Listener = countingListener{srv.Listener, wire}
	srv.Start()
	b.Cleanup(srv.Close)
	return dogplatform.New(dogplatform.Options{
		Address: srv.Listener.Addr().String(), Rand: rand.New(rand.NewPCG(1, 1)),
	}), wire
}

// BenchmarkCallSize reports the bytes on a kept connection of a write and of a
// read, in both directions together and without the headers of TCP/IP, by the
// size of the value. A key range is about 300 bytes, a contract some thousand.
func BenchmarkCallSize(b *testing.B) {
	for _, size := range []int{300, 6000} {
		value := bytes.Repeat([]byte("x"), size)
		c, wire := serveFake(b)
		version, err := c.Put(b.Context(), "range/rounds/1", 0, value)
		if err != nil {
			b.Fatal(err)
		}
		for _, v := range []struct {
			kind string
			call func() error
		}{
			{"Put", func() (err error) {
				version, err = c.Put(b.Context(), "range/rounds/1", version, value)
				return err
			}},
			{"Get", func() error { _, err := c.Get(b.Context(), "range/rounds/1"); return err }},
		} {
			b.Run(fmt.Sprintf("%s/value=%d", v.kind, size), func(b *testing.B) {
				b.ReportAllocs()
				begun, calls := wire.Load(), 0
				for b.Loop() {
					if err := v.call(); err != nil {
						b.Fatal(err)
					}
					calls++
				}
				b.ReportMetric(float64(wire.Load()-begun)/float64(calls), "wire-B/op")
			})
		}
	}
}
