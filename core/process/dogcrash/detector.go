package dogcrash

import (
	"fmt"
	"time"
)

// Content identifies what a request asks for. The zero Content is not tracked.
type Content struct {
	Shared uint64 // Digest of method, path and body.
	Own    uint64 // Digest of the same and the caller.
}

// sharedThreshold is the number of crashes after which a content is quarantined for all
// callers. It exceeds quarantineThreshold, so that a content that crashes targets only
// for one caller is quarantined for that caller.
const sharedThreshold = quarantineThreshold + 1

// Detector finds the contents that crash targets, from the requests to the target beside
// one node and the reports of all nodes. It counts each content twice, for its caller
// and for all callers, because either can be what crashes targets. It is not safe for
// concurrent use.
type Detector struct {
	name              string
	clearances        int // Reports of cleared contents so far.
	own, shared       *Guard
	ownTab, sharedTab *Table
}

// NewDetector returns the detector of a node without requests and reports. The process
// must be unique among all processes of the node.
func NewDetector(node, process string) *Detector {
	name := node + idSeparator + process
	return &Detector{
		name: name, own: NewGuard(name), shared: NewGuard(name + "/shared"),
		ownTab: NewTable(node, quarantineThreshold), sharedTab: NewTable(node, sharedThreshold),
	}
}

// Start records that a request with this id and content is sent to the target.
func (d *Detector) Start(now time.Time, id string, c Content) {
	d.own.Start(now, id, c.Own)
	d.shared.Start(now, id, c.Shared)
}

// End records the end of a request; unanswered reports whether its connection broke
// before the answer.
func (d *Detector) End(now time.Time, id string, unanswered bool) {
	d.own.End(now, id, unanswered)
	d.shared.End(now, id, unanswered)
}

// Crash is a crash of the target beside a node.
type Crash struct {
	InProgress int      // Contents that could be the cause.
	Completed  int      // Those that had completed since their last crash.
	LeftOut    int      // Those beyond the bound of a report.
	Reports    []Report // For the other nodes.
}

// RecordCrash records a crash of the target beside this node, and returns what to tell
// the other nodes.
func (d *Detector) RecordCrash(now time.Time) Crash {
	var c Crash
	if r, ok := d.own.RecordCrash(now); ok {
		c.InProgress = len(r.Digests)
		r = d.ownTab.Split(r)
		c.Completed = len(r.Doubtful)
		r = r.Newest()
		c.LeftOut = c.InProgress - len(r.Digests) - len(r.Doubtful)
		c.Reports = append(c.Reports, r)
	}
	if r, ok := d.shared.RecordCrash(now); ok {
		r = d.sharedTab.Split(r).Newest()
		r.Shared = true
		c.Reports = append(c.Reports, r)
	}
	return c
}

// Knows reports whether a report was added before.
func (d *Detector) Knows(r Report) bool { return d.table(r).knows(r) }

// table returns the table for a report.
func (d *Detector) table(r Report) *Table {
	if r.Shared {
		return d.sharedTab
	}
	return d.ownTab
}

// AddReport adds the report of any node. It returns the digest that is quarantined
// because of it, 0 if there is none.
func (d *Detector) AddReport(now time.Time, r Report) uint64 {
	return d.table(r).AddReport(now, r)
}

// Settle decides on contents that were suspected together with others, and returns the
// digests that are quarantined.
func (d *Detector) Settle(now time.Time) []uint64 {
	var out []uint64
	for _, t := range []*Table{d.ownTab, d.sharedTab} {
		if digest := t.Settle(now); digest != 0 {
			out = append(out, digest)
		}
	}
	return out
}

// RecordCompletion records that a target has completed a content. It returns what to
// tell the other nodes, which is nothing unless the content was quarantined.
func (d *Detector) RecordCompletion(c Content) []Report {
	var out []Report
	if d.ownTab.RecordCompletion(c.Own) {
		out = append(out, d.clearance(c.Own, false))
	}
	if d.sharedTab.RecordCompletion(c.Shared) {
		out = append(out, d.clearance(c.Shared, true))
	}
	return out
}

func (d *Detector) clearance(digest uint64, shared bool) Report {
	d.clearances++
	return Report{ID: fmt.Sprint(d.name, "/cleared/", d.clearances), Shared: shared, Cleared: []uint64{digest}}
}

// HasCompleted reports whether a target is known to have completed a content, for this
// caller. A node that knows it can vouch for the content as long as it does not
// quarantine it itself.
func (d *Detector) HasCompleted(c Content) bool {
	return d.ownTab.HasCompleted(c.Own) && d.sharedTab.HasCompleted(c.Shared)
}

// QuarantineRemaining returns how much longer a content is refused, 0 if it is not
// quarantined.
func (d *Detector) QuarantineRemaining(now time.Time, c Content) time.Duration {
	return max(d.ownTab.QuarantineRemaining(now, c.Own), d.sharedTab.QuarantineRemaining(now, c.Shared))
}

// deciding returns the table and the digest that decide on a test of a content: those for
// all callers, if the content is refused to all. It returns false if there is nothing to
// test yet.
func (d *Detector) deciding(now time.Time, c Content) (*Table, uint64, bool) {
	_, own := d.ownTab.Tester(now, c.Own)
	_, shared := d.sharedTab.Tester(now, c.Shared)
	switch {
	case shared && (own || d.ownTab.QuarantineRemaining(now, c.Own) == 0):
		return d.sharedTab, c.Shared, true
	case own && d.sharedTab.QuarantineRemaining(now, c.Shared) == 0:
		return d.ownTab, c.Own, true
	}
	return nil, 0, false
}

// Tester returns the node that is to find out whether a quarantined content still crashes
// targets; false as long as nobody is to try.
func (d *Detector) Tester(now time.Time, c Content) (string, bool) {
	t, digest, ok := d.deciding(now, c)
	if !ok {
		return "", false
	}
	return t.Tester(now, digest)
}

// Ask reports whether this node may ask the tester of a content to test it.
func (d *Detector) Ask(now time.Time, c Content) bool {
	t, digest, ok := d.deciding(now, c)
	return ok && t.Ask(now, digest)
}

// Test reports whether this node may send a quarantined content to its target once, to find
// out whether it still crashes targets. The caller names the tester.
func (d *Detector) Test(now time.Time, c Content, tester string) bool {
	t, digest, ok := d.deciding(now, c)
	return ok && t.Test(now, digest, tester)
}
