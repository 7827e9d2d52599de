package dogrelay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodford/io/connection/dogpipeline"
)

// benchCaller sends requests over one connection, with one write and as few reads as
// possible, so that it adds little to what is measured.
type benchCaller struct {
	conn    net.Conn
	request []byte
	buf     []byte
}

// call sends the request once and reads the answer, whose body has answerBytes bytes.
func (c *benchCaller) call(b *testing.B, answerBytes int) {
	if _, err := c.conn.Write(c.request); err != nil {
		b.Fatal(err)
	}
	n := 0
	for {
		m, err := c.conn.Read(c.buf[n:])
		if err != nil {
			b.Fatal(err)
		}
		n += m
		if end := bytes.Index(c.buf[:n], []byte("\r\n\r\n")); end >= 0 && n >= end+4+answerBytes {
			break
		}
	}
	if !bytes.HasPrefix(c.buf, []byte("HTTP/1.1 200 ")) {
		b.Fatalf("answer %q", c.buf[:n])
	}
}

// benchTarget answers each request with a body of answerBytes bytes, in one write.
func benchTarget(b *testing.B, answerBytes int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveBench(c, answerBytes)
		}
	}()
	return ln.Addr().String()
}

func serveBench(c net.Conn, answerBytes int) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 64<<10)
	body := bytes.Repeat([]byte("b"), answerBytes)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
			testHeaders.Attempt, r.Header.Get(testHeaders.Attempt), testHeaders.Seal, answerBytes)
		if _, err := c.Write(append(head, body...)); err != nil {
			return
		}
	}
}

// servePipelined serves h as the product does and returns the address.
func servePipelined(b *testing.B, h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &dogpipeline.Server{Handler: h, IdleTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	b.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// processorTime returns the processor time of the process, of which other load on the
// machine changes less than the time that passes.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPipelinedHop measures one request through entry and guard on two nodes with the
// listeners of the product, for several sizes of request and answer in bytes. Caller and
// target run in the same process and do as little as possible.
func BenchmarkPipelinedHop(b *testing.B) {
	for _, size := range []struct{ request, answer int }{{0, 0}, {1 << 10, 1 << 10}, {0, 8 << 10}, {8 << 10, 0}} {
		b.Run(fmt.Sprintf("request=%d/answer=%d", size.request, size.answer), func(b *testing.B) {
			entry := newTestNode(b, "entry", "billing", "refuse", time.Second)
			guard := newTestNode(b, "guard", "rounds", "ok", time.Second)
			guard.relay.cfg.TargetAddress = benchTarget(b, size.answer)
			entry.addGuards(guard)
			entry.targets[0].Peer = servePipelined(b, guard.relay.Guard())
			conn, err := net.Dial("tcp", servePipelined(b, entry.relay.Entry()))
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { conn.Close() })
			c := &benchCaller{conn: conn, buf: make([]byte, 64<<10)}
			c.request = append([]byte("POST /idempotent/x HTTP/1.1\r\nHost: h\r\nContent-Type: text/plain\r\nUser-Agent: bench\r\n"+
				"Accept-Encoding: gzip\r\n"+testHeaders.Attempt+": a1\r\nContent-Length: "+strconv.Itoa(size.request)+"\r\n\r\n"),
				bytes.Repeat([]byte("q"), size.request)...)
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				c.call(b, size.answer)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}
