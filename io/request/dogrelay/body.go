package dogrelay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// body is the body of a request or a response. Up to maxBufferedBytes are
// buffered in memory; the rest of longer ones can be read once.
type body struct {
	buffered     []byte
	rest         io.Reader // Bytes after buffered; nil if buffered is the whole body.
	length       int64     // In bytes; -1 if unknown.
	restAttached bool      // attach has passed rest to a request.
}

// readBody buffers up to maxBufferedBytes of src. length is the declared length
// in bytes, -1 if unknown.
func readBody(src io.Reader, length int64) (*body, error) {
	if src == nil || src == http.NoBody || length == 0 {
		return &body{}, nil
	}
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(min(length, maxBufferedBytes)) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(src, maxBufferedBytes))
	if err != nil {
		return nil, fmt.Errorf("read body after %d bytes: %w", n, err)
	}
	b := &body{buffered: buf.Bytes(), length: length}
	if n < maxBufferedBytes || n == length {
		b.length = n
		return b, nil
	}
	b.rest = src
	return b, nil
}

// streamBody returns a body of which nothing is buffered.
func streamBody(src io.Reader, length int64) *body {
	if src == nil || src == http.NoBody || length == 0 {
		return &body{}
	}
	return &body{rest: src, length: length}
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

// writeTo writes the body to w.
func (b *body) writeTo(w io.Writer) error {
	if _, err := w.Write(b.buffered); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	if b.rest == nil {
		return nil
	}
	if _, err := io.Copy(w, b.rest); err != nil {
		return fmt.Errorf("forward body: %w", err)
	}
	return nil
}
