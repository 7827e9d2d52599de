package doglag

import (
	"context"
	"sync"
	"time"
)

const (
	// interval is the time between the ends of two measurements.
	interval = 100 * time.Millisecond
	// windows is the number of latest measurements whose maximum is the lag.
	windows = 2
)

// Monitor measures the lag of its process. It implements suture.Service. Its methods
// are safe for concurrent use.
type Monitor struct {
	measured  func(lag time.Duration) // Called with each measurement.
	scheduler *scheduler              // Used by Serve only.

	mu     sync.Mutex
	due    time.Time // When the measurement in progress should end; zero before the first.
	recent [windows]time.Duration
	next   int // Index in recent of the next measurement.
}

// New returns a monitor that calls measured, which must not block, after each
// measurement.
func New(measured func(lag time.Duration)) *Monitor {
	return &Monitor{measured: measured, scheduler: newScheduler()}
}

// Serve measures until ctx ends.
func (m *Monitor) Serve(ctx context.Context) error {
	t := time.NewTimer(interval)
	defer t.Stop()
	m.scheduler.longestWait() // Leaves out the start of the process.
	for {
		m.setDue(time.Now().Add(interval))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		m.measured(m.record(time.Now(), m.scheduler.longestWait()))
		t.Reset(interval)
	}
}

// String names the service in the supervisor's events.
func (m *Monitor) String() string { return "lag" }

func (m *Monitor) setDue(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// record ends a measurement, in which a goroutine waited at most wait for a processor,
// and returns it.
func (m *Monitor) record(now time.Time, wait time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	lag := max(now.Sub(m.due), wait)
	m.recent[m.next] = lag
	m.next = (m.next + 1) % windows
	return lag
}

// Lag returns the longest of the latest measurements, including the one in progress if
// it is overdue. Measurements cover the last fifth of a second, or the time since the
// last one if that is longer.
func (m *Monitor) Lag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	lag := time.Duration(0)
	if !m.due.IsZero() {
		lag = max(0, time.Since(m.due))
	}
	for _, l := range m.recent {
		lag = max(lag, l)
	}
	return lag
}
