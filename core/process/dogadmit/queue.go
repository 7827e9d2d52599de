package dogadmit

import (
	"slices"
	"sort"
	"time"

	"dogwoodford"
)

// entry is a queued request and the time of its arrival.
type entry struct {
	r  dogwoodford.Request
	at time.Time
}

// queue holds requests by descending priority, and by arrival within a
// priority. It is short, so insertion into a slice is cheaper than a heap.
type queue struct {
	entries []entry
	ids     map[string]struct{}
}

func (q *queue) len() int { return len(q.entries) }

func (q *queue) has(id string) bool {
	_, ok := q.ids[id]
	return ok
}

// ahead returns the number of queued requests that are served before a new one
// of priority p.
func (q *queue) ahead(p dogwoodford.Priority) int {
	return sort.Search(len(q.entries), func(i int) bool { return q.entries[i].r.Priority() < p })
}

func (q *queue) push(now time.Time, r dogwoodford.Request) {
	if q.ids == nil {
		q.ids = make(map[string]struct{})
	}
	q.ids[r.ID()] = struct{}{}
	q.entries = slices.Insert(q.entries, q.ahead(r.Priority()), entry{r: r, at: now})
}

func (q *queue) popFirst() entry { return q.take(0) }

func (q *queue) take(i int) entry {
	e := q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	delete(q.ids, e.r.ID())
	return e
}

func (q *queue) remove(id string) bool {
	if !q.has(id) {
		return false
	}
	q.take(slices.IndexFunc(q.entries, func(e entry) bool { return e.r.ID() == id }))
	return true
}

// removeIf removes and returns the requests for which f is true, in order.
func (q *queue) removeIf(f func(entry) bool) []entry {
	var out []entry
	kept := q.entries[:0]
	for _, e := range q.entries {
		if f(e) {
			out = append(out, e)
			delete(q.ids, e.r.ID())
		} else {
			kept = append(kept, e)
		}
	}
	clear(q.entries[len(kept):])
	q.entries = kept
	return out
}
