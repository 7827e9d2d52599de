package dogserve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
)

// Server is one listener with its handler. It implements suture.Service.
type Server struct {
	name string
	addr string
	srv  *http.Server
	ln   net.Listener
}

// New returns a server for addr, an IP address and port. name is used in
// errors and in the supervisor's events.
func New(name, addr string, srv *http.Server) *Server {
	return &Server{name: name, addr: addr, srv: srv}
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
	go func() { failed <- s.srv.Serve(s.ln) }()
	select {
	case err := <-failed:
		if err == http.ErrServerClosed {
			return suture.ErrDoNotRestart
		}
		return fmt.Errorf("serve %s: %w", s.name, err)
	case <-ctx.Done():
		_ = s.srv.Close() // Nodes wait for what is in progress before that.
		return ctx.Err()
	}
}

// Shutdown closes the listener and waits for the requests in progress. The
// error is that of ctx.
func (s *Server) Shutdown(ctx context.Context) error { return s.srv.Shutdown(ctx) }

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
