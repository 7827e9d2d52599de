package dogpipeline

import (
	"container/list"
	"net/http"
	"time"
)

// Limits bounds what one client may make a Server hold. They can change while the server
// runs. Zero values stand for the defaults.
type Limits struct {
	// HeadBytes bounds the request line and headers of a request, with the empty lines
	// before it. The default is 64 KB.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a request to the end of its
	// head, which it may exceed by sweepInterval. There is no bound by default.
	HeadTimeout time.Duration
	// StallTimeout bounds the time for which a client sends nothing of a body, or takes
	// nothing of a response. There is no bound by default.
	StallTimeout time.Duration
}

// maxBodyTime bounds the time for which a body is read. Routes have timeouts of seconds.
const maxBodyTime = 2 * time.Minute

// Reason tells why a server turned a client away.
type Reason string

// Reasons of a Server.
const (
	ReasonHeadTooLong Reason = "head-too-long" // The head is over its bound: 431.
	ReasonMalformed   Reason = "malformed"     // What was read is no request: 400.
	ReasonHeadTimeout Reason = "head-timeout"  // The head did not end in time: 408.
	ReasonHeadBudget  Reason = "head-budget"   // The budget for heads is used up: 408.
	ReasonStalled     Reason = "stalled"       // The client sends no more of a body, or reads no response.
	ReasonConnBound   Reason = "conn-bound"    // The bound of connections was met.
)

func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = maxHeadBytes
	}
	return l
}

func (s *Server) reject(r Reason) {
	if s.Rejected != nil {
		s.Rejected(r)
	}
}

// connSet holds the open connections of a server. The server's mutex guards it.
type connSet struct {
	all map[*conn]struct{}
	// unserved holds the connections without a complete request so far, and those that
	// close after their last response; oldest first.
	unserved *list.List
	open     int // Elements of all that were not evicted.
}

func newConnSet() connSet { return connSet{all: make(map[*conn]struct{}), unserved: list.New()} }

func (s *connSet) add(c *conn) {
	s.all[c] = struct{}{}
	s.open++
	c.unserved = s.unserved.PushBack(c)
}

func (s *connSet) remove(c *conn) {
	s.markServed(c)
	delete(s.all, c)
	if !c.evicted {
		s.open--
	}
}

// markServed records that c has a complete request.
func (s *connSet) markServed(c *conn) {
	if c.unserved != nil {
		s.unserved.Remove(c.unserved)
		c.unserved = nil
	}
}

// markEnding records that nothing more is owed to the client of c.
func (s *connSet) markEnding(c *conn) {
	if c.unserved == nil && !c.evicted {
		c.unserved = s.unserved.PushBack(c)
	}
}

// evict closes the connection that was open for longest without a complete request, or
// else the one that has been idle for longest. It reports false if each has a request in
// progress.
func (s *connSet) evict() bool {
	if e := s.unserved.Front(); e != nil {
		c, _ := e.Value.(*conn)
		s.close(c)
		c.abort()
		return true
	}
	var oldest *conn
	var since time.Time
	for c := range s.all {
		if at, ok := c.idle(); ok && !c.evicted && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest == nil || !oldest.closeIfIdle() {
		return false
	}
	s.close(oldest)
	return true
}

func (s *connSet) close(c *conn) {
	s.markServed(c)
	c.evicted = true
	s.open--
}

// idle returns since when c has been without a request, and whether it is.
func (c *conn) idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.state == http.StateIdle && !c.closed
}

// sweepInterval is the interval at which a server looks for connections that exceed a
// time, instead of a timer for each of them.
const sweepInterval = time.Second

// sweep looks for connections that exceed a time until none is left.
func (s *Server) sweep() {
	last := time.Now()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.empty:
			return
		case <-tick.C:
		}
		now := time.Now()
		// A process that was suspended has not read what its clients have sent.
		late := now.Sub(last) > 2*sweepInterval
		last = now
		limits := s.limits()
		s.mu.Lock()
		if len(s.conns.all) == 0 {
			s.sweeping = false
			s.mu.Unlock()
			return
		}
		if !late {
			for c := range s.conns.all {
				c.checkTimes(now, limits)
			}
		}
		s.mu.Unlock()
	}
}

// checkTimes ends the head in progress or the connection if it exceeds a time.
func (c *conn) checkTimes(now time.Time, l Limits) {
	exceeds := func(since int64, bound time.Duration) bool {
		return bound > 0 && since != 0 && now.Sub(time.Unix(0, since)) > bound
	}
	c.mu.Lock()
	started := c.headStarted
	c.mu.Unlock()
	if l.HeadTimeout > 0 && !started.IsZero() && now.Sub(started) > l.HeadTimeout {
		c.expireHead(ReasonHeadTimeout)
	}
	body := c.bodyStarted.Load()
	if exceeds(c.writing.Load(), l.StallTimeout) || exceeds(c.readingBody.Load(), l.StallTimeout) ||
		exceeds(body, maxBodyTime) || body != 0 && exceeds(c.bodyEnd.Load(), sweepInterval) {
		c.srv.reject(ReasonStalled)
		c.abort()
	}
}

// startHead records that a head has begun to arrive. The caller must hold c.mu.
func (c *conn) startHead() { c.headStarted, c.expired = time.Now(), "" }

// expireHead makes the reader of the head in progress fail, if there is one.
func (c *conn) expireHead(why Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headStarted.IsZero() || c.expired != "" {
		return
	}
	c.expired = why
	_ = c.rwc.SetReadDeadline(time.Unix(1, 0)) // Fails only on a closed connection.
}

// endHead records that the head in progress was read or failed, and returns the reason if
// expireHead was called before.
func (c *conn) endHead() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headStarted = time.Time{}
	if c.expired != "" {
		_ = c.rwc.SetReadDeadline(time.Time{}) // As above.
	}
	return c.expired
}
