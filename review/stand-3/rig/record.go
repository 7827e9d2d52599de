package rig

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run. It is safe for concurrent
// use.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// NewRecord returns a record that is written to the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, start: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
