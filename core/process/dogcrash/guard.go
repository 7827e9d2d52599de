package dogcrash

import (
	"fmt"
	"slices"
	"time"
)

const (
	// brokenWindow is the time for which a request that ended without an answer
	// counts as a possible cause of a crash that is detected later. Connections
	// break before the target refuses new ones or its replacement sends a
	// heartbeat.
	brokenWindow = 5 * time.Second
	// MaxDigests bounds the digests of one report. Those of requests whose
	// connection broke take precedence.
	MaxDigests = 64
)

// Report lists the contents that were in progress at one crash of a target.
type Report struct {
	ID      string   `json:"id"` // Unique name of the crash.
	Digests []uint64 `json:"digests"`
}

// Equal reports whether r and other have the same ID and digests.
func (r Report) Equal(other Report) bool {
	return r.ID == other.ID && slices.Equal(r.Digests, other.Digests)
}

// Guard tracks the requests that may crash one target.
type Guard struct {
	name    string
	running map[string]uint64
	broken  []broken // Requests that ended without an answer, by time.
	crashes int
}

type broken struct {
	digest uint64
	at     time.Time
}

// NewGuard returns a guard with nothing in progress. The name becomes part of the
// IDs of its reports and must be unique to one process of one node.
func NewGuard(name string) *Guard { return &Guard{name: name, running: make(map[string]uint64)} }

// Start records that a request with this id and digest is sent to the target.
// Requests with a zero digest are not tracked.
func (g *Guard) Start(id string, digest uint64) {
	if digest != 0 {
		g.running[id] = digest
	}
}

// End records the end of a request; unanswered reports whether its connection broke
// before the answer.
func (g *Guard) End(now time.Time, id string, unanswered bool) {
	digest, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	g.dropOldBroken(now)
	if unanswered {
		g.broken = append(g.broken, broken{digest: digest, at: now})
	}
}

// dropOldBroken removes the requests from g.broken that ended at least
// brokenWindow ago.
func (g *Guard) dropOldBroken(now time.Time) {
	g.broken = slices.DeleteFunc(g.broken, func(b broken) bool { return now.Sub(b.at) >= brokenWindow })
}

// RecordCrash returns the report of a crash of the target and ends all requests in
// progress. It returns false if there was none that could be the cause.
func (g *Guard) RecordCrash(now time.Time) (Report, bool) {
	g.dropOldBroken(now)
	var digests []uint64
	for _, b := range g.broken {
		digests = append(digests, b.digest)
	}
	for _, d := range g.running {
		digests = append(digests, d)
	}
	digests = digests[:min(len(digests), MaxDigests)]
	slices.Sort(digests)
	digests = slices.Compact(digests)
	g.broken = nil
	clear(g.running)
	if len(digests) == 0 {
		return Report{}, false
	}
	g.crashes++
	return Report{ID: fmt.Sprintf("%s/%d", g.name, g.crashes), Digests: digests}, true
}
