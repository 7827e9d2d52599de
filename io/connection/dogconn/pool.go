package dogconn

import (
	"bufio"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// bufferBytes is the size of the read and write buffers of a connection. It
// holds typical calls and responses.
const bufferBytes = 4 << 10

// pool keeps idle connections for reuse and bounds the connections to each
// address. It is safe for concurrent use.
type pool struct {
	dial        func(ctx context.Context, addr string) (*conn, error)
	maxConns    int
	idleTimeout time.Duration
	liveness    Liveness

	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the connections to one address.
type host struct {
	slots             chan struct{} // Semaphore; holds one element per call in progress.
	idle              []*pconn      // In the order in which they became idle.
	evictionScheduled bool          // A timer for evictIdle is running.
}

// pconn is a pooled connection with its buffers.
type pconn struct {
	addr      string
	conn      *conn
	src       *source     // Under head.
	head      *headReader // Under r.
	r         *bufio.Reader
	w         *bufio.Writer
	used      bool      // It has carried a call.
	idleSince time.Time // End of the last call.
}

func newPool(dial func(ctx context.Context, addr string) (*conn, error), o Options) *pool {
	return &pool{dial: dial, maxConns: o.MaxConns, idleTimeout: o.IdleTimeout, liveness: o.Liveness, hosts: make(map[string]*host)}
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

// get returns a connection to addr, an idle one if possible. It waits while
// maxConns calls to addr are in progress. The caller must return the connection
// with put.
func (p *pool) get(ctx context.Context, addr string) (*pconn, error) {
	h := p.host(addr)
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a free connection: %w", ctx.Err())
	}
	return p.next(ctx, h, addr)
}

// replace closes a connection from get that turned out to be unusable, and returns
// another one for the same call.
func (p *pool) replace(ctx context.Context, pc *pconn) (*pconn, error) {
	_ = pc.conn.Close() // It carries no call.
	return p.next(ctx, p.host(pc.addr), pc.addr)
}

// next returns a connection for a call that holds a slot of h.
func (p *pool) next(ctx context.Context, h *host, addr string) (*pconn, error) {
	if pc := p.takeIdle(h); pc != nil {
		return pc, nil
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		<-h.slots
		return nil, err
	}
	src := newSource(c)
	head := &headReader{r: src}
	return &pconn{
		addr: addr, conn: c, src: src, head: head, r: bufio.NewReaderSize(head, bufferBytes), w: bufio.NewWriterSize(c, bufferBytes),
	}, nil
}

// takeIdle removes and returns the most recently used idle connection; nil if
// there is none within idleTimeout.
func (p *pool) takeIdle(h *host) *pconn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	pc := h.idle[n-1]
	h.idle[n-1] = nil
	h.idle = h.idle[:n-1]
	if time.Since(pc.idleSince) >= p.idleTimeout {
		// The others have been idle for even longer.
		closeAll(h.idle)
		h.idle = nil
		_ = pc.conn.Close() // It carries no call.
		return nil
	}
	return pc
}

// put returns a connection to the pool. It is closed unless reusable, which
// tells whether it can carry another call.
func (p *pool) put(pc *pconn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[pc.addr]
	<-h.slots
	if !reusable {
		_ = pc.conn.Close() // Its call has ended or is abandoned.
		return
	}
	pc.used, pc.idleSince = true, time.Now()
	h.idle = append(h.idle, pc)
	if !h.evictionScheduled {
		h.evictionScheduled = true
		time.AfterFunc(p.idleTimeout, func() { p.evictIdle(h) })
	}
}

// evictIdle closes the connections that have been idle for idleTimeout, and
// schedules the next eviction if others remain.
func (p *pool) evictIdle(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(h.idle) && time.Since(h.idle[n].idleSince) >= p.idleTimeout {
		n++
	}
	closeAll(h.idle[:n])
	h.idle = slices.Delete(h.idle, 0, n)
	h.evictionScheduled = len(h.idle) > 0
	if h.evictionScheduled {
		time.AfterFunc(p.idleTimeout-time.Since(h.idle[0].idleSince), func() { p.evictIdle(h) })
	}
}

// close closes the idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		closeAll(h.idle)
		h.idle = nil
	}
}

func closeAll(pconns []*pconn) {
	for _, pc := range pconns {
		_ = pc.conn.Close() // It carries no call.
	}
}
