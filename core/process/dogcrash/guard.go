package dogcrash

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// brokenWindow is the time for which a request that ended without an answer
	// counts as a possible cause of a crash that is detected later. Connections
	// break before the target refuses new ones or its replacement sends a
	// heartbeat.
	brokenWindow = 5 * time.Second
	// MaxDigests bounds each list of digests of one report.
	MaxDigests = 64
	// recentRequests is the number of requests that started last before a crash among
	// which its cause most probably is. A few may start between the cause and the
	// crash.
	recentRequests = 3
	// recentTime is the time from the start of a request to the first connection that
	// breaks, within which the request also counts as one of them. A busy target
	// starts several requests in the time that a node takes to notice.
	recentTime = 10 * time.Millisecond
)

// Report lists the contents that were in progress at one crash of a target, that of the
// request that started last first.
type Report struct {
	ID      string   `json:"id"`      // Unique name of the crash.
	Digests []uint64 `json:"digests"` // Contents that count.
	// Recent is the number of leading digests whose requests started shortly before
	// the crash.
	Recent int `json:"recent,omitempty"`
	// Shared tells whether the digests leave out the caller.
	Shared bool `json:"shared,omitempty"`
	// Doubtful are contents that had completed before at the node that reports.
	Doubtful []uint64 `json:"doubtful,omitempty"`
	// Cleared are contents that completed although they were quarantined. A report
	// that has them tells of no crash.
	Cleared []uint64 `json:"cleared,omitempty"`
}

// reporter returns the name of the node whose report has this ID.
func reporter(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// idSeparator separates the name of the node from the rest of the ID of a report.
const idSeparator = "/"

// recent returns the digests of the requests that started last.
func (r Report) recent() []uint64 {
	return r.Digests[:min(len(r.Digests), max(r.Recent, recentRequests))]
}

// Empty reports whether r names no content.
func (r Report) Empty() bool { return len(r.Digests) == 0 && len(r.Doubtful) == 0 }

// Bounded reports whether r is within the bounds of a report.
func (r Report) Bounded() bool {
	return len(r.Digests) <= MaxDigests && len(r.Doubtful) <= MaxDigests && len(r.Cleared) <= MaxDigests
}

// Newest returns r with the first MaxDigests digests of each list. A content crashes
// its target when it begins to run, so that the cause is most probably among the
// requests that started last.
func (r Report) Newest() Report {
	r.Digests = r.Digests[:min(len(r.Digests), MaxDigests)]
	r.Doubtful = r.Doubtful[:min(len(r.Doubtful), MaxDigests)]
	return r
}

// Equal reports whether r and other have the same ID and contents.
func (r Report) Equal(other Report) bool {
	return r.ID == other.ID && r.Recent == other.Recent && slices.Equal(r.Digests, other.Digests) &&
		slices.Equal(r.Doubtful, other.Doubtful) && slices.Equal(r.Cleared, other.Cleared)
}

// Guard tracks the requests that may crash one target.
type Guard struct {
	name    string
	running map[string]dispatch
	broken  []broken // Requests that ended without an answer, by time.
	started int      // Requests started so far.
	crashes int
}

// dispatch is one request that was sent to the target.
type dispatch struct {
	digest uint64
	order  int // Position among all requests that were started.
	at     time.Time
}

// broken is a request whose connection broke before the answer.
type broken struct {
	dispatch
	brokeAt time.Time
}

// NewGuard returns a guard with nothing in progress. The name becomes part of the
// IDs of its reports and must be unique to one process of one node.
func NewGuard(name string) *Guard { return &Guard{name: name, running: make(map[string]dispatch)} }

// Start records that a request with this id and digest is sent to the target.
// Requests with a zero digest are not tracked.
func (g *Guard) Start(now time.Time, id string, digest uint64) {
	if digest != 0 {
		g.started++
		g.running[id] = dispatch{digest: digest, order: g.started, at: now}
	}
}

// End records the end of a request; unanswered reports whether its connection broke
// before the answer.
func (g *Guard) End(now time.Time, id string, unanswered bool) {
	d, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	g.dropOldBroken(now)
	if unanswered {
		g.broken = append(g.broken, broken{dispatch: d, brokeAt: now})
	}
}

// dropOldBroken removes the requests from g.broken that ended at least
// brokenWindow ago.
func (g *Guard) dropOldBroken(now time.Time) {
	g.broken = slices.DeleteFunc(g.broken, func(b broken) bool { return now.Sub(b.brokeAt) >= brokenWindow })
}

// RecordCrash returns the report of a crash of the target and ends all requests in
// progress. The report has all distinct digests, that of the request that started
// last first. RecordCrash returns false if there was none that could be the cause.
func (g *Guard) RecordCrash(now time.Time) (Report, bool) {
	g.dropOldBroken(now)
	crashed := now
	if len(g.broken) > 0 {
		crashed = g.broken[0].brokeAt
	}
	last := make(map[uint64]dispatch) // Last request, by digest.
	for _, b := range g.broken {
		keepLast(last, b.dispatch)
	}
	for _, d := range g.running {
		keepLast(last, d)
	}
	g.broken = nil
	clear(g.running)
	if len(last) == 0 {
		return Report{}, false
	}
	digests := slices.SortedFunc(maps.Keys(last), func(a, b uint64) int { return cmp.Compare(last[b].order, last[a].order) })
	g.crashes++
	r := Report{ID: fmt.Sprintf("%s/%d", g.name, g.crashes), Digests: digests}
	for r.Recent < len(digests) && crashed.Sub(last[digests[r.Recent]].at) <= recentTime {
		r.Recent++
	}
	return r, true
}

// keepLast makes d the request of its digest, unless a later one is known.
func keepLast(last map[uint64]dispatch, d dispatch) {
	if d.order > last[d.digest].order {
		last[d.digest] = d
	}
}
