package dogsidecar

import (
	"time"

	"dogwoodford/core/process/dogstop"
)

// stopState is how far the stop of a node has progressed. It depends on the time of the
// question alone, so that a process that was paused does not act on an earlier step.
type stopState struct {
	began       bool
	plan        dogstop.Plan // Set if began.
	entryClosed bool         // The entry closed before the plan requires it.
}

// guardClosed reports whether the guard accepts no new requests.
func (s stopState) guardClosed(now time.Time) bool {
	return s.began && !now.Before(s.plan.GuardClose())
}

// beginStop makes the node stop according to plan.
func (s *state) beginStop(plan dogstop.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop.began, s.stop.plan = true, plan
}

// closeEntry closes the entry ahead of the plan.
func (s *state) closeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop.entryClosed = true
}

// stopping reports whether the node has been told to stop.
func (s *state) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.began
}

// Leaving implements dogrelay.Local.
func (s *state) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.began && (s.stop.entryClosed || !s.stop.plan.AcceptsRequest(time.Now()))
}

// AcceptsCall implements dogrelay.Local.
func (s *state) AcceptsCall(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stop.began || s.stop.plan.AcceptsCall(time.Now(), timeout)
}
