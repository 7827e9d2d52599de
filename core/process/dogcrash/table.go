package dogcrash

import (
	"cmp"
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
	// lateFactor times the threshold is the number of crashes after which a content is
	// quarantined that does not crash its target when it begins to run.
	lateFactor = 2
	// completedFactor times the threshold is that of a content that has completed
	// earlier.
	completedFactor = 2
	// settleTime is the time in which harmless contents among several suspected ones
	// complete somewhere.
	settleTime = time.Second
	// holdTime is the time after a quarantine for which a content is still refused by
	// all nodes but the one that tests it. If no test ends, the content is free again
	// after it.
	holdTime = 10 * time.Minute
	// askInterval is the time after which a node asks the tester of a content again to
	// test it.
	askInterval = 5 * time.Second
	// crashRetention is the time for which a crash counts. It exceeds the length
	// of the second quarantine and holdTime.
	crashRetention = 40 * time.Minute
	// maxReports bounds the number of reports kept, which are the latest.
	maxReports = 512
	// maxCompleted bounds the number of contents known to have completed. Beyond
	// it the oldest half is dropped.
	maxCompleted = 1 << 14
)

// Table holds the crashes of all targets that are known to one node.
type Table struct {
	node      string            // Name of this node.
	threshold int               // Crashes after which a content is quarantined.
	reports   map[string]known  // By ID of the crash.
	order     []string          // IDs in order of arrival.
	counts    map[uint64]*count // By digest.
	// completed and olderCompleted are two generations of the contents that
	// completed. When completed is full, it replaces olderCompleted.
	completed, olderCompleted map[uint64]struct{}
}

// known is a report that the table has.
type known struct {
	at     time.Time // Time of arrival.
	report Report
}

// count holds what is known of one content since it last completed.
type count struct {
	crashes int       // Crashes that no quarantined content explains.
	recent  int       // Those at which the content was among the requests that started last.
	last    time.Time // Last crash with the content in progress.
	doubted bool      // In progress at a crash, and not completed since.
	// suspected is the time since when the content and others could be the cause of
	// their crashes; zero if it could not, or is quarantined.
	suspected time.Time
	length    time.Duration // Of the current or last quarantine; 0 if there was none.
	until     time.Time     // End of the quarantine.
	// testerReport is the ID of the report whose node may send the content to its target
	// once when the quarantine ends, and testAt the time from which it may do so. It is
	// the last one by ID, whatever the order of arrival, so that all nodes agree.
	testerReport string
	testAt       time.Time
	askAt        time.Time // Time from which this node may ask the tester to test the content.
}

// NewTable returns the table of a node without reports, which quarantines a content
// after threshold crashes.
func NewTable(node string, threshold int) *Table {
	return &Table{
		node: node, threshold: threshold,
		reports: make(map[string]known), counts: make(map[uint64]*count),
		completed: make(map[uint64]struct{}), olderCompleted: make(map[uint64]struct{}),
	}
}

// AddReport adds the report of a crash. It returns the digest of the content that is
// quarantined because of it, 0 if there is none. If several contents could be the
// cause, it is the one that was most often among the requests that started last;
// between equals, Settle decides after the harmless ones had time to complete. A
// report that is already known is ignored.
func (t *Table) AddReport(now time.Time, r Report) uint64 {
	if t.knows(r) {
		return 0
	}
	t.expire(now)
	t.reports[r.ID] = known{at: now, report: r}
	t.order = append(t.order, r.ID)
	for _, d := range r.Doubtful {
		t.doubt(now, d)
	}
	for _, d := range r.Cleared {
		t.RecordCompletion(d)
	}
	explained := slices.ContainsFunc(r.recent(), func(d uint64) bool { return t.QuarantineRemaining(now, d) > 0 })
	var suspects []uint64
	for i, d := range r.Digests {
		c := t.doubt(now, d)
		if r.ID > c.testerReport {
			c.testerReport = r.ID
		}
		if explained && c.length == 0 {
			continue
		}
		c.crashes++
		if i < len(r.recent()) {
			c.recent++
		}
		if t.isSuspect(d, c) && !c.quarantined(now) {
			suspects = append(suspects, d)
		}
	}
	return t.decide(now, suspects)
}

func (t *Table) knows(r Report) bool {
	_, ok := t.reports[r.ID]
	return ok
}

// isSuspect reports whether the content may be the cause of its crashes. A content that
// completed earlier needs more of them: it is popular and often in progress.
func (t *Table) isSuspect(digest uint64, c *count) bool {
	threshold := t.threshold
	if t.HasCompleted(digest) {
		threshold *= completedFactor
	}
	return c.recent >= threshold || c.crashes >= lateFactor*threshold
}

// decide quarantines the most probable cause among suspects and returns its digest. If
// none is more probable than the others, it returns 0 and leaves them to Settle.
func (t *Table) decide(now time.Time, suspects []uint64) uint64 {
	slices.SortFunc(suspects, t.compareSuspects)
	switch {
	case len(suspects) == 0:
		return 0
	case len(suspects) == 1, t.counts[suspects[0]].recent > t.counts[suspects[1]].recent:
		t.quarantine(now, suspects[0])
		return suspects[0]
	}
	for _, d := range suspects {
		if c := t.counts[d]; c.suspected.IsZero() {
			c.suspected = now
		}
	}
	return 0
}

