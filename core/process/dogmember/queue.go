package dogmember

import "math/bits"

// queue holds the updates that wait to be piggybacked on messages. Each is sent
// sendLimit times. Those sent least often are sent first, and of these the
// newest, so that a burst does not delay later updates.
type queue struct {
	size    func(Update) int
	limit   int
	byKey   map[string]*queued
	buckets [][]*queued // Indexed by the number of times sent.
}

type queued struct {
	update  Update
	bytes   int
	sent    int
	removed bool
}

func newQueue(size func(Update) int, limit int) *queue {
	return &queue{size: size, limit: limit, byKey: map[string]*queued{}}
}

// sendLimit returns how often an update is sent in a fleet of n nodes. Push-pull
// gossip reaches all but a few nodes in about log2(n) rounds; the comparison of
// hashes repairs the rest.
func sendLimit(n int) int { return max(2, bits.Len(uint(n))) }

// add queues an update in place of an older one with the same key. It returns
// false if the queue is full or the update cannot be sent.
func (q *queue) add(u Update) bool {
	bytes := q.size(u)
	if bytes <= 0 {
		return false
	}
	if old := q.byKey[u.Key]; old != nil {
		q.drop(old)
	}
	if len(q.byKey) >= q.limit {
		return false
	}
	it := &queued{update: u, bytes: bytes}
	q.byKey[u.Key] = it
	q.push(0, it)
	return true
}

func (q *queue) drop(it *queued) {
	it.removed = true
	delete(q.byKey, it.update.Key)
}

func (q *queue) push(sent int, it *queued) {
	for len(q.buckets) <= sent {
		q.buckets = append(q.buckets, nil)
	}
	q.buckets[sent] = append(q.buckets[sent], it)
}

// take returns updates of at most budget bytes in total, counts them as sent in
// a fleet of the given number of members, and returns the bytes left over. A
// single update that exceeds the budget is returned alone, as it would otherwise
// never be sent.
func (q *queue) take(budget, members int) ([]Update, int) {
	if len(q.byKey) == 0 {
		return nil, budget
	}
	var out []Update
	var moved []*queued
	for sent := range q.buckets {
		var kept []*queued
		b := q.buckets[sent]
		i := len(b) - 1
		for ; i >= 0 && budget > 0; i-- {
			it := b[i]
			switch {
			case it.removed:
			case it.bytes > budget && len(out) > 0:
				kept = append(kept, it)
				// Smaller updates further down may fit, but searching a
				// long bucket for them costs more than it gains.
				budget = 0
			default:
				budget -= it.bytes
				out = append(out, it.update)
				moved = append(moved, it)
			}
		}
		q.buckets[sent] = append(b[:i+1], kept...)
		if budget <= 0 {
			break
		}
	}
	limit := sendLimit(members)
	for _, it := range moved {
		it.sent++
		if it.sent >= limit {
			q.drop(it)
			continue
		}
		q.push(it.sent, it)
	}
	return out, budget
}

// countAsSent counts a queued update as sent once more, after a peer has sent the
// same update.
func (q *queue) countAsSent(key string) {
	it := q.byKey[key]
	if it == nil {
		return
	}
	it.removed = true
	next := &queued{update: it.update, bytes: it.bytes, sent: it.sent + 1}
	q.byKey[key] = next
	q.push(next.sent, next)
}

func (q *queue) len() int { return len(q.byKey) }
