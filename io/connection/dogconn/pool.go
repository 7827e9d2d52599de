package dogconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bufferBytes is the size of the buffers of a connection. Usual calls and
// answers fit.
const bufferBytes = 4 << 10

// pool keeps connections for later calls. It is safe for concurrent use.
type pool struct {
	dial        func(ctx context.Context, addr string) (*conn, error)
	maxConns    int
	idleTimeout time.Duration

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connections to one address.
type host struct {
	slots    chan struct{} // Holds one element for each call in progress.
	idle     []*link       // By the end of their last call.
	trimming bool          // A timer closes connections that were idle for too long.
}

// link is one connection with its buffers.
type link struct {
	addr  string
	conn  *conn
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // End of the last call.
}

func newPool(dial func(ctx context.Context, addr string) (*conn, error), maxConns int, idleTimeout time.Duration) *pool {
	return &pool{dial: dial, maxConns: maxConns, idleTimeout: idleTimeout, hosts: make(map[string]*host)}
}

func (p *pool) host(addr string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		h = &host{slots: make(chan struct{}, p.maxConns)}
		p.hosts[addr] = h
	}
	return h
}

// get returns a connection to addr, a kept one if there is any. It waits while
// as many calls as there may be connections are in progress. put must follow.
func (p *pool) get(ctx context.Context, addr string) (*link, error) {
	h := p.host(addr)
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
	for l := p.kept(h); l != nil; l = p.kept(h) {
		if l.sound() {
			return l, nil
		}
		_ = l.conn.Close() // Nothing is lost on it.
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		<-h.slots
		return nil, err
	}
	return &link{addr: addr, conn: c, r: bufio.NewReaderSize(c, bufferBytes), w: bufio.NewWriterSize(c, bufferBytes)}, nil
}

// kept takes the connection that was used last; nil if there is none.
func (p *pool) kept(h *host) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	l := h.idle[n-1]
	h.idle[n-1] = nil
	h.idle = h.idle[:n-1]
	if time.Since(l.since) >= p.idleTimeout {
		// The others are older still.
		closeAll(h.idle)
		h.idle = nil
		_ = l.conn.Close() // Nothing is lost on it.
		return nil
	}
	return l
}

// put gives a connection back. It is closed unless it can carry another call.
func (p *pool) put(l *link, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[l.addr]
	<-h.slots
	if !whole {
		_ = l.conn.Close() // What is on it is given up.
		return
	}
	l.since = time.Now()
	h.idle = append(h.idle, l)
	if !h.trimming {
		h.trimming = true
		time.AfterFunc(p.idleTimeout, func() { p.trim(h) })
	}
}

// trim closes the connections that were idle for too long.
func (p *pool) trim(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(h.idle) && time.Since(h.idle[n].since) >= p.idleTimeout {
		n++
	}
	closeAll(h.idle[:n])
	h.idle = slices.Delete(h.idle, 0, n)
	h.trimming = len(h.idle) > 0
	if h.trimming {
		time.AfterFunc(p.idleTimeout-time.Since(h.idle[0].since), func() { p.trim(h) })
	}
}

// close closes the connections that carry no call.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		closeAll(h.idle)
		h.idle = nil
	}
}

func closeAll(links []*link) {
	for _, l := range links {
		_ = l.conn.Close() // Nothing is lost on it.
	}
}

// sound reports whether a kept connection is open and silent. Bytes that no
// call asked for show that the next answer cannot be trusted.
func (l *link) sound() bool {
	tcp, ok := l.conn.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
