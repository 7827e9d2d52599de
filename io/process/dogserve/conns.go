package dogserve

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the open connections of a server. It is safe for concurrent use.
type connTracker struct {
	mu         sync.Mutex
	states     map[net.Conn]http.ConnState
	lastChange time.Time // Time of the last change of any connection.
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
	c.states[conn] = state
}

// idle reports whether no request is in progress and none is expected: there is
// no connection, or no connection has changed its state for the time linger.
func (c *connTracker) idle(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state == http.StateActive {
			return false
		}
	}
	return len(c.states) == 0 || now.Sub(c.lastChange) >= linger
}
