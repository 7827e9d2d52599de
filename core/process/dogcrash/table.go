package dogcrash

import (
	"slices"
	"time"
)

const (
	// convicting is the number of crashes after which a content is
	// quarantined. Two crashes of targets that die for another reason can
	// share an innocent content that has not completed yet.
	convicting = 3
	// firstQuarantine is the length of the first quarantine of a content. It is
	// short, as an innocent content that was in progress at the same crashes
	// cannot show that it completes meanwhile. One crash after it leads to the
	// next quarantine, which is quarantineGrowth times as long.
	firstQuarantine  = 30 * time.Second
	quarantineGrowth = 20
	// remembered is the time for which a crash counts. It exceeds the second
	// quarantine.
	remembered = 20 * time.Minute
	// maxReports bounds the reports that are kept, the latest ones.
	maxReports = 512
	// maxCompleted bounds the contents that are known to complete. The oldest
	// half is forgotten beyond it.
	maxCompleted = 1 << 14
)

// Table holds the crashes of all targets that one node knows of.
type Table struct {
	reports map[string]time.Time // Arrival by name of the crash.
	order   []string             // Names by arrival.
	counts  map[uint64]*count
	// completed and before are two generations of contents that completed.
	completed, before map[uint64]struct{}
}

type count struct {
	crashes int
	last    time.Time
	length  time.Duration // Of the present or the last quarantine; 0 if there was none.
	until   time.Time     // End of the quarantine.
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{
		reports: make(map[string]time.Time), counts: make(map[uint64]*count),
		completed: make(map[uint64]struct{}), before: make(map[uint64]struct{}),
	}
}

// Report takes the report of a crash. It returns the content that is
// quarantined because of it, 0 if there is none. If several contents could be
// to blame none is: those that are innocent complete before long. A report that
// is known already is ignored.
func (t *Table) Report(now time.Time, r Report) uint64 {
	if _, known := t.reports[r.ID]; known {
		return 0
	}
	t.expire(now)
	t.reports[r.ID] = now
	t.order = append(t.order, r.ID)
	var suspects []uint64
	for _, d := range r.Digests {
		c := t.counts[d]
		if c == nil {
			c = &count{}
			t.counts[d] = c
		}
		c.crashes++
		c.last = now
		if c.crashes >= convicting && !t.Known(d) {
			suspects = append(suspects, d)
		}
	}
	if len(suspects) != 1 || t.Quarantined(now, suspects[0]) > 0 {
		return 0
	}
	t.counts[suspects[0]].quarantine(now)
	return suspects[0]
}

// quarantine starts a quarantine.
func (c *count) quarantine(now time.Time) {
	if c.length == 0 {
		c.length = firstQuarantine
	} else {
		c.length = firstQuarantine * quarantineGrowth
	}
	c.until = now.Add(c.length)
}

// expire forgets what no longer counts.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && (len(t.order) >= maxReports || now.Sub(t.reports[t.order[0]]) >= remembered) {
		delete(t.reports, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
	for d, c := range t.counts {
		if now.Sub(c.last) >= remembered {
			delete(t.counts, d)
		}
	}
}

// Completed records that a target completed a content.
func (t *Table) Completed(digest uint64) {
	if digest == 0 {
		return
	}
	t.completed[digest] = struct{}{}
	if len(t.completed) >= maxCompleted/2 {
		t.before, t.completed = t.completed, make(map[uint64]struct{})
	}
}

// Known reports whether a target is known to have completed a content.
func (t *Table) Known(digest uint64) bool {
	if _, ok := t.completed[digest]; ok {
		return true
	}
	_, ok := t.before[digest]
	return ok
}

// Unknown returns r without the contents that are known to complete. A node
// reports only what is left, as nodes that have just started know of nothing
// that completed.
func (t *Table) Unknown(r Report) Report {
	r.Digests = slices.DeleteFunc(slices.Clone(r.Digests), t.Known)
	return r
}

// Quarantined returns how much longer a content is refused, 0 if it is not.
func (t *Table) Quarantined(now time.Time, digest uint64) time.Duration {
	c := t.counts[digest]
	if c == nil || t.Known(digest) {
		return 0
	}
	return max(0, c.until.Sub(now))
}
