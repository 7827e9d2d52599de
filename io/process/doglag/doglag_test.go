package doglag

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodford/internal/dogscript"
)

// TestMonitor guards against a process that does not notice that it is late, or that
// still counts as late long after it has caught up. Each line of testdata/lags.txtar has
// how late each measurement ends, or how long a goroutine waited meanwhile (with "wait="),
// and the lag after each.
func TestMonitor(t *testing.T) {
	dogscript.RunLines(t, "testdata/lags.txtar", func() func(*testing.T, []string) string { return measure })
}

// measure returns the lag after each measurement.
func measure(t *testing.T, lates []string) string {
	var got []string
	synctest.Test(t, func(*testing.T) {
		m := New(func(time.Duration) {})
		for _, late := range lates {
			text, waited := strings.CutPrefix(late, "wait=")
			d, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			m.setDue(time.Now())
			if waited {
				m.record(time.Now(), d)
			} else {
				m.record(time.Now().Add(d), 0)
			}
			m.setDue(time.Now().Add(interval))
			got = append(got, m.Lag().String())
		}
	})
	return strings.Join(got, " ")
}

// TestOverdueMeasurement guards against a lag that is seen only when it is over.
func TestOverdueMeasurement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(func(time.Duration) {})
		if got := m.Lag(); got != 0 {
			t.Errorf("lag %v before the first measurement, want 0", got)
		}
		m.setDue(time.Now())
		time.Sleep(700 * time.Millisecond)
		if got := m.Lag(); got != 700*time.Millisecond {
			t.Errorf("lag %v, want 700ms", got)
		}
	})
}

// TestSchedulerWait guards against a monitor that does not see goroutines that wait for a
// processor while timers are on time.
func TestSchedulerWait(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newScheduler()
	s.longestWait()
	var waiting sync.WaitGroup
	for range 100 {
		waiting.Go(func() {
			for start := time.Now(); time.Since(start) < 2*time.Millisecond; {
			}
		})
	}
	waiting.Wait()
	if got := s.longestWait(); got < 50*time.Millisecond {
		t.Errorf("longest wait %v, want over 50ms", got)
	}
	if got := s.longestWait(); got > 50*time.Millisecond {
		t.Errorf("longest wait %v once they have run", got)
	}
}

// TestServe guards against a monitor that does not measure again.
func TestServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		m := New(func(time.Duration) { n++ })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+time.Millisecond)
		defer cancel()
		if err := m.Serve(ctx); err != context.DeadlineExceeded {
			t.Errorf("error %v", err)
		}
		if n != int(time.Second/interval) {
			t.Errorf("%d measurements in a second", n)
		}
	})
}
