package dogsidecar

import (
	"context"
	"time"
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
	s.silence.Sent(time.Now(), node)
	s.watchSilence(node)
}

// Heard implements dogrelay.Fleet.
func (s *state) Heard(node string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence.Heard(time.Now(), node, answered)
}

// watchSilence starts a timer for a node unless one runs. It needs s.mu.
func (s *state) watchSilence(node string) {
	if s.checked[node] {
		return
	}
	if wait, _ := s.silence.Check(time.Now(), node); wait > 0 {
		s.checked[node] = true
		time.AfterFunc(wait, func() { s.checkSilence(node) })
	}
}

// checkSilence asks a node that has gone silent whether it lives.
func (s *state) checkSilence(node string) {
	s.mu.Lock()
	wait, ask := s.silence.Check(time.Now(), node)
	e, _, known := s.fleet.Entry(node)
	s.checked[node] = wait > 0
	if wait > 0 {
		time.AfterFunc(wait, func() { s.checkSilence(node) })
	} else {
		delete(s.checked, node)
	}
	s.mu.Unlock()
	if !ask || !known {
		return
	}
	lives := s.ask(e)
	s.mu.Lock()
	s.silence.Asked(time.Now(), node, lives)
	s.mu.Unlock()
	if !lives {
		s.Unreachable(node, true)
	}
}
