package dogrelay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// body is the body of a request or an answer. Up to maxBuffered bytes are kept
// in memory; of longer ones the rest can be read once.
type body struct {
	kept   []byte
	rest   io.Reader // What follows kept; nil if kept is the whole body.
	length int64     // -1 if unknown.
	taken  bool      // The rest was handed out.
}

// readBody reads src up to maxBuffered bytes. length is the declared length,
// -1 if unknown.
func readBody(src io.Reader, length int64) (*body, error) {
	if src == nil || src == http.NoBody || length == 0 {
		return &body{}, nil
	}
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(min(length, maxBuffered)) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(src, maxBuffered))
	if err != nil {
		return nil, fmt.Errorf("read body after %d bytes: %w", n, err)
	}
	b := &body{kept: buf.Bytes(), length: length}
	if n < maxBuffered || n == length {
		b.length = n
		return b, nil
	}
	b.rest = src
	return b, nil
}

// streamed returns a body that is passed on as it comes.
func streamed(src io.Reader, length int64) *body {
	if src == nil || src == http.NoBody || length == 0 {
		return &body{}
	}
	return &body{rest: src, length: length}
}

// replayable reports whether the body can be sent once more.
func (b *body) replayable() bool { return b.rest == nil || !b.taken }

// attach makes b the body of out.
func (b *body) attach(out *http.Request) {
	out.ContentLength = b.length
	if b.rest == nil {
		if len(b.kept) == 0 {
			out.Body = http.NoBody
			return
		}
		out.Body = io.NopCloser(bytes.NewReader(b.kept))
		return
	}
	b.taken = true
	out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.kept), b.rest))
}

// writeTo writes the body to w.
func (b *body) writeTo(w io.Writer) error {
	if _, err := w.Write(b.kept); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	if b.rest == nil {
		return nil
	}
	if _, err := io.Copy(w, b.rest); err != nil {
		return fmt.Errorf("pass body on: %w", err)
	}
	return nil
}
