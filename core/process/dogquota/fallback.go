package dogquota

import "time"

// fallbackRate is the share of the rate that the fallback buckets of all nodes have
// together.
const fallbackRate = 0.5

// fallbackBucket is the token bucket that one node uses while no lender answers.
type fallbackBucket struct {
	rate, room, level float64
	updated           time.Time
}

// fallbackLimit returns the size of the fallback bucket of a node, and its first level.
// The levels of all nodes are spread over one token, so that together they yield the rate
// also where a node takes many seconds to fill a token.
func (b *Borrower) fallbackLimit(l Limit) fallbackBucket {
	n := float64(b.nodes)
	room := max(1, l.Burst/n)
	first := fallbackShare * b.opts.Bound.margin(l) / n
	return fallbackBucket{
		rate: fallbackRate * l.Rate / n, room: room,
		level: min(b.opts.Rand.Float64()+first, max(room, first)),
	}
}

// begin starts to use the bucket. It keeps its level if it was used a short time ago, so
// that a lender that is lost repeatedly does not yield first levels each time.
func (f *fallbackBucket) begin(now time.Time, fresh fallbackBucket) {
	if !f.updated.IsZero() && now.Sub(f.updated) < fallbackMemory {
		f.updated = now
		return
	}
	*f = fresh
	f.updated = now
}

func (f *fallbackBucket) take(now time.Time) bool {
	if elapsed := now.Sub(f.updated); elapsed > 0 {
		f.level = min(f.level+f.rate*elapsed.Seconds(), max(f.room, f.level))
		f.updated = now
	}
	if f.level < 1 {
		return false
	}
	f.level--
	return true
}

func (f *fallbackBucket) giveBack() { f.level = min(f.level+1, max(f.room, f.level)) }
