package dogquota

import (
	"math/rand/v2"
	"time"
)

const (
	// TokenLifetime is the time after which tokens that were lent in advance expire.
	TokenLifetime = 2 * time.Second
	// maxHint bounds the time after which a node is told to ask again. It bounds the
	// time for which requests are refused after the demand has fallen.
	maxHint = time.Second
	// minHint is the least time after which a node is told to ask again.
	minHint = 20 * time.Millisecond
	// minShareInterval is the least interval at which a node gets its part of the
	// tokens while they are short. A shorter one costs more messages.
	minShareInterval = 250 * time.Millisecond
	// contentionPeriod is the time after a refusal for which tokens count as short.
	contentionPeriod = time.Second
	// minEarlyRecent is the number of requests of the last second from which a node
	// gets tokens in advance.
	minEarlyRecent = 2
	// takeoverTime is the time for which a lender that takes over lends half of the
	// rate. Nodes that do not know of it yet use their fallback buckets, which have the
	// other half.
	takeoverTime = time.Second
	// partitionedShare is the share of nodes that can be reached below which the others
	// may have used a burst of their own.
	partitionedShare = 0.9
	// maxAskers bounds the nodes that are counted while tokens are short.
	maxAskers = 1024
)

// LenderOptions configure a Lender.
type LenderOptions struct {
	Bound Bound
	Rand  *rand.Rand
}

// Lender holds the buckets of the workspaces for which a node lends. It is not safe for
// concurrent use.
type Lender struct {
	opts    LenderOptions
	share   float64
	buckets map[uint64]*bucket
}

// NewLender returns a lender without buckets, at which all nodes may ask.
func NewLender(opts LenderOptions) *Lender {
	return &Lender{opts: opts, share: 1, buckets: make(map[uint64]*bucket)}
}

// Request asks for tokens of a workspace.
type Request struct {
	Workspace Workspace
	Waiting   int // Requests that wait for a token.
	Recent    int // Requests of the last second.
	// Since is the time from which on no other node has lent tokens of the workspace. A
	// bucket that is first asked for later has filled since then. Zero if it is not known.
	Since time.Time
	// HandedOver tells that another node has lent up to now and has not failed, so that
	// no node uses its fallback bucket.
	HandedOver bool
}

// Grant answers a Request.
type Grant struct {
	Tokens int
	// RetryAfter is the time for which the node refuses requests that find no token;
	// 0 if it may ask again at once. With Redirected, it is the time for which the
	// next node lends.
	RetryAfter time.Duration
	Redirected bool // The node does not lend yet; the next one by rendezvous hashing does.
}

// bucket is the token bucket of one workspace. The tokens that were lent in advance and
// may still be used count as if they were in it, so that no window has more requests than
// the rate and one burst.
type bucket struct {
	limit     Limit
	level     float64
	started   time.Time // Time of the takeover.
	updated   time.Time
	lent      holdings             // Tokens lent in advance.
	promised  time.Time            // Time at which the last promised token is there.
	refusedAt time.Time            // Time of the last request that got too few tokens.
	askers    map[string]time.Time // Last requests of nodes while tokens are short.
}

// SetShare sets the share of the nodes that this one or others of its side can reach.
// Nodes beyond may have a lender of their own, so that each lends its share of the rate.
// When many nodes come back, their lender may have lent the burst already.
func (l *Lender) SetShare(now time.Time, share float64) {
	if share == l.share {
		return
	}
	grows := share > l.share && l.share < partitionedShare
	for _, b := range l.buckets {
		b.refill(now, l.share)
		if grows {
			b.level = min(b.level, l.startLevel(b.limit))
		}
	}
	l.share = share
}

// Retain drops the buckets for which keep returns false.
func (l *Lender) Retain(keep func(workspace uint64) bool) {
	for id := range l.buckets {
		if !keep(id) {
			delete(l.buckets, id)
		}
	}
}

// Drop drops the bucket of a workspace.
func (l *Lender) Drop(workspace uint64) { delete(l.buckets, workspace) }

// Has reports whether there is a bucket for a workspace.
func (l *Lender) Has(workspace uint64) bool { return l.buckets[workspace] != nil }

// Lend answers the request of a node for tokens.
func (l *Lender) Lend(now time.Time, node string, r Request) Grant {
	l.open(now, r)
	b := l.bucket(now, r.Workspace)
	b.lent.used(node) // A node asks when it has no token left.
	if now.Sub(b.refusedAt) < contentionPeriod {
		return l.lendPart(now, b, node, r)
	}
	b.askers = nil
	n := min(r.Waiting, int(b.level))
	b.level -= float64(n)
	if n < r.Waiting {
		b.refusedAt = now
		b.countAsker(now, node)
		return Grant{Tokens: n, RetryAfter: l.promise(now, b)}
	}
	early := l.lendEarly(now, b, node, r)
	return Grant{Tokens: n + early}
}

