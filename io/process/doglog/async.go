package doglog

import (
	"io"
	"sync"
	"sync/atomic"
)

// Async writes lines in the background, so that a slow reader of the log never
// holds up the process. Lines beyond its buffer are dropped and counted. It is
// safe for concurrent use.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsync returns a writer to w that keeps up to n lines. Close ends it.
func NewAsync(w io.Writer, n int) *Async {
	a := &Async{w: w, lines: make(chan []byte, n), done: make(chan struct{})}
	go a.run()
	return a
}

// Write keeps a copy of one line. It never blocks and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what is kept. Lines written afterwards may be dropped.
func (a *Async) Close() {
	a.once.Do(func() { a.lines <- nil })
	<-a.done
}

// run writes until Close. A failed write is counted as a dropped line, as
// there is nowhere else to report it.
func (a *Async) run() {
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
