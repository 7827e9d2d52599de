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

// serveFake serves a fake object service on a TCP socket. It returns a client of
// the service and a counter of the bytes that the server reads and writes.
func serveFake(b *testing.B) (*dogplatform.Client, *atomic.Int64) {
	f, wireBytes := newFake(), new(atomic.Int64)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		f.serve(rec, r)
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	srv.Listener = countingListener{srv.Listener, wireBytes}
	srv.Start()
	b.Cleanup(srv.Close)
	return dogplatform.New(dogplatform.Options{
		Address: srv.Listener.Addr().String(), Rand: rand.New(rand.NewPCG(1, 1)),
	}), wireBytes
}

// BenchmarkCallSize reports the bytes that a write and a read transfer on a
// keep-alive connection, as the sum of both directions without TCP/IP headers,
// by the size of the value. A key range takes about 300 bytes, a contract several
// thousand.
func BenchmarkCallSize(b *testing.B) {
	for _, size := range []int{300, 6000} {
		value := bytes.Repeat([]byte("x"), size)
		c, wireBytes := serveFake(b)
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
				begun, calls := wireBytes.Load(), 0
				for b.Loop() {
					if err := v.call(); err != nil {
						b.Fatal(err)
					}
					calls++
				}
				b.ReportMetric(float64(wireBytes.Load()-begun)/float64(calls), "wire-B/op")
			})
		}
	}
}
