package dogcrash

import (
	"fmt"
	"slices"
	"time"
)

const (
	// brokenFor is the time for which a request that ended without an answer
	// may be to blame for a crash that is noticed later. Connections break
	// before the target refuses new ones or sends a heartbeat as another one.
	brokenFor = 5 * time.Second
	// MaxDigests bounds the digests of one report. Those of requests that
	// broke come first.
	MaxDigests = 64
)

// Report tells which contents were in progress at one crash of a target.
type Report struct {
	ID      string   `json:"id"` // Names the crash.
	Digests []uint64 `json:"digests"`
}

// Equal reports whether r and other say the same.
func (r Report) Equal(other Report) bool {
	return r.ID == other.ID && slices.Equal(r.Digests, other.Digests)
}

// Guard remembers the requests that may crash one target.
type Guard struct {
	name    string
	running map[string]uint64
	broken  []broken // By time.
	crashes int
}

type broken struct {
	digest uint64
	at     time.Time
}

// NewGuard returns a guard with nothing in progress. name is part of the names
// of its reports and must be unique to one start of one node.
func NewGuard(name string) *Guard { return &Guard{name: name, running: make(map[string]uint64)} }

// Start records that a request with this id and content is sent to the target.
// A zero digest is not followed.
func (g *Guard) Start(id string, digest uint64) {
	if digest != 0 {
		g.running[id] = digest
	}
}

// End records the end of a request. unanswered tells that its connection broke.
func (g *Guard) End(now time.Time, id string, unanswered bool) {
	digest, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	g.forget(now)
	if unanswered {
		g.broken = append(g.broken, broken{digest: digest, at: now})
	}
}

func (g *Guard) forget(now time.Time) {
	g.broken = slices.DeleteFunc(g.broken, func(b broken) bool { return now.Sub(b.at) >= brokenFor })
}

// Crashed returns the report of a crash of the target, and forgets what was in
// progress. It returns false if nothing was.
func (g *Guard) Crashed(now time.Time) (Report, bool) {
	g.forget(now)
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
