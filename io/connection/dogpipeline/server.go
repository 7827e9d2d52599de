package dogpipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves connections of one or more listeners. Its exported fields must not
// change after the first call of Serve. Its methods are safe for concurrent use.
type Server struct {
	Handler http.Handler
	// IdleTimeout is the time after which a connection without a request is closed;
	// 0 means never.
	IdleTimeout time.Duration
	// HeadTimeout bounds the time from the first byte of a request to the end of its
	// head; 0 means no bound.
	HeadTimeout time.Duration
	// ConnState is called when a connection changes its state; may be nil.
	ConnState func(net.Conn, http.ConnState)
	// Panicked is called with the value of a panic of Handler other than
	// http.ErrAbortHandler; may be nil.
	Panicked func(value any)

	mu        sync.Mutex
	closing   bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}

	workers workers
}

// shutdownPollInterval is the interval at which Shutdown checks for requests in
// progress.
const shutdownPollInterval = 5 * time.Millisecond

// Serve accepts connections of ln until Shutdown or Close, when it returns
// http.ErrServerClosed, or until Accept fails.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		return http.ErrServerClosed
	}
	defer s.removeListener(ln)
	for {
		rwc, err := ln.Accept()
		if err != nil {
			if s.isClosing() {
				return http.ErrServerClosed
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				time.Sleep(acceptRetryPause)
				continue
			}
			return err
		}
		c := newConn(s, rwc)
		if !s.addConn(c) {
			_ = rwc.Close() // The server is closing, and no request was read.
			continue
		}
		go c.serve()
	}
}

// acceptRetryPause is the pause after an Accept that failed for a passing reason, such
// as too many open files.
const acceptRetryPause = 5 * time.Millisecond

// Shutdown closes the listeners and the idle connections, and waits until the requests
// in progress have ended or ctx is done, when it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.startClosing()
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for !s.closeIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	s.startClosing()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
	return nil
}

func (s *Server) startClosing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.workers.stop()
	for ln := range s.listeners {
		_ = ln.Close() // The error means that it was closed before.
	}
}

// closeIdle closes the connections without a request, and reports whether none is
// left.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	return len(s.conns) == 0
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	if s.listeners == nil {
		s.listeners, s.conns = make(map[net.Listener]struct{}), make(map[*conn]struct{})
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) removeListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, ln)
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[c] = struct{}{}
	c.setState(http.StateNew)
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.setState(http.StateClosed)
}
