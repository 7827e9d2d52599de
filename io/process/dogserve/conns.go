package dogserve

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// conns are the open connections of a server. It is safe for concurrent use.
type conns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	last   time.Time // Last change.
}

// changed implements http.Server.ConnState.
func (c *conns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// quiet reports whether no request is in progress and none is expected: there
// is no connection, or none has changed for the linger time.
func (c *conns) quiet(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state == http.StateActive {
			return false
		}
	}
	return len(c.states) == 0 || now.Sub(c.last) >= linger
}
