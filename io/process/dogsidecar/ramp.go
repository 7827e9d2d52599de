package dogsidecar

import (
	"log/slog"
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/doggate"
)

// recentStart is the age up to which a target counts as recently started.
const recentStart = 5 * time.Second

// rampMonitor starts the ramps of the local target's limit, and logs their start and
// end. Nil starts none. It is safe for concurrent use.
type rampMonitor struct {
	gate    *doggate.Gate
	log     *logger
	metrics *dogmetric.Set

	mu        sync.Mutex
	startedAt time.Time // Start of the ramp whose end has not been logged; zero if there is none.
}

// start begins a ramp.
func (m *rampMonitor) start(target string, s dogwoodford.Start) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.Restart(s)
	if !m.gate.Ramping() {
		return
	}
	m.startedAt = time.Now()
	m.metrics.Add(dogmetric.TargetRamps, 1)
	m.log.event(doglog.RampStarted, slog.String("target", target), slog.Int("limit", m.gate.Load().Limit),
		slog.Bool("fresh", s.Fresh), slog.Bool("cold", s.Cold), slog.Bool("alone", s.Alone))
}

// check logs the end of a ramp, some time after it.
func (m *rampMonitor) check() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startedAt.IsZero() || m.gate.Ramping() {
		return
	}
	m.log.event(doglog.RampEnded, slog.Int("limit", m.gate.Load().Limit),
		slog.Int64("took_ms", time.Since(m.startedAt).Milliseconds()))
	m.startedAt = time.Time{}
}

// startOf returns the start that an accepted heartbeat h shows; false if the target has
// been running. before is the last heartbeat, known tells whether one counted, and
// wasReady whether the target was ready then. The caller must hold s.mu.
func (s *state) startOf(before, h dogtarget.Heartbeat, known, wasReady bool) (dogwoodford.Start, bool) {
	now := time.Now()
	if s.target.State(now) != dogwoodford.StateReady {
		return dogwoodford.Start{}, false
	}
	st := dogwoodford.Start{Cold: h.Cold > 0, Alone: s.aloneInService(now)}
	switch {
	case !known:
		// The node itself may have been restarted beside a target that was not.
		st.Fresh = h.Cold > 0 || now.UnixMilli()-h.Born < recentStart.Milliseconds()
		return st, st.Fresh
	case before.ID != h.ID || before.Born != h.Born:
		st.Fresh = true
		return st, true
	}
	return st, !wasReady && !before.Draining
}

// aloneInService reports whether no other target of the service has been ready for some
// time. The caller must hold s.mu.
func (s *state) aloneInService(now time.Time) bool {
	for _, t := range s.fleet.Targets(now) {
		if t.Service == s.settings.Service && t.Node != s.settings.Node && now.Sub(t.ReadySince) > recentStart {
			return false
		}
	}
	return true
}
