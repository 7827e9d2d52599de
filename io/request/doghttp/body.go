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
	errTooLarge = eris.New("body exceeds the bound of its class")
	errStopped  = eris.New("request has ended")
	errTaken    = eris.New("body was sent before and is not kept")
)

// drainTime is how long a sender that is still busy with the body is read from
// after the answer. If the connection were closed at once, its reset could
// overtake the answer, and a refusal as not run would count as lost.
const drainTime = time.Second

// body is the body of a request, of which at most the first 64 KiB are kept.
type body struct {
	rc     *http.ResponseController
	src    io.Reader
	r      *http.Request
	length int64 // As declared; -1 if unknown.

	reading sync.Mutex // Held while src is read.

	mu      sync.Mutex
	limit   int64 // Bytes that may still be read; negative without a bound.
	prefix  []byte
	whole   bool // prefix is the whole body.
	taken   bool // The part behind prefix was handed out.
	ended   bool // src gave io.EOF.
	stopped bool
	err     error // First failure of src other than io.EOF.
	count   int64 // Bytes read from src.
}

func newBody(r *http.Request, rc *http.ResponseController) *body {
	b := &body{rc: rc, src: r.Body, r: r, length: r.ContentLength, limit: -1}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length, b.whole, b.ended = 0, true, true
	}
	return b
}

// bound limits the length to n bytes; negative n means no bound.
func (b *body) bound(n int64) error {
	if n >= 0 && b.length > n {
		return fmt.Errorf("body of %d bytes: %w", b.length, errTooLarge)
	}
	b.limit = n
	return nil
}

// fill reads the first 64 KiB, or the whole body if it is shorter, and adds
// them to d if it is not nil.
func (b *body) fill(d *dogdigest.Digest) error {
	if !b.whole {
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
		b.whole = n < size || b.length == n
		b.ended = b.ended || b.whole
	}
	if b.whole && b.length < 0 {
		b.length = int64(len(b.prefix))
	}
	if d != nil {
		if _, err := d.Write(b.prefix); err != nil {
			return fmt.Errorf("digest: %w", err)
		}
	}
	return nil
}

// attach makes b the body of out. It fails if the body cannot be sent again.
func (b *body) attach(out *http.Request) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.whole && b.taken {
		return errTaken
	}
	b.taken = true
	out.ContentLength = b.length
	if b.whole && b.length == 0 && len(b.r.Trailer) == 0 {
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

// replayable reports whether a further attempt can be made.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole || !b.taken
}

// hasEnded reports whether the sender has sent all of the body.
func (b *body) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// failure returns why reading from the caller failed, if it did.
func (b *body) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// received returns how many bytes were read from the caller.
func (b *body) received() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

const (
	// settleBytes is the length up to which an unread rest is read before an
	// answer. Reading more costs more than a new connection.
	settleBytes = 256 << 10
	// settleTime bounds the wait for it.
	settleTime = time.Second
)

// settle reads a short rest of the body before the answer starts, and reports
// whether the connection can be used again. With full duplex, net/http does
// not do so by itself, and panics when it finds the end of the body only after
// the handler.
func (b *body) settle() bool {
	b.mu.Lock()
	done, known := b.ended, b.length
	b.mu.Unlock()
	if done || b.rc == nil {
		return true
	}
	if known > settleBytes || b.r.Header.Get("Expect") != "" {
		return false
	}
	if err := b.rc.SetReadDeadline(time.Now().Add(settleTime)); err != nil {
		return false
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	n, err := io.CopyN(io.Discard, b.src, settleBytes)
	if err != io.EOF || n >= settleBytes {
		return false
	}
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	return b.rc.SetReadDeadline(time.Time{}) == nil
}

// stop ends all reading, as the request is over, and waits for a read in
// progress, as a transport may still read the body after it has the answer.
func (b *body) stop(abort bool) {
	b.mu.Lock()
	b.stopped = true
	ended := b.ended
	b.mu.Unlock()
	if ended {
		return
	}
	deadline := time.Now()
	if !abort {
		deadline = deadline.Add(drainTime)
		// The sender should have the answer while it is waited for. Errors mean
		// that the connection is gone, which ends the read too.
		_ = b.rc.Flush()
	}
	_ = b.rc.SetReadDeadline(deadline)
	b.reading.Lock()
	defer b.reading.Unlock()
}

// read reads from src under the bound.
func (b *body) read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	stopped, limit := b.stopped, b.limit
	b.mu.Unlock()
	if stopped {
		return 0, errStopped
	}
	if limit >= 0 && int64(len(p)) > limit+1 {
		p = p[:limit+1] // One more byte shows that there is too much.
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
		b.ended = true
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

// bodyReader reads prefix and then, unless it is the whole, the rest.
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
	if !r.b.whole {
		n, err = r.b.read(p)
	}
	if err == io.EOF {
		for k := range r.out.Trailer {
			r.out.Trailer[k] = r.b.r.Trailer[k]
		}
	}
	return n, err
}

// Close leaves the body of the server open; the server closes it.
func (r *bodyReader) Close() error { return nil }

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
