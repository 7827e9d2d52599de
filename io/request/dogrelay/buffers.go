package dogrelay

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxBufferedBytes bounds the part of a body that is buffered in memory.
	// Shorter bodies are buffered whole, so that they can be sent again; the
	// rest of longer ones is streamed.
	maxBufferedBytes = 1 << 20
	// freeBufferBytes is the part of each body that is buffered in any case. Most
	// bodies are shorter. The memory that is set aside for each request includes it.
	freeBufferBytes = 16 << 10
)

// buffers bounds the memory that buffered parts of bodies take at a node. It is safe for
// concurrent use.
type buffers struct {
	limit int64 // In bytes, in addition to freeBufferBytes for each body; 0 means no bound.
	used  atomic.Int64
}

// reserve reports whether n further bytes may be buffered, and counts them if so.
func (b *buffers) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit || b.limit == 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

// read buffers src as far as the bounds permit. length is the declared length in bytes,
// -1 if unknown. The caller must call free on the body when it is no longer needed.
func (b *buffers) read(src io.Reader, length int64) (*body, error) {
	if src == nil || src == http.NoBody || length == 0 {
		return &body{}, nil
	}
	out := &body{length: length, buffers: b}
	var data []byte
	n := 0
	for {
		if n == len(data) {
			size := bufferSize(n, length)
			if size == n || !out.reserve(size-max(n, freeBufferBytes)) {
				break
			}
			data = append(make([]byte, 0, size), data...)[:size]
		}
		m, err := src.Read(data[n:])
		n += m
		if err == io.EOF {
			out.buffered, out.length = data[:n], int64(n)
			return out, nil
		}
		if err != nil {
			out.free()
			return nil, fmt.Errorf("read body after %d bytes: %w", n, err)
		}
	}
	out.buffered = data[:n]
	if int64(n) != length {
		out.rest = src
	}
	return out, nil
}

// bufferSize returns the size of the buffer that follows a full one of n bytes, or n if
// no more is to be buffered. A buffer is longer than a body that fits, so that the end is
// seen.
func bufferSize(n int, length int64) int {
	size := max(2*n, minBufferBytes)
	if length >= 0 && length < maxBufferedBytes {
		size = int(length) + 1
		if n < freeBufferBytes {
			size = min(size, freeBufferBytes)
		}
	}
	return max(n, min(size, maxBufferedBytes))
}

// minBufferBytes is the size of the first buffer of a body of unknown length.
const minBufferBytes = 512

// reserve reports whether n further bytes of b may be buffered.
func (b *body) reserve(n int) bool {
	if n <= 0 {
		return true
	}
	if !b.buffers.reserve(int64(n)) {
		return false
	}
	b.reserved += int64(n)
	return true
}

// free gives back the memory that b has reserved. Further calls have no effect.
func (b *body) free() {
	if b == nil || b.reserved == 0 {
		return
	}
	b.buffers.used.Add(-b.reserved)
	b.reserved = 0
}