// lendEarly lends tokens for the requests of the near future while the bucket is over half
// full. A node with few requests gets none, as it would rarely use them before they expire.
func (l *Lender) lendEarly(now time.Time, b *bucket, node string, r Request) int {
	spare := int(b.level - b.limit.capacity()/2)
	if r.Recent < minEarlyRecent || spare <= 0 {
		return 0
	}
	n := min(r.Recent, spare)
	b.level -= float64(n)
	b.lent.add(node, n, now)
	return n
}

// Credit gives back tokens of requests that have not run. The bucket must be open.
func (l *Lender) Credit(now time.Time, w Workspace, n int) {
	b := l.bucket(now, w)
	b.level += float64(n)
	b.trim()
}

// lendPart lends a node its part of the tokens of an interval, while there are too few
// for all.
func (l *Lender) lendPart(now time.Time, b *bucket, node string, r Request) Grant {
	nodes := float64(b.countAsker(now, node))
	rate := b.limit.Rate * l.share
	interval := min(max(nodes/rate, minShareInterval.Seconds()), maxHint.Seconds())
	part := max(1, int((rate*interval+b.level)/nodes+l.opts.Rand.Float64()))
	want := r.Waiting + int(float64(r.Recent)*interval)
	n := min(want, part, int(b.level))
	b.level -= float64(n)
	b.lent.add(node, n-r.Waiting, now)
	if n >= want {
		return Grant{Tokens: n}
	}
	b.refusedAt = now
	if n == 0 {
		return Grant{RetryAfter: l.promise(now, b)}
	}
	return Grant{Tokens: n, RetryAfter: l.spread(time.Duration(interval * float64(time.Second)))}
}

// promise returns the time until a token is there that is promised to no other node. The
// times of the nodes that ask are one token apart each.
func (l *Lender) promise(now time.Time, b *bucket) time.Duration {
	perToken := maxHint
	if rate := b.limit.Rate * l.share; rate > 1 {
		perToken = time.Duration(float64(time.Second) / rate)
	}
	if b.promised.Before(now) {
		b.promised = now
	}
	wait := b.promised.Sub(now) + perToken
	if wait >= maxHint {
		return l.spread(maxHint * 3 / 4)
	}
	b.promised = now.Add(wait)
	return max(wait, minHint)
}

// spread returns d with a random deviation of up to a quarter, so that nodes that were
// answered at the same time do not ask at the same time.
func (l *Lender) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*l.opts.Rand.Float64()))
}

func (l *Lender) startLevel(limit Limit) float64 {
	return min(startShare*l.opts.Bound.margin(limit), limit.capacity())
}

// open adds the bucket of a workspace that this node starts to lend.
func (l *Lender) open(now time.Time, r Request) {
	if l.Has(r.Workspace.ID) {
		return
	}
	b := &bucket{
		limit: l.opts.Bound.raised(r.Workspace.Limit), level: l.startLevel(r.Workspace.Limit), started: now, updated: now,
	}
	if !r.Since.IsZero() && r.Since.Before(now) {
		b.started, b.updated = r.Since, r.Since
	}
	if r.HandedOver {
		b.started = b.started.Add(-takeoverTime)
	}
	l.buckets[r.Workspace.ID] = b
}

// bucket returns the open bucket of a workspace with its level at now. A new limit takes
// effect from now on.
func (l *Lender) bucket(now time.Time, w Workspace) *bucket {
	limit := l.opts.Bound.raised(w.Limit)
	b := l.buckets[w.ID]
	b.refill(now, l.share)
	if b.limit != limit {
		b.limit = limit
		b.trim()
		b.promised, b.refusedAt = time.Time{}, time.Time{}
	}
	return b
}

func (b *bucket) refill(now time.Time, share float64) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	halved := min(elapsed, max(0, takeoverTime-b.updated.Sub(b.started)))
	elapsed -= time.Duration(fallbackRate * float64(halved))
	b.level += b.limit.Rate * share * elapsed.Seconds()
	b.updated = now
	b.trim()
}

// trim removes what exceeds the room of the bucket.
func (b *bucket) trim() {
	room := b.limit.capacity() - float64(b.lent.count(b.updated))
	b.level = min(b.level, max(0, room))
}

// countAsker records that a node asks and returns the number of nodes that did lately.
func (b *bucket) countAsker(now time.Time, node string) int {
	if b.askers == nil {
		b.askers = make(map[string]time.Time)
	}
	if _, ok := b.askers[node]; ok || len(b.askers) < maxAskers {
		b.askers[node] = now
	}
	n := 0
	for name, at := range b.askers {
		if now.Sub(at) > 2*maxHint {
			delete(b.askers, name)
			continue
		}
		n++
	}
	return max(1, n)
}
