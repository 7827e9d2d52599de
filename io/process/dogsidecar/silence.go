package dogsidecar

import (
	"context"
	"time"

	"dogwoodford/core/process/dogfleet"
)

// aliveContexts holds, by node, a context for the requests to it. The context
// ends when the node is found not to answer at all.
type aliveContexts map[string]nodeContext

type nodeContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func (a aliveContexts) get(node string) context.Context {
	c, ok := a[node]
	if !ok {
		c.ctx, c.cancel = context.WithCancel(context.Background())
		a[node] = c
	}
	return c.ctx
}

func (a aliveContexts) cancel(node string) {
	if c, ok := a[node]; ok {
		c.cancel()
		delete(a, node)
	}
}

// NodeContext implements dogrelay.Fleet.
func (s *state) NodeContext(node string) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aliveContexts.get(node)
}

// Silent implements dogrelay.Fleet.
func (s *state) Silent(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Silent(node)
}

// RequestSent implements dogrelay.Fleet.
func (s *state) RequestSent(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence.RequestSent(time.Now(), node)
	s.startSilenceTimer()
}

// RequestEnded implements dogrelay.Fleet.
func (s *state) RequestEnded(node string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence.RequestEnded(time.Now(), node, answered)
}

// silenceCheckInterval is the interval at which the node checks for silent
// nodes while requests are in progress. One timer for all nodes wakes the
// process less often than one for each.
const silenceCheckInterval = 75 * time.Millisecond

// startSilenceTimer starts the timer of probeSilentNodes unless it is running.
// The caller must hold s.mu.
func (s *state) startSilenceTimer() {
	if !s.silenceTimerRunning {
		s.silenceTimerRunning = true
		time.AfterFunc(silenceCheckInterval, s.probeSilentNodes)
	}
}

// probeSilentNodes starts a probe of each silent node that is due, and restarts
// the timer while requests are in progress.
func (s *state) probeSilentNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, pending := s.silence.Due(time.Now())
	for _, name := range names {
		if e, _, known := s.fleet.Entry(name); known {
			go s.probeSilent(e)
		}
	}
	s.silenceTimerRunning = pending
	if pending {
		time.AfterFunc(silenceCheckInterval, s.probeSilentNodes)
	}
}

func (s *state) probeSilent(e dogfleet.Entry) {
	alive := s.probeAlive(e)
	s.mu.Lock()
	s.silence.ProbeEnded(time.Now(), e.Node)
	s.mu.Unlock()
	if !alive {
		s.MarkUnreachable(e.Node, true)
	}
}
