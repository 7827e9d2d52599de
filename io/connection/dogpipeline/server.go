package dogpipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server serves connections of one or more listeners. Its exported fields must not
// change after the first call of Serve. Its methods are safe for concurrent use.
type Server struct {
	Handler http.Handler
	// IdleTimeout is the time after which a connection without a request is closed;
	// 0 means never.
	IdleTimeout time.Duration
	// Limits returns the limits in force; nil stands for the defaults.
	Limits func() Limits
	// MaxConns bounds the open connections. At the bound, a connection without a
	// request is closed for a new one, or else the new one; 0 means no bound.
	MaxConns int
	// MaxAhead bounds the requests that run at the same time as an earlier one of their
	// connection, of all connections. Beyond it, a request waits for the responses to
	// the earlier ones, so that clients that send many ahead leave room for others; 0
	// means no bound.
	MaxAhead int64
	// Budget bounds the memory of heads; may be nil.
	Budget *Budget
	// Rejected is called for each client that is refused or whose connection is closed
	// because of a bound; may be nil. It must not block.
	Rejected func(Reason)
	// ConnState is called when a connection changes its state; may be nil.
	ConnState func(net.Conn, http.ConnState)
	// Panicked is called with the value of a panic of Handler other than
	// http.ErrAbortHandler; may be nil.
	Panicked func(value any)

	ahead atomic.Int64 // Requests that MaxAhead bounds.

	mu        sync.Mutex
	closing   bool
	listeners map[net.Listener]struct{}
	conns     connSet
	sweeping  bool          // sweep runs.
	empty     chan struct{} // Closed when the server is closing and has no connection.

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
				s.makeRoom()
				time.Sleep(acceptRetryPause)
				continue
			}
			return err
		}
		c := newConn(s, rwc)
		if !s.addConn(c) {
			_ = rwc.Close() // The server is closing or full, and no request was read.
			c.cancel()
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
	for c := range s.conns.all {
		c.abort()
	}
	return nil
}

func (s *Server) startClosing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.workers.stop()
	s.closeEmpty()
	for ln := range s.listeners {
		_ = ln.Close() // The error means that it was closed before.
	}
}

// closeIdle closes the connections without a request, and reports whether none is
// left.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns.all {
		c.closeIfIdle()
	}
	return len(s.conns.all) == 0
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
		s.listeners, s.conns, s.empty = make(map[net.Listener]struct{}), newConnSet(), make(chan struct{})
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) removeListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, ln)
}

// closeEmpty closes empty once the server is closing and has no connection. The caller must
// hold s.mu.
func (s *Server) closeEmpty() {
	if s.empty == nil || !s.closing || len(s.conns.all) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	if s.MaxConns > 0 && s.conns.open >= s.MaxConns {
		s.reject(ReasonConnBound)
		if !s.conns.evict() {
			return false
		}
	}
	s.conns.add(c)
	c.setState(http.StateNew)
	if !s.sweeping {
		s.sweeping = true
		go s.sweep()
	}
	return true
}

// makeRoom closes a connection without a request after the process lacked descriptors.
func (s *Server) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject(ReasonConnBound)
	s.conns.evict() // Without such a connection, those with requests end in time.
}

// markServed records that c has a complete request.
func (s *Server) markServed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.markServed(c)
}

// markEnding records that nothing more is owed to the client of c.
func (s *Server) markEnding(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.markEnding(c)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	s.conns.remove(c)
	s.closeEmpty()
	s.mu.Unlock()
	c.setState(http.StateClosed)
}
