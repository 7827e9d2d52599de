package dogpipeline

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
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
}

var outputs = sync.Pool{New: func() any { return &output{buf: make([]byte, 0, bufferBytes)} }}

func newOutput(c net.Conn) *output {
	o, _ := outputs.Get().(*output)
	o.conn = c
	return o
}

// free gives the buffer of o back. The caller must not use o afterwards.
func (o *output) free() {
	o.conn, o.buf, o.err = nil, o.buf[:0], nil
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
	if len(p) == 0 {
		if len(o.buf) == 0 {
			return nil
		}
		_, o.err = o.conn.Write(o.buf)
	} else {
		o.pieces = [2][]byte{o.buf, p}
		o.vector = o.pieces[:]
		if len(o.buf) == 0 {
			o.vector = o.pieces[1:]
		}
		_, o.err = o.vector.WriteTo(o.conn)
		o.pieces = [2][]byte{} // Keeps no reference to p.
	}
	o.buf = o.buf[:0]
	if o.err != nil {
		o.err = fmt.Errorf("write to client: %w", o.err)
	}
	return o.err
}
