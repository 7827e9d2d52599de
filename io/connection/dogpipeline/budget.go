package dogpipeline

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

const (
	// freeHeadBytes is the cost of a head that no budget bounds. Most heads cost less,
	// and the memory that is set aside for a request or connection includes it.
	freeHeadBytes = 16 << 10
	// lineCost is the memory that a header line takes besides its bytes: elements of the
	// maps of the request and of its copies. Without it, short lines would take thirty
	// times the memory that is counted.
	lineCost = 256
	// minLineBytes is the length of the shortest header line, whose end may lack the
	// carriage return.
	minLineBytes = 3
	// fairPartDivisor is the part of a budget, as a divisor, that one connection may use.
	fairPartDivisor = 16
)

// Budget bounds the memory that the heads of requests take, of all connections of the
// servers that share it: those that are being read and those of requests in progress. Each
// head may cost freeHeadBytes in addition. It is safe for concurrent use. A nil Budget
// bounds nothing.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	reading map[*conn]struct{} // Connections with a part for a head that is being read.
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reading: make(map[*conn]struct{})}
}

// part is what a connection has of a budget, in bytes. The mutex of the budget guards it.
type part struct {
	head    int64 // For the head that is being read.
	running int64 // For requests in progress.
	since   time.Time
}

// grow raises the part for the head that c reads to n bytes. headBytes is the bound of a
// head. If the budget is used up, it ends the heads that have held most for longest; it
// returns false if that of c is among them, or if c has more than its fair part.
func (b *Budget) grow(c *conn, n int64, headBytes int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= c.part.head {
		return true
	}
	fair := max(b.limit/fairPartDivisor, int64(headBytes)*(1+lineCost/minLineBytes))
	if c.part.running+n > fair {
		return false
	}
	if c.part.head == 0 {
		c.part.since = time.Now()
		b.reading[c] = struct{}{}
	}
	b.used += n - c.part.head
	c.part.head = n
	for b.used > b.limit {
		v := b.victim()
		b.releaseHead(v)
		v.expireHead(ReasonHeadBudget)
		if v == c {
			return false
		}
	}
	return true
}

// victim returns the connection whose head has held most for longest. At least one is
// being read.
func (b *Budget) victim() *conn {
	now := time.Now()
	var out *conn
	most := -1.0
	for c := range b.reading {
		// Each has held its part for at least a moment.
		if score := float64(c.part.head) * (now.Sub(c.part.since) + time.Millisecond).Seconds(); score > most {
			out, most = c, score
		}
	}
	return out
}

// releaseHead gives back the part for a head. The caller must hold b.mu.
func (b *Budget) releaseHead(c *conn) {
	delete(b.reading, c)
	b.used -= c.part.head
	c.part.head = 0
}

// endHead gives back the part for the head that c has read, but for n bytes that the
// request goes on holding. It returns what the request holds.
func (b *Budget) endHead(c *conn, n int64) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, c.part.head)
	b.releaseHead(c)
	b.used += n
	c.part.running += n
	return n
}

// endRequest gives back what a request of c holds.
func (b *Budget) endRequest(c *conn, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	c.part.running -= n
}

// costOf returns the memory that a part of a head will take.
func costOf(p []byte) int64 { return int64(len(p) + lineCost*bytes.Count(p, []byte{'\n'})) }

// headCost returns the memory that a head takes beyond freeHeadBytes.
func headCost(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineCost
		}
	}
	return max(0, int64(n)-freeHeadBytes)
}
