package dogrelay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// body is the body of a request or a response. It is buffered in memory as far as
// buffers permits; the rest can be read once.
type body struct {
	buffered     []byte
	rest         io.Reader // Bytes after buffered; nil if buffered is the whole body.
	length       int64     // In bytes; -1 if unknown. See declaredLength if there is no body.
	restAttached bool      // attach has passed rest to a request.
	buffers      *buffers  // Bounds the buffered part; nil if reserved is 0.
	reserved     int64     // Bytes reserved in buffers.
}

// replayable reports whether the body can still be sent whole.
func (b *body) replayable() bool { return b.rest == nil || !b.restAttached }

// attach sets b as the body of out.
func (b *body) attach(out *http.Request) {
	out.ContentLength = b.length
	if b.rest == nil {
		if len(b.buffered) == 0 {
			out.Body = http.NoBody
			return
		}
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
		return
	}
	b.restAttached = true
	out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.rest))
}

// writeTo writes the body to w. It does not write if there is none, which a writer may
// reject even for no bytes.
func (b *body) writeTo(w io.Writer) error {
	if len(b.buffered) > 0 {
		if _, err := w.Write(b.buffered); err != nil {
			return fmt.Errorf("write body: %w", err)
		}
	}
	if b.rest == nil {
		return nil
	}
	if _, err := io.Copy(w, b.rest); err != nil {
		return fmt.Errorf("forward body: %w", err)
	}
	return nil
}

// readAnswer buffers the body of resp as far as the bounds permit. The caller must call
// free on the body when it is no longer needed.
func (b *buffers) readAnswer(resp *http.Response) (*body, error) {
	out, err := b.read(resp.Body, resp.ContentLength)
	if err != nil {
		return nil, err
	}
	if resp.Body == http.NoBody {
		out.length = declaredLength(resp)
	}
	return out, nil
}

// declaredLength returns the Content-Length in bytes of a response without a body, -1 if it
// has none. In one to HEAD and in 304 it is the length that the body of a whole answer would
// have.
func declaredLength(resp *http.Response) int64 {
	if resp.StatusCode != http.StatusNotModified {
		return resp.ContentLength
	}
	n, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
