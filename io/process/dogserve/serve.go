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

	"dogwoodford"
	"dogwoodford/io/connection/dogpipeline"
)

const (
	// lingerTime is how long connections without a request stay open after the
	// listener was closed, as a client may already have sent a request.
	lingerTime = 500 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks for requests in
	// progress.
	shutdownPollInterval = 10 * time.Millisecond
)

// Server is an HTTP server with one listener. It implements suture.Service.
type Server struct {
	name      string
	addr      string
	srv       dogwoodford.HTTPServer
	ln        net.Listener
	linger    time.Duration
	closing   atomic.Bool
	accepting sync.WaitGroup // Done when no further connection is accepted.
	conns     connTracker
}

// New returns a server for addr, an IP address and port. name is used in errors
// and in the supervisor's events. New wraps srv.Handler and replaces
// srv.ConnState.
func New(name, addr string, srv *http.Server) *Server {
	s := newServer(name, addr, srv)
	srv.ConnState, srv.Handler = s.conns.setState, s.closeWhenClosing(srv.Handler)
	return s
}

// NewPipelined is New for clients that send requests ahead of responses.
func NewPipelined(name, addr string, srv *dogpipeline.Server) *Server {
	s := newServer(name, addr, srv)
	srv.ConnState, srv.Handler = s.conns.setState, s.closeWhenClosing(srv.Handler)
	return s
}

func newServer(name, addr string, srv dogwoodford.HTTPServer) *Server {
	s := &Server{name: name, addr: addr, srv: srv, linger: lingerTime}
	s.conns.states = make(map[net.Conn]connState)
	return s
}

// SetLinger sets how long connections without a request stay open after the listener was
// closed. It must not be called after Serve. The default is half a second.
func (s *Server) SetLinger(d time.Duration) { s.linger = d }

// SetMaxConns bounds the open connections of a server that New has returned. At the bound,
// the connection that has been without a request for longest is closed for a new one; if
// there is none, the new one is closed. atBound is called then; it may be nil and must not
// block. SetMaxConns must not be called after Listen.
func (s *Server) SetMaxConns(n int, atBound func()) { s.conns.maxConns, s.conns.atBound = n, atBound }

// closeWhenClosing returns a handler whose responses close their connection once
// Shutdown has been called.
func (s *Server) closeWhenClosing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Listen opens the listener. It is separate from Serve, so that a node whose
// address is in use fails at its start. The caller has to call Serve afterwards.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen %s: %w", s.name, err)
	}
	s.ln = ln
	if s.conns.maxConns > 0 {
		s.ln = boundedListener{ln, &s.conns}
	}
	return nil
}

// Serve serves requests until Shutdown, when it returns suture.ErrDoNotRestart, or
// until ctx is done, when it aborts the requests in progress and returns the error
// of ctx.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	s.accepting.Go(func() { failed <- s.srv.Serve(s.ln) })
	select {
	case err := <-failed:
		if s.closing.Load() {
			return suture.ErrDoNotRestart
		}
		return fmt.Errorf("serve %s: %w", s.name, err)
	case <-ctx.Done():
		_ = s.srv.Close() // Nodes wait for the requests in progress before they cancel ctx.
		return ctx.Err()
	}
}

// Shutdown closes the listener and waits for the requests in progress and for
// those that arrive on open connections within the linger time. It returns an
// error that wraps the error of ctx if ctx is done before.
//
// http.Server.Shutdown alone does not suffice: it closes a connection without a
// response if it reads a request from it after the call.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	_ = s.ln.Close()   // The error means that it was closed before.
	s.accepting.Wait() // From here on, s.conns contains all connections.
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for !s.conns.idle(time.Now(), s.linger) {
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

// Func returns a service that calls run. name is used in the supervisor's events.
func Func(name string, run func(context.Context) error) suture.Service {
	return function{name: name, run: run}
}

// Serve implements suture.Service.
func (f function) Serve(ctx context.Context) error { return f.run(ctx) }

// String returns the name.
func (f function) String() string { return f.name }

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
