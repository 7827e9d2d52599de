package dogsidecar

import (
	"context"
	"time"

	"dogwoodford/core/process/dogfleet"
)

// alive holds a context for each node that requests wait for. It ends when the
// node is found to be dark.
type alive map[string]life

type life struct {
	ctx context.Context
	end context.CancelFunc
}

func (a alive) of(node string) context.Context {
	l, ok := a[node]
	if !ok {
		l.ctx, l.end = context.WithCancel(context.Background())
		a[node] = l
	}
	return l.ctx
}

func (a alive) end(node string) {
	if l, ok := a[node]; ok {
		l.end()
		delete(a, node)
	}
}

// Alive implements dogrelay.Fleet.
func (s *state) Alive(node string) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive.of(node)
}

// Sent implements dogrelay.Fleet.
func (s *state) Sent(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence.RequestSent(time.Now(), node)
	s.watchSilence()
}

// Heard implements dogrelay.Fleet.
func (s *state) Heard(node string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence.RequestEnded(time.Now(), node, answered)
}

// silenceEvery is the interval at which silent nodes are looked for while
// requests are in progress. One timer for all nodes wakes the process less
// often than one for each.
const silenceEvery = 75 * time.Millisecond

// watchSilence starts the timer unless it runs. It needs s.mu.
func (s *state) watchSilence() {
	if !s.watching {
		s.watching = true
		time.AfterFunc(silenceEvery, s.checkSilence)
	}
}

// checkSilence asks nodes that have gone silent whether they live.
func (s *state) checkSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, pending := s.silence.Due(time.Now())
	for _, name := range names {
		if e, _, known := s.fleet.Entry(name); known {
			go s.askSilent(e)
		}
	}
	s.watching = pending
	if pending {
		time.AfterFunc(silenceEvery, s.checkSilence)
	}
}

func (s *state) askSilent(e dogfleet.Entry) {
	lives := s.ask(e)
	s.mu.Lock()
	s.silence.ProbeEnded(time.Now(), e.Node)
	s.mu.Unlock()
	if !lives {
		s.Unreachable(e.Node, true)
	}
}
