package dogrange

import (
	"maps"
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Defaults of the durations in Config.
const (
	// DefaultWindow is how far ahead of the present time a window ends.
	DefaultWindow = 6 * time.Second
	// DefaultRenewInterval is the mean time between renewals. At a third
	// of the window, two successive renewals may be lost before it ends.
	DefaultRenewInterval = 2 * time.Second
	// DefaultCutoverLead is the time from the start of a planned handover to
	// its cutover. It is many times the few milliseconds that a platform write
	// and a message take.
	DefaultCutoverLead = 500 * time.Millisecond
	// DefaultMaxAhead is how far in the future the issue time of a key may lie.
	DefaultMaxAhead = 2 * time.Second
	// DefaultSettle is how long a preferred owner must stay ready before a
	// range moves to it.
	DefaultSettle = 10 * time.Second
)

// Config describes the node. A zero duration selects the default.
type Config struct {
	Node        string
	Incarnation uint64
	Service     string
	DataCentre  string
	Peer        string // IP address and port of the peer listener.

	Window, RenewInterval, CutoverLead, MaxAhead, Settle time.Duration
}

// Ranges is the state machine that manages the key ranges on one node. It is not
// safe for concurrent use.
type Ranges struct {
	cfg            Config
	rnd            *rand.Rand
	now            int64 // Time of the present event, in milliseconds since the Unix epoch.
	ops            int64
	out            []Action
	ranges         [dogwoodford.KeyRanges]*keyRange
	rows           map[string]*[dogwoodford.KeyRanges]Value // Replaced, never changed.
	members        map[string]Member                        // Replaced, never changed.
	ready          []Member                                 // Ready nodes of the own service.
	firstMembersAt int64                                    // Time of the first Members event.
	draining       bool
	drainAt        int64 // Time of the Drain event.
	lastAnswerAt   int64 // Time of the last answer from the platform.
	platformLost   bool  // The last call to the platform was not answered.
	dirty          bool  // The table must be published.
	table          *Table
	broken         brokenRules
}

// brokenRules disables single safety rules, for tests that show that each rule
// is needed.
type brokenRules struct {
	startBelowEnd       bool // Failover starts below the recorded end.
	forgetPromise       bool // Failover ignores the promises of the witness.
	promiseInDoubt      bool // The witness promises while its failover write is in doubt.
	anyIncarnation      bool // A restarted witness takes over without its promises.
	restartAtEnd        bool // A restarted owner starts at the recorded end.
	lateWitnessAnswer   bool // The owner accepts a promise of a replaced witness.
	noCap               bool // A handover does not end the owner's own window.
	unansweredIsFailure bool // A handover write without an answer counts as not written.
}

// New returns the Ranges of a node that has just started. rnd is used for jitter
// only.
func New(cfg Config, rnd *rand.Rand) *Ranges {
	for _, d := range []struct {
		p *time.Duration
		v time.Duration
	}{
		{&cfg.Window, DefaultWindow}, {&cfg.RenewInterval, DefaultRenewInterval}, {&cfg.CutoverLead, DefaultCutoverLead},
		{&cfg.MaxAhead, DefaultMaxAhead}, {&cfg.Settle, DefaultSettle},
	} {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
	rs := &Ranges{cfg: cfg, rnd: rnd, rows: map[string]*[dogwoodford.KeyRanges]Value{}}
	for n := range rs.ranges {
		rs.ranges[n] = &keyRange{number: n, stale: true, promised: map[int64]int64{}}
	}
	rs.table = rs.buildTable()
	return rs
}

// OnEvent handles one event and returns the actions to carry out, in order.
func (rs *Ranges) OnEvent(now time.Time, ev Event) []Action {
	rs.now, rs.out = now.UnixMilli(), nil
	switch ev := ev.(type) {
	case Members:
		rs.onMembers(ev)
	case ObjectRead:
		rs.onRead(ev)
	case ObjectWritten:
		rs.onWritten(ev)
	case ObjectSeen:
		rs.onSeen(ev)
	case OwnershipUpdate:
		rs.onOwnershipUpdate(ev)
	case PromiseAsked:
		rs.onPromiseAsked(ev)
	case PromiseAnswered:
		rs.onPromiseAnswered(ev)
	case WindowCapped:
		rs.onCapped(ev)
	case RecordsSent:
		rs.onRecordsSent(ev)
	case RecordsReceived:
		rs.onRecordsReceived(ev)
	case Drain:
		rs.draining, rs.drainAt = true, rs.now
	case HandOver:
		if ev.Number >= 0 && ev.Number < len(rs.ranges) {
			rs.ranges[ev.Number].handoverWanted = rs.isOwner(rs.ranges[ev.Number])
		}
	}
	for _, kr := range rs.ranges {
		rs.step(kr)
	}
	if rs.dirty {
		rs.dirty = false
		rs.table = rs.buildTable()
		rs.emit(Publish{Table: rs.table})
	}
	return rs.out
}

// Table returns the current table.
func (rs *Ranges) Table() *Table { return rs.table }

// HandoversDone reports whether this node owns no range and has no handover
// pending, so that a draining node may exit.
func (rs *Ranges) HandoversDone() bool {
	for _, kr := range rs.ranges {
		if rs.isOwner(kr) {
			return false
		}
		for i := range kr.windows {
			if kr.windows[i].next.Owner != "" {
				return false
			}
		}
	}
	return true
}

func (rs *Ranges) emit(a Action) { rs.out = append(rs.out, a) }

func (rs *Ranges) nextOp() int64 {
	rs.ops++
	return rs.ops
}

// jitter varies a wait by up to 10% in both directions, so that the renewals of
// many ranges do not coincide. The result is in milliseconds.
func (rs *Ranges) jitter(d time.Duration) int64 {
	return int64(float64(d.Milliseconds()) * (0.9 + 0.2*rs.rnd.Float64()))
}

func (rs *Ranges) window() int64 { return rs.cfg.Window.Milliseconds() }

func (rs *Ranges) onMembers(ev Members) {
	members := make(map[string]Member, len(ev.Members))
	rs.ready = rs.ready[:0]
	for _, m := range ev.Members {
		members[m.Node] = m
		if m.Service == rs.cfg.Service && m.State == dogwoodford.StateReady {
			rs.ready = append(rs.ready, m)
		}
	}
	if rs.members == nil {
		rs.firstMembersAt = rs.now
	}
	rs.members, rs.dirty = members, true
}

func (rs *Ranges) onOwnershipUpdate(ev OwnershipUpdate) {
	if ev.Number < 0 || ev.Number >= dogwoodford.KeyRanges || ev.Value.check() != nil {
		return
	}
	if ev.Service != rs.cfg.Service {
		rs.setRow(ev.Service, ev.Number, ev.Value)
		return
	}
	kr := rs.ranges[ev.Number]
	newer := ev.Value.Epoch > kr.val.Epoch || ev.Value.Epoch == kr.val.Epoch && ev.Value.End > kr.val.End && !rs.isOwner(kr)
	if !newer {
		return
	}
	rs.adopt(kr, ev.Value)
	// Gossip carries no object version, which the next write needs.
	kr.stale = kr.stale || rs.hasRole(ev.Value)
}

// hasRole reports whether this node is the owner or the witness of the range, or
// may become its owner: its address is that of the owner, or there is no owner.
func (rs *Ranges) hasRole(v Value) bool {
	return v.Owner == rs.cfg.Node || v.Witness == rs.cfg.Node || v.OwnerPeer == rs.cfg.Peer || v.Owner == ""
}

// setRow replaces one row of the table unless v is older than that row. Rows of
// one epoch are ordered by their end, which every change raises.
func (rs *Ranges) setRow(service string, number int, v Value) {
	var rows [dogwoodford.KeyRanges]Value
	if old := rs.rows[service]; old != nil {
		rows = *old
	}
	if o := rows[number]; o.Epoch > v.Epoch || o.Epoch == v.Epoch && o.End >= v.End {
		return
	}
	rows[number] = v
	next := maps.Clone(rs.rows)
	next[service] = &rows
	rs.rows, rs.dirty = next, true
}

func (rs *Ranges) buildTable() *Table {
	t := &Table{
		rows: rs.rows, members: rs.members, service: rs.cfg.Service, node: rs.cfg.Node,
		maxAhead: rs.cfg.MaxAhead.Milliseconds(),
	}
	for n, kr := range rs.ranges {
		for i := range kr.windows {
			t.held[n] = append(t.held[n], kr.windows[i].heldWindow)
		}
		if rs.isOwner(kr) {
			t.owns[n] = kr.val.Epoch
		}
	}
	return t
}
