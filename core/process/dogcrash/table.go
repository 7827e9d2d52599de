package dogcrash

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of crashes after which a content is
	// quarantined. It exceeds two, as two crashes with another cause can share a
	// harmless content that has not completed yet.
	quarantineThreshold = 3
	// firstQuarantine is the length of the first quarantine of a content. It is
	// short, as a harmless content that was in progress at the same crashes
	// cannot complete, and so be cleared, while it is quarantined. One more crash
	// leads to the next quarantine, which is quarantineGrowth times as long.
	firstQuarantine  = 30 * time.Second
	quarantineGrowth = 20
	// crashRetention is the time for which a crash counts. It exceeds the length
	// of the second quarantine.
	crashRetention = 20 * time.Minute
	// maxReports bounds the number of reports kept, which are the latest.
	maxReports = 512
	// maxCompleted bounds the number of contents known to have completed. Beyond
	// it the oldest half is dropped.
	maxCompleted = 1 << 14
)

// Table holds the crashes of all targets that are known to one node.
type Table struct {
	reports map[string]time.Time // Time of arrival, by ID of the crash.
	order   []string             // IDs in order of arrival.
	counts  map[uint64]*count    // By digest.
	// completed and olderCompleted are two generations of the contents that
	// completed. When completed is full, it replaces olderCompleted.
	completed, olderCompleted map[uint64]struct{}
}

// count holds what is known of one content since it last completed.
type count struct {
	crashes int
	last    time.Time     // Last crash with the content in progress.
	doubted bool          // In progress at a crash, and not completed since.
	length  time.Duration // Of the current or last quarantine; 0 if there was none.
	until   time.Time     // End of the quarantine.
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{
		reports: make(map[string]time.Time), counts: make(map[uint64]*count),
		completed: make(map[uint64]struct{}), olderCompleted: make(map[uint64]struct{}),
	}
}

// AddReport adds the report of a crash. It returns the digest of the content that is
// quarantined because of it, 0 if there is none. If several contents could be the
// cause, none is quarantined: the harmless ones complete before long. A report
// that is already known is ignored.
func (t *Table) AddReport(now time.Time, r Report) uint64 {
	if _, known := t.reports[r.ID]; known {
		return 0
	}
	t.expire(now)
	t.reports[r.ID] = now
	t.order = append(t.order, r.ID)
	for _, d := range r.Doubtful {
		t.doubt(now, d)
	}
	var suspects []uint64
	for _, d := range r.Digests {
		c := t.doubt(now, d)
		c.crashes++
		if c.crashes >= quarantineThreshold {
			suspects = append(suspects, d)
		}
	}
	if len(suspects) != 1 || t.QuarantineRemaining(now, suspects[0]) > 0 {
		return 0
	}
	t.counts[suspects[0]].quarantine(now)
	return suspects[0]
}

// doubt records that a content was in progress at a crash.
func (t *Table) doubt(now time.Time, digest uint64) *count {
	c := t.counts[digest]
	if c == nil {
		c = &count{}
		t.counts[digest] = c
	}
	c.last, c.doubted = now, true
	return c
}

// quarantine starts the first or a further quarantine.
func (c *count) quarantine(now time.Time) {
	if c.length == 0 {
		c.length = firstQuarantine
	} else {
		c.length = firstQuarantine * quarantineGrowth
	}
	c.until = now.Add(c.length)
}

// expire removes the reports and counts that have expired, and the oldest reports
// until there is room for another.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && (len(t.order) >= maxReports || now.Sub(t.reports[t.order[0]]) >= crashRetention) {
		delete(t.reports, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
	for d, c := range t.counts {
		if now.Sub(c.last) >= crashRetention {
			delete(t.counts, d)
		}
	}
}

// RecordCompletion records that a target has completed the content with this
// digest. The crashes before it no longer count, and a quarantine ends.
func (t *Table) RecordCompletion(digest uint64) {
	if digest == 0 {
		return
	}
	delete(t.counts, digest)
	t.completed[digest] = struct{}{}
	if len(t.completed) >= maxCompleted/2 {
		t.olderCompleted, t.completed = t.completed, make(map[uint64]struct{})
	}
}

// HasCompleted reports whether a target is known to have completed a content since
// the last crash at which it was in progress.
func (t *Table) HasCompleted(digest uint64) bool {
	if c := t.counts[digest]; c != nil && c.doubted {
		return false
	}
	if _, ok := t.completed[digest]; ok {
		return true
	}
	_, ok := t.olderCompleted[digest]
	return ok
}

// Split returns r with the contents that are known to have completed since their
// last crash in Doubtful. They are most probably harmless, so that the first crash
// does not count for them; but a content may begin to crash targets at any time, as
// after a release of the target.
func (t *Table) Split(r Report) Report {
	var suspects, doubtful []uint64
	for _, d := range r.Digests {
		if t.HasCompleted(d) {
			doubtful = append(doubtful, d)
		} else {
			suspects = append(suspects, d)
		}
	}
	r.Digests, r.Doubtful = suspects, doubtful
	return r
}

// QuarantineRemaining returns how much longer a content is refused, 0 if it is not
// quarantined.
func (t *Table) QuarantineRemaining(now time.Time, digest uint64) time.Duration {
	c := t.counts[digest]
	if c == nil {
		return 0
	}
	return max(0, c.until.Sub(now))
}
