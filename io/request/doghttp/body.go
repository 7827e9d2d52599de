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

// body is the body of a request, of which at most the first 64 KiB are kept.
type body struct {
	rc     *http.ResponseController
	src    io.Reader
	r      *http.Request
	length int64 // As declared; -1 if unknown.

	mu      sync.Mutex
	limit   int64 // Bytes that may still be read; negative without a bound.
	prefix  []byte
	streams bool // stream was called.
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

// stream lets the body be read while the answer is sent. Without it, HTTP/1.1
// ends the request body when the answer starts. It must come before the
// headers of the answer. It is not called for a request that is refused before
// its body is read, as net/http then panics on the next request of the
// connection. Other protocols do not need it and say that it is not supported.
func (b *body) stream() {
	if !b.streams && b.rc != nil {
		b.streams = true
		_ = b.rc.EnableFullDuplex()
	}
}

// mustClose reports whether an HTTP/1.1 connection can't be used again once
// the answer, whose headers follow, has been sent: the rest of the body is on
// the way, and net/http does not skip it.
func (b *body) mustClose() bool {
	b.mu.Lock()
	ended := b.ended
	b.mu.Unlock()
	if ended || b.r.ProtoMajor != 1 {
		return false
	}
	if b.length < 0 || b.length > dogdigest.BodyBytes {
		b.stream() // Else net/http would wait for the body before the answer.
	}
	return b.streams
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
		b.stream()
		size := int64(dogdigest.BodyBytes)
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
	if !b.whole {
		b.stream()
	}
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

// stop ends all reading, also reads in progress, as the request is over.
func (b *body) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if !b.ended && b.rc != nil {
		// A transport may still read; without a deadline, the server would
		// wait for that read when it closes the body. An error means that the
		// connection is gone, which ends the read too.
		_ = b.rc.SetReadDeadline(time.Now())
	}
}

// read reads from src under the bound.
func (b *body) read(p []byte) (int, error) {
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