// compareSuspects orders suspects by how probably they are the cause, the most probable
// one first.
func (t *Table) compareSuspects(a, b uint64) int {
	x, y := t.counts[a], t.counts[b]
	return cmp.Or(cmp.Compare(y.recent, x.recent), cmp.Compare(y.crashes, x.crashes), cmp.Compare(a, b))
}

// Settle quarantines the most probable cause among the contents that have been
// suspected for settleTime and have not completed meanwhile, and returns its digest, 0
// if there is none.
func (t *Table) Settle(now time.Time) uint64 {
	var due []uint64
	for d, c := range t.counts {
		if !c.suspected.IsZero() && now.Sub(c.suspected) >= settleTime {
			due = append(due, d)
		}
	}
	if len(due) == 0 {
		return 0
	}
	slices.SortFunc(due, t.compareSuspects)
	t.quarantine(now, due[0])
	return due[0]
}

// quarantine quarantines a content. It explains the crashes at which it was among the
// requests that started last, so that they no longer count for other contents.
func (t *Table) quarantine(now time.Time, digest uint64) {
	t.counts[digest].quarantine(now)
	for _, k := range t.reports {
		recent := k.report.recent()
		if !slices.Contains(recent, digest) {
			continue
		}
		for i, d := range k.report.Digests {
			if c := t.counts[d]; c != nil && d != digest {
				t.explain(d, c, i < len(recent))
			}
		}
	}
}

// explain takes back one crash of a content; recent tells whether the content was
// among the requests that started last.
func (t *Table) explain(digest uint64, c *count, recent bool) {
	c.crashes = max(0, c.crashes-1)
	if recent {
		c.recent = max(0, c.recent-1)
	}
	if !t.isSuspect(digest, c) {
		c.suspected = time.Time{}
	}
}

func (c *count) quarantined(now time.Time) bool { return now.Before(c.until) }

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
	c.testAt = c.until
	c.suspected = time.Time{}
}

// expire removes the reports and counts that have expired, and the oldest reports
// until there is room for another.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && (len(t.order) >= maxReports || now.Sub(t.reports[t.order[0]].at) >= crashRetention) {
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
// digest. The crashes before it no longer count, and a quarantine ends. It reports
// whether the content was quarantined, so that the other nodes must hear of it.
func (t *Table) RecordCompletion(digest uint64) bool {
	if digest == 0 {
		return false
	}
	c := t.counts[digest]
	delete(t.counts, digest)
	t.completed[digest] = struct{}{}
	if len(t.completed) >= maxCompleted/2 {
		t.olderCompleted, t.completed = t.completed, make(map[uint64]struct{})
	}
	return c != nil && c.length > 0
}

// completedSince reports whether a target is known to have completed a content since
// the last crash at which it was in progress.
func (t *Table) completedSince(digest uint64) bool {
	c := t.counts[digest]
	return t.HasCompleted(digest) && (c == nil || !c.doubted)
}

// HasCompleted reports whether a target is known to have completed a content at any
// time.
func (t *Table) HasCompleted(digest uint64) bool {
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
	recent := 0
	for i, d := range r.Digests {
		if t.completedSince(d) {
			doubtful = append(doubtful, d)
			continue
		}
		suspects = append(suspects, d)
		if i < r.Recent {
			recent++
		}
	}
	r.Digests, r.Recent, r.Doubtful = suspects, recent, doubtful
	return r
}

// QuarantineRemaining returns how much longer a content is refused, 0 if it is not
// quarantined. After the quarantine it is refused for holdTime more, except for the one
// request that Test lets pass.
func (t *Table) QuarantineRemaining(now time.Time, digest uint64) time.Duration {
	c := t.counts[digest]
	switch {
	case c == nil, c.length == 0, !now.Before(c.until.Add(holdTime)):
		return 0
	case c.quarantined(now):
		return c.until.Sub(now)
	}
	return min(firstQuarantine, c.until.Add(holdTime).Sub(now))
}

// Tester returns the node that is to find out whether a content still crashes targets,
// once its quarantine is over; false before, and if the content is not refused.
func (t *Table) Tester(now time.Time, digest uint64) (string, bool) {
	if t.QuarantineRemaining(now, digest) == 0 || t.counts[digest].quarantined(now) {
		return "", false
	}
	return reporter(t.counts[digest].testerReport), true
}

// Ask reports whether this node may ask the tester of a content to test it, which it may
// do once in askInterval.
func (t *Table) Ask(now time.Time, digest uint64) bool {
	if _, ok := t.Tester(now, digest); !ok || now.Before(t.counts[digest].askAt) {
		return false
	}
	t.counts[digest].askAt = now.Add(askInterval)
	return true
}

// Test reports whether this node may send a content to its target once, to find out whether
// it still crashes targets. Of all nodes only the tester may do so, because the others
// would not hear of the next crash before they send it too. The caller names the tester, as
// another node takes its place if it is gone.
func (t *Table) Test(now time.Time, digest uint64, tester string) bool {
	if _, ok := t.Tester(now, digest); !ok || tester != t.node || now.Before(t.counts[digest].testAt) {
		return false
	}
	t.counts[digest].testAt = now.Add(firstQuarantine)
	return true
}
