package dogserve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// lingerTime is the time for which open connections without a request stay
	// open after the listener has closed, as a request may be on its way.
	lingerTime = 500 * time.Millisecond
	// shutdownPoll is the interval at which Shutdown looks for requests in
	// progress.
	shutdownPoll = 10 * time.Millisecond
)

// Server is one listener with its handler. It implements suture.Service.
type Server struct {
	name    string
	addr    string
	srv     *http.Server
	ln      net.Listener
	linger  time.Duration
	closing atomic.Bool
	accept  sync.WaitGroup // Runs while connections are accepted.
	conns   conns
}

// New returns a server for addr, an IP address and port. name is used in
// errors and in the supervisor's events. It takes over srv.ConnState.
func New(name, addr string, srv *http.Server) *Server {
	s := &Server{name: name, addr: addr, srv: srv, linger: lingerTime}
	s.conns.states = make(map[net.Conn]http.ConnState)
	srv.ConnState = s.conns.changed
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return s
}

// Listen opens the listener, so that a node with a taken address fails at its
// start. Serve must follow.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen %s: %w", s.name, err)
	}
	s.ln = ln
	return nil
}

// Serve serves until Shutdown or the end of ctx, which cuts what is in
// progress.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	s.accept.Go(func() { failed <- s.srv.Serve(s.ln) })
	select {
	case err := <-failed:
		if s.closing.Load() {
			return suture.ErrDoNotRestart
		}
		return fmt.Errorf("serve %s: %w", s.name, err)
	case <-ctx.Done():
		_ = s.srv.Close() // Nodes wait for what is in progress before that.
		return ctx.Err()
	}
}

// Shutdown closes the listener and waits for the requests in progress and for
// those that arrive on open connections within the linger time. The error is
// that of ctx.
//
// http.Server.Shutdown alone closes a connection without an answer if it reads
// a request from it after the call.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	_ = s.ln.Close() // It may have been closed before.
	s.accept.Wait()  // From here on, conns has all connections.
	tick := time.NewTicker(shutdownPoll)
	defer tick.Stop()
	for !s.conns.quiet(time.Now(), s.linger) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("shut down %s: %w", s.name, ctx.Err())
		case <-tick.C:
		}
	}
	if err := s.srv.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down %s: %w", s.name, err)
	}
	return nil
}

// String returns the name.
func (s *Server) String() string { return s.name }

// function is a supervised function.
type function struct {
	name string
	run  func(context.Context) error
}

// Func makes a supervised part of run. name is used in the supervisor's
// events.
func Func(name string, run func(context.Context) error) suture.Service {
	return function{name: name, run: run}
}

// Serve implements suture.Service.
func (f function) Serve(ctx context.Context) error { return f.run(ctx) }

// String returns the name.
func (f function) String() string { return f.name }

// Pause waits for d or the end of ctx.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
