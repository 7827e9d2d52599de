package dogserve

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the open connections of a server. It is safe for concurrent use.
type connTracker struct {
	mu         sync.Mutex
	states     map[net.Conn]connState
	lastChange time.Time // Time of the last change of any connection.
	maxConns   int       // Bound of the connections; 0 means none.
	atBound    func()    // Called when the bound is met; may be nil.
}

// connState is the state of a connection.
type connState struct {
	state http.ConnState
	since time.Time // Time of its last change.
}

// setState implements http.Server.ConnState.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastChange = time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	if state == http.StateNew && c.maxConns > 0 && len(c.states) >= c.maxConns {
		if c.atBound != nil {
			c.atBound()
		}
		if !c.evict() {
			_ = conn.Close() // Its server reports that it is closed.
			return
		}
	}
	c.states[conn] = connState{state: state, since: c.lastChange}
}

// unfinishedAfter is the time after which a request in progress is taken for one whose body
// does not come, or whose response is not read: the servers with a bound have handlers that
// take milliseconds.
const unfinishedAfter = time.Second

// evict closes the connection that has been without a request in progress for longest, or
// else the one whose request has been unfinished for longest. It reports false if there is
// neither. The caller must hold c.mu.
func (c *connTracker) evict() bool {
	now := time.Now()
	var victim net.Conn
	var since time.Time
	active := true // The state of victim.
	for conn, s := range c.states {
		if s.state == http.StateActive && (!active || now.Sub(s.since) < unfinishedAfter) {
			continue
		}
		if victim == nil || active && s.state != http.StateActive || s.since.Before(since) {
			victim, since, active = conn, s.since, s.state == http.StateActive
		}
	}
	if victim == nil {
		return false
	}
	delete(c.states, victim)
	_ = victim.Close() // Its server reports that it is closed.
	return true
}

// boundedListener is a listener that makes room when the process lacks descriptors. The
// server tries again after an error that passes.
type boundedListener struct {
	net.Listener

	conns *connTracker
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	var temporary interface{ Temporary() bool }
	if errors.As(err, &temporary) && temporary.Temporary() {
		l.conns.mu.Lock()
		l.conns.evict() // Without such a connection, those with requests end in time.
		l.conns.mu.Unlock()
	}
	return conn, err // http.Server looks at the type of the error.
}

// idle reports whether no request is in progress and none is expected: there is
// no connection, or no connection has changed its state for the time linger.
func (c *connTracker) idle(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.state == http.StateActive {
			return false
		}
	}
	return len(c.states) == 0 || now.Sub(c.lastChange) >= linger
}
