package dogcrash

import "time"

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
	own, shared       *Guard
	ownTab, sharedTab *Table
}

// NewDetector returns a detector without requests and reports. The name becomes part of
// the IDs of its reports and must be unique to one process of one node.
func NewDetector(name string) *Detector {
	return &Detector{
		own: NewGuard(name), shared: NewGuard(name + "/shared"),
		ownTab: NewTable(quarantineThreshold), sharedTab: NewTable(sharedThreshold),
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

// AddReport adds the report of any node. It returns the digest that is quarantined
// because of it, 0 if there is none.
func (d *Detector) AddReport(now time.Time, r Report) uint64 {
	if r.Shared {
		return d.sharedTab.AddReport(now, r)
	}
	return d.ownTab.AddReport(now, r)
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

// RecordCompletion records that a target has completed a content.
func (d *Detector) RecordCompletion(c Content) {
	d.ownTab.RecordCompletion(c.Own)
	d.sharedTab.RecordCompletion(c.Shared)
}

// HasCompleted reports whether a target is known to have completed a content since the
// last crash at which it was in progress, for this caller or another.
func (d *Detector) HasCompleted(c Content) bool {
	return d.ownTab.HasCompleted(c.Own) && d.sharedTab.HasCompleted(c.Shared)
}

// QuarantineRemaining returns how much longer a content is refused, 0 if it is not
// quarantined.
func (d *Detector) QuarantineRemaining(now time.Time, c Content) time.Duration {
	return max(d.ownTab.QuarantineRemaining(now, c.Own), d.sharedTab.QuarantineRemaining(now, c.Shared))
}
