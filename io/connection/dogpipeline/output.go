package dogpipeline

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// output is the writing side of a connection. Bytes that do not fit its buffer are written
// together with those that it holds, in one system call where the connection permits. It
// keeps the first error of a write.
type output struct {
	conn   net.Conn
	buf    []byte      // Bytes that are not written yet; its capacity is bufferBytes.
	pieces [2][]byte   // Backing array of vector.
	vector net.Buffers // What is being written.
	err    error
	// writing is the start of the write in progress in Unix nanoseconds, 0 if there is
	// none.
	writing *atomic.Int64
}

// maxWriteBytes bounds the bytes of one write besides those of the buffer, so that a client
// that reads slowly is seen to read.
const maxWriteBytes = 64 << 10

var outputs = sync.Pool{New: func() any { return &output{buf: make([]byte, 0, bufferBytes)} }}

func newOutput(c net.Conn, writing *atomic.Int64) *output {
	o, _ := outputs.Get().(*output)
	o.conn, o.writing = c, writing
	return o
}

// free gives the buffer of o back. The caller must not use o afterwards.
func (o *output) free() {
	o.conn, o.writing, o.buf, o.err = nil, nil, o.buf[:0], nil
	outputs.Put(o)
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	if o.err != nil {
		return 0, o.err
	}
	if len(o.buf)+len(p) <= cap(o.buf) {
		o.buf = append(o.buf, p...)
		return len(p), nil
	}
	if err := o.flushWith(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// WriteString implements io.StringWriter.
func (o *output) WriteString(s string) (int, error) {
	if o.err == nil && len(o.buf)+len(s) <= cap(o.buf) {
		o.buf = append(o.buf, s...)
		return len(s), nil
	}
	return o.Write([]byte(s))
}

// maxStatusLine exceeds the length of each status line in bytes.
const maxStatusLine = 64

// writeStatus writes the status line of a response.
func (o *output) writeStatus(status int) error {
	if o.err == nil && cap(o.buf)-len(o.buf) < maxStatusLine {
		o.err = o.Flush()
	}
	if o.err != nil {
		return o.err
	}
	b := append(o.buf, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	o.buf = append(b, "\r\n"...)
	return nil
}

// Flush writes what the buffer holds.
func (o *output) Flush() error { return o.flushWith(nil) }

// flushWith writes what the buffer holds, and then p.
func (o *output) flushWith(p []byte) error {
	if o.err != nil {
		return o.err
	}
	first := p[:min(len(p), maxWriteBytes)]
	o.err = o.writeBoth(o.buf, first)
	o.buf = o.buf[:0]
	for p = p[len(first):]; o.err == nil && len(p) > 0; {
		next := p[:min(len(p), maxWriteBytes)]
		o.err = o.writeBoth(nil, next)
		p = p[len(next):]
	}
	o.writing.Store(0)
	if o.err != nil {
		o.err = fmt.Errorf("write to client: %w", o.err)
	}
	return o.err
}

// writeBoth writes a and then b, each of which may be empty, in one system call where the
// connection permits.
func (o *output) writeBoth(a, b []byte) error {
	if len(a) == 0 {
		a, b = b, nil
	}
	if len(a) == 0 {
		return nil
	}
	o.writing.Store(time.Now().UnixNano())
	if len(b) == 0 {
		_, err := o.conn.Write(a)
		return err
	}
	o.pieces = [2][]byte{a, b}
	o.vector = o.pieces[:]
	_, err := o.vector.WriteTo(o.conn)
	o.pieces = [2][]byte{} // Keeps no reference to b.
	return err
}
