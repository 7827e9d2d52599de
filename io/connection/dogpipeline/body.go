package dogpipeline

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// requestBody is the body of a request. The goroutine of the handler may leave another
// one behind that still reads it.
type requestBody struct {
	resp    *response
	src     io.Reader
	ended   chan struct{} // Closed when the body has been read to its end or has failed.
	checked chan struct{} // Closed when the server has looked for the departure of the client after that.
	once    sync.Once     // Closes checked.
	expects atomic.Bool   // The client waits for 100 Continue before it sends the body.
	whole   atomic.Bool   // The body was read to its end.
	failed  atomic.Bool

	mu     sync.Mutex
	closed bool // The handler has returned.
	err    error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.read(p)
}

// read reads the body. The caller must hold b.mu.
func (b *requestBody) read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if err := b.sendContinue(); err != nil {
		b.fail(err)
		return 0, err
	}
	c := b.resp.c
	now := time.Now().UnixNano()
	c.bodyStarted.CompareAndSwap(0, now)
	c.readingBody.Store(now)
	n, err := b.src.Read(p)
	c.readingBody.Store(0)
	if err != nil {
		c.bodyStarted.Store(0)
		b.fail(err)
		b.awaitCheck()
	}
	if b.resp.c.ctx.Err() != nil {
		return 0, errLeft
	}
	return n, err
}

// errLeft means that the client has left. A handler must not take a body that arrived
// before for one that somebody waits for.
var errLeft = errors.New("the client has left")

// awaitCheck waits until the server has looked for the departure of the client.
func (b *requestBody) awaitCheck() {
	select {
	case <-b.checked:
	case <-b.resp.c.ctx.Done():
	}
}

// markChecked ends awaitCheck if the body has been read to its end.
func (b *requestBody) markChecked() {
	if b.isEnded() {
		b.once.Do(func() { close(b.checked) })
	}
}

// isEnded reports whether the body has been read to its end or has failed.
func (b *requestBody) isEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// sendContinue tells a client that waits for it to send the body.
func (b *requestBody) sendContinue() error {
	if !b.expects.Swap(false) {
		return nil
	}
	out := b.resp.c.out // The request runs alone, so that it is its turn.
	if _, err := io.WriteString(out, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return fmt.Errorf("ask for the body: %w", err)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("ask for the body: %w", err)
	}
	return nil
}

// fail records the end of the body, which is io.EOF if it is complete. The caller must
// hold b.mu.
func (b *requestBody) fail(err error) {
	b.err = err
	b.whole.Store(err == io.EOF)
	b.failed.Store(err != io.EOF)
	close(b.ended)
	// A deadline is the server's own, which ends a read behind the last response; the client
	// has not left.
	if err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.resp.c.cancel()
	}
}

// Close implements io.Closer. What is unread is discarded after the response.
func (b *requestBody) Close() error { return nil }

// discardable reports whether the connection can carry another request after this one:
// the body was read to its end, or its rest is short.
func (b *requestBody) discardable() bool {
	n := b.resp.req.ContentLength
	return b.whole.Load() || !b.failed.Load() && !b.expects.Load() && n >= 0 && n <= maxDiscardBytes
}

// stop waits for a read in progress, which fails as the connection is closed, and makes
// all further ones fail.
func (b *requestBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// discard reads and drops the rest of the body, which the handler no longer reads.
func (b *requestBody) discard() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.err == nil {
		buf := make([]byte, bufferBytes)
		for b.err == nil {
			_, _ = b.read(buf) // Records its error in b.err.
		}
	}
	if b.err != io.EOF {
		return fmt.Errorf("discard body: %w", b.err)
	}
	return nil
}
