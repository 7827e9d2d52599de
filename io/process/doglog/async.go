package doglog

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter is a writer that buffers lines and writes them in the background,
// so that a slow reader of the log never blocks the process. Lines that do not
// fit into the buffer are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer to w with a buffer of n lines. It starts a
// goroutine, which Close ends.
func NewAsyncWriter(w io.Writer, n int) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, n), done: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers a copy of one line, or drops the line if the buffer is full. It
// never blocks and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped or not written because of an error
// so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and returns when that is done. Lines passed to
// Write afterwards are lost and may not be counted.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { a.lines <- nil })
	<-a.done
}

// run writes lines until Close. A failed write is counted as a dropped line, as
// there is nowhere else to report it.
func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		if line == nil {
			return
		}
		if _, err := a.w.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
}
