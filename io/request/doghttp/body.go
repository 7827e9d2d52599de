package doghttp

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford/core/request/dogdigest"
)

var (
	errTooLarge      = eris.New("body exceeds the size limit of its class")
	errStopped       = eris.New("request has ended")
	errNotReplayable = eris.New("body was sent before and is not buffered completely")
)

// lingerTimeout is how long the rest of a request body is read and discarded
// after the answer. If the connection were closed at once, its reset could
// overtake the answer, and a caller would count a refusal as not run as a lost
// answer.
const lingerTimeout = time.Second

// body is the body of a request. At most its first 64 KiB are buffered.
type body struct {
	rc     *http.ResponseController
	src    io.Reader
	r      *http.Request
	length int64 // As declared; -1 if unknown.

	readMu sync.Mutex // Held while src is read.

	mu       sync.Mutex
	limit    int64 // Bytes that may still be read; negative means no limit.
	prefix   []byte
	complete bool // prefix is the whole body.
	attached bool // attach was called.
	eof      bool // src was read to io.EOF.
	stopped  bool
	err      error // First error of src other than io.EOF.
	count    int64 // Bytes read from src.
}

func newBody(r *http.Request, rc *http.ResponseController) *body {
	b := &body{rc: rc, src: r.Body, r: r, length: r.ContentLength, limit: -1}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length, b.complete, b.eof = 0, true, true
	}
	return b
}

// setLimit limits the length to n bytes; negative n means no limit. It fails if
// the declared length is greater.
func (b *body) setLimit(n int64) error {
	if n >= 0 && b.length > n {
		return fmt.Errorf("body of %d bytes: %w", b.length, errTooLarge)
	}
	b.limit = n
	return nil
}

// readPrefix reads the first 64 KiB, or the whole body if it is shorter, and
// adds them to d unless it is nil.
func (b *body) readPrefix(d *dogdigest.Digest) error {
	if !b.complete {
		size := int64(dogdigest.HashedBodyBytes)
		if b.length >= 0 {
			size = min(size, b.length)
		}
		var buf bytes.Buffer
		n, err := io.Copy(&buf, io.LimitReader(readerFunc(b.read), size))
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
		b.prefix = buf.Bytes()
		b.complete = n < size || b.length == n
		b.eof = b.eof || b.complete
	}
	if b.complete && b.length < 0 {
		b.length = int64(len(b.prefix))
	}
	if d != nil {
		if _, err := d.Write(b.prefix); err != nil {
			return fmt.Errorf("add body to digest: %w", err)
		}
	}
	return nil
}

// attach makes b the body of out. It fails if the body was attached before and
// is not buffered completely.
func (b *body) attach(out *http.Request) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.complete && b.attached {
		return errNotReplayable
	}
	b.attached = true
	out.ContentLength = b.length
	if b.complete && b.length == 0 && len(b.r.Trailer) == 0 {
		out.Body = http.NoBody
		return nil
	}
	if len(b.r.Trailer) > 0 {
		out.ContentLength = -1
		out.Trailer = make(http.Header, len(b.r.Trailer))
		for k := range b.r.Trailer {
			out.Trailer[k] = nil
		}
	}
	out.Body = &bodyReader{b: b, prefix: bytes.NewReader(b.prefix), out: out}
	return nil
}

// replayable reports whether the body can be attached to a further attempt.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete || !b.attached
}

// atEOF reports whether the body was read to its end.
func (b *body) atEOF() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// readError returns the first error in reading from the caller, or nil.
func (b *body) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// bytesRead returns the number of bytes read from the caller.
func (b *body) bytesRead() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

const (
	// maxDrainBytes is the greatest length of an unread rest that is read
	// before an answer. Reading more costs more than a new connection.
	maxDrainBytes = 256 << 10
	// drainTimeout limits the time for reading the rest.
	drainTimeout = time.Second
)

// drain reads and discards a short rest of the body before the answer starts,
// and reports whether the connection can be reused. With full duplex, net/http
// does not do so itself, and panics if it finds the end of the body only after
// the handler has returned.
func (b *body) drain() bool {
	b.mu.Lock()
	done, declared := b.eof, b.length
	b.mu.Unlock()
	if done || b.rc == nil {
		return true
	}
	if declared > maxDrainBytes || b.r.Header.Get("Expect") != "" {
		return false
	}
	if err := b.rc.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return false
	}
	b.readMu.Lock()
	defer b.readMu.Unlock()
	n, err := io.CopyN(io.Discard, b.src, maxDrainBytes)
	if err != io.EOF || n >= maxDrainBytes {
		return false
	}
	b.mu.Lock()
	b.eof = true
	b.mu.Unlock()
	return b.rc.SetReadDeadline(time.Time{}) == nil
}

// stop ends all reading at the end of the request. It waits for a read in
// progress, because a transport may still read the body after it has received
// the answer. Unless abort is set, it allows lingerTimeout for that read.
func (b *body) stop(abort bool) {
	b.mu.Lock()
	b.stopped = true
	eof := b.eof
	b.mu.Unlock()
	if eof {
		return
	}
	deadline := time.Now()
	if !abort {
		deadline = deadline.Add(lingerTimeout)
		// The answer is flushed so that the sender receives it during the wait.
		// An error means that the connection is closed, which ends the read
		// too.
		_ = b.rc.Flush()
	}
	_ = b.rc.SetReadDeadline(deadline)
	b.readMu.Lock()
	defer b.readMu.Unlock()
}

// read reads from src within the limit.
func (b *body) read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.mu.Lock()
	stopped, limit := b.stopped, b.limit
	b.mu.Unlock()
	if stopped {
		return 0, errStopped
	}
	if limit >= 0 && int64(len(p)) > limit+1 {
		p = p[:limit+1] // One byte beyond the limit reveals a longer body.
	}
	n, err := b.src.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count += int64(n)
	if limit >= 0 {
		b.limit -= int64(n)
		if b.limit < 0 {
			b.limit, n, err = 0, 0, errTooLarge
		}
	}
	switch {
	case err == io.EOF:
		b.eof = true
		for k, v := range b.r.Trailer {
			if len(v) == 0 {
				err = fmt.Errorf("trailer %s: %w", k, errTrailer)
				b.err = err
			}
		}
	case err != nil && b.err == nil:
		b.err = err
	}
	return n, err
}

// bodyReader reads prefix and then, unless the body is complete, the rest from
// src.
type bodyReader struct {
	b      *body
	prefix *bytes.Reader
	out    *http.Request
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.prefix.Len() > 0 {
		return r.prefix.Read(p)
	}
	n, err := 0, io.EOF
	if !r.b.complete {
		n, err = r.b.read(p)
	}
	if err == io.EOF {
		for k := range r.out.Trailer {
			r.out.Trailer[k] = r.b.r.Trailer[k]
		}
	}
	return n, err
}

// Close does nothing: the server closes the body.
func (r *bodyReader) Close() error { return nil }

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
