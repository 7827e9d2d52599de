package dogrange

import (
	"maps"
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Defaults of Config.
const (
	// DefaultWindow is how far ahead of now a window ends.
	DefaultWindow = 6 * time.Second
	// DefaultRenew is the mean time between renewals. A third of the window
	// leaves room for two lost renewals.
	DefaultRenew = 2 * time.Second
	// DefaultCutover is the lead of a planned handover, many times the few
	// milliseconds of a platform write and a message.
	DefaultCutover = 500 * time.Millisecond
	// DefaultAhead is how far in the future a key may be issued.
	DefaultAhead = 2 * time.Second
	// DefaultSettle is how long a better owner must stay ready before a range
	// moves to it.
	DefaultSettle = 10 * time.Second
)

// Config describes the node. Zero durations take the defaults.
type Config struct {
	Node        string
	Incarnation uint64
	Service     string
	DataCentre  string
	Peer        string // IP address and port of the peer listener.

	Window, Renew, Cutover, Ahead, Settle time.Duration
}

// Ranges decides for one node. It is not safe for concurrent use.
type Ranges struct {
	cfg      Config
	rnd      *rand.Rand
	now      int64 // Milliseconds; time of the present event.
	ops      int64
	out      []Action
	ranges   [dogwoodford.KeyRanges]*keyRange
	rows     map[string]*[dogwoodford.KeyRanges]Value // Replaced, never changed.
	members  map[string]Member                        // Replaced, never changed.
	ready    []Member                                 // Ready nodes of the own service.
	joined   int64                                    // When the first view of the members came.
	draining bool
	drainAt  int64 // When it began to drain.
	okAt     int64 // Time of the last answer of the platform.
	lost     bool  // The platform did not answer the last call.
	dirty    bool  // The table must be published.
	table    *Table
	broken   hooks
}

// hooks break single rules, for tests that show that each rule is needed.
type hooks struct {
	startBelowEnd     bool // Failover starts below the recorded end.
	forgetPromise     bool // Failover ignores what was promised.
	promiseInDoubt    bool // The witness promises while its failover write is in doubt.
	anyIncarnation    bool // A restarted witness takes over without its promises.
	restartAtEnd      bool // A restarted owner starts at the recorded end.
	lateWitnessAnswer bool // The owner takes a promise of a replaced witness.
	noCap             bool // A handover does not end the owner's own window.
	doubtIsFailure    bool // An unanswered handover counts as not written.
}

// New returns the decisions of a node that has just started. rnd is used for
// jitter only.
func New(cfg Config, rnd *rand.Rand) *Ranges {
	for _, d := range []struct {
		p *time.Duration
		v time.Duration
	}{
		{&cfg.Window, DefaultWindow}, {&cfg.Renew, DefaultRenew}, {&cfg.Cutover, DefaultCutover},
		{&cfg.Ahead, DefaultAhead}, {&cfg.Settle, DefaultSettle},
	} {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
	rs := &Ranges{cfg: cfg, rnd: rnd, rows: map[string]*[dogwoodford.KeyRanges]Value{}}
	for n := range rs.ranges {
		rs.ranges[n] = &keyRange{number: n, stale: true, promised: map[int64]int64{}}
	}
	rs.table = rs.build()
	return rs
}

// OnEvent takes one event and returns what to do.
func (rs *Ranges) OnEvent(now time.Time, ev Event) []Action {
	rs.now, rs.out = now.UnixMilli(), nil
	switch ev := ev.(type) {
	case Members:
		rs.onMembers(ev)
	case Read:
		rs.onRead(ev)
	case Written:
		rs.onWritten(ev)
	case Seen:
		rs.onSeen(ev)
	case Heard:
		rs.onHeard(ev)
	case PromiseAsked:
		rs.onPromiseAsked(ev)
	case PromiseAnswered:
		rs.onPromiseAnswered(ev)
	case Capped:
		rs.onCapped(ev)
	case RecordsSent:
		rs.onRecordsSent(ev)
	case RecordsReceived:
		rs.onRecordsReceived(ev)
	case Drain:
		rs.draining, rs.drainAt = true, rs.now
	case HandOver:
		if ev.Number >= 0 && ev.Number < len(rs.ranges) {
			rs.ranges[ev.Number].wanted = rs.mine(rs.ranges[ev.Number])
		}
	}
	for _, kr := range rs.ranges {
		rs.step(kr)
	}
	if rs.dirty {
		rs.dirty = false
		rs.table = rs.build()
		rs.do(Publish{Table: rs.table})
	}
	return rs.out
}

// Table returns the present table.
func (rs *Ranges) Table() *Table { return rs.table }

// Handed reports whether this node owns no range and has no handover left, so
// that a draining node may end.
func (rs *Ranges) Handed() bool {
	for _, kr := range rs.ranges {
		if rs.mine(kr) {
			return false
		}
		for i := range kr.spans {
			if kr.spans[i].next.Owner != "" {
				return false
			}
		}
	}
	return true
}

func (rs *Ranges) do(a Action) { rs.out = append(rs.out, a) }

func (rs *Ranges) nextOp() int64 {
	rs.ops++
	return rs.ops
}

// jitter spreads a wait by a tenth in both directions, so that the renewals of
// many ranges do not fall together.
func (rs *Ranges) jitter(d time.Duration) int64 {
	return int64(float64(d.Milliseconds()) * (0.9 + 0.2*rs.rnd.Float64()))
}

func (rs *Ranges) window() int64 { return rs.cfg.Window.Milliseconds() }

func (rs *Ranges) onMembers(ev Members) {
	members := make(map[string]Member, len(ev.Members))
	rs.ready = rs.ready[:0]
	for _, m := range ev.Members {
		members[m.Node] = m
		if m.Service == rs.cfg.Service && m.State == dogwoodford.Ready {
			rs.ready = append(rs.ready, m)
		}
	}
	if rs.members == nil {
		rs.joined = rs.now
	}
	rs.members, rs.dirty = members, true
}

func (rs *Ranges) onHeard(ev Heard) {
	if ev.Number < 0 || ev.Number >= dogwoodford.KeyRanges || ev.Value.check() != nil {
		return
	}
	if ev.Service != rs.cfg.Service {
		rs.setRow(ev.Service, ev.Number, ev.Value)
		return
	}
	kr := rs.ranges[ev.Number]
	newer := ev.Value.Epoch > kr.val.Epoch || ev.Value.Epoch == kr.val.Epoch && ev.Value.End > kr.val.End && !rs.mine(kr)
	if !newer {
		return
	}
	rs.adopt(kr, ev.Value)
	// Gossip carries no version, which the next write needs.
	kr.stale = kr.stale || rs.concerned(ev.Value)
}

// concerned reports whether this node has a part in the range.
func (rs *Ranges) concerned(v Value) bool {
	return v.Owner == rs.cfg.Node || v.Witness == rs.cfg.Node || v.OwnerPeer == rs.cfg.Peer || v.Owner == ""
}

// setRow replaces one row of the table. Rows of one epoch are ordered by their
// end, which each change raises.
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

func (rs *Ranges) build() *Table {
	t := &Table{
		rows: rs.rows, members: rs.members, service: rs.cfg.Service, node: rs.cfg.Node,
		ahead: rs.cfg.Ahead.Milliseconds(),
	}
	for n, kr := range rs.ranges {
		for i := range kr.spans {
			t.holds[n] = append(t.holds[n], kr.spans[i].hold)
		}
		if rs.mine(kr) {
			t.owns[n] = kr.val.Epoch
		}
	}
	return t
}
