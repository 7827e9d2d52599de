package dogmember

import (
	"slices"
	"sort"
	"strings"
	"time"

	"dogwoodford"
)

// Membership is the view that one node has of the fleet. It is not safe for
// concurrent use.
type Membership struct {
	drainedByMark bool // Whether a drain mark of the platform started the drain.
	opt           Options
	self          *entry
	entries       map[string]*entry
	present       []*entry          // Members considered present, excluding this node, in no particular order.
	pending       map[string]*entry // Entries with failAt set, by node.
	summary       uint64

	contracts uint64
	members   *queue // Member records.
	others    *queue // Updates of other packages.
	urgent    []Update
	tokens    float64 // Notify messages that may be sent now.
	tokensAt  time.Time

	probing  probing
	syncing  syncing
	seedList seedList

	refuteAt        time.Time // Earliest time of the next refutation.
	refuteDue       uint64    // Incarnation that the next refutation must exceed; 0 if none is due.
	purgeAt         time.Time
	marks           map[string]DrainMark
	targetsChangeAt time.Time // When the member that was the last to fail or leave drops out of Targets; zero if that is past.

	sender      *entry // Sender of the updates being merged; nil if unknown.
	mergingPull bool   // Whether the answer to a pull is being merged.
	changed     bool
	acts        []Action
	counts      Counts
}

// New returns a membership that knows only the node itself, in state StateStarting.
// It panics if Rand or Size is nil or Self has no name.
func New(now time.Time, opt Options) *Membership {
	opt = opt.withDefaults()
	if opt.Rand == nil || opt.Size == nil || opt.Self.Node == "" {
		panic("dogmember: options lack Rand, Size or the name of the node")
	}
	m := &Membership{
		opt:      opt,
		entries:  map[string]*entry{},
		pending:  map[string]*entry{},
		members:  newQueue(opt.Size, opt.QueueLimit),
		others:   newQueue(opt.Size, opt.QueueLimit),
		marks:    map[string]DrainMark{},
		tokens:   float64(opt.UrgentBurst),
		tokensAt: now,
		purgeAt:  now.Add(time.Minute),
	}
	rec := opt.Self
	rec.State, rec.Suspected = dogwoodford.StateStarting, false
	m.self = m.insert(rec)
	m.initProbing(now)
	m.initSyncing(now)
	m.initSeedList(now)
	return m
}

// OnEvent applies an event and returns the actions that the driver must take.
func (m *Membership) OnEvent(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case ProbeArrived:
		m.onProbeArrived(now, ev)
	case ProbeAnswered:
		m.onProbeAnswered(now, ev)
	case ProbeFailed:
		m.onProbeFailed(now, ev.ID)
	case ProbeViaAnswered:
		m.onViaAnswered(now, ev)
	case NotifyArrived:
		m.receive(now, ev.From, ev.Message.Updates)
	case PullArrived:
		m.onPullArrived(now, ev)
	case PullAnswered:
		m.onPullAnswered(now, ev)
	case PullFailed:
		m.onPullFailed(now, ev.Peer)
	case SelfChanged:
		m.onSelfChanged(now, ev)
	case Publish:
		m.publish(ev.Update, ev.Urgent)
	case ContractsChanged:
		m.contracts = ev.Hash
	case DrainMarkRead:
		m.onDrainMarkRead(now, ev)
	case SeedsRead:
		m.onSeedsRead(now, ev)
	case SeedsWritten:
		m.onSeedsWritten(now, ev)
	}
	if m.changed {
		m.changed = false
		m.act(Changed{})
	}
	acts := m.acts
	m.acts = nil
	return acts
}

func (m *Membership) act(a Action) { m.acts = append(m.acts, a) }

func (m *Membership) tick(now time.Time) {
	m.expire(now)
	if m.refuteDue != 0 && !now.Before(m.refuteAt) {
		m.refute(now, m.refuteDue)
	}
	m.tickProbing(now)
	m.tickSyncing(now)
	m.tickSeedList(now)
	m.flushUrgent(now)
	if !m.targetsChangeAt.IsZero() && !now.Before(m.targetsChangeAt) {
		m.targetsChangeAt = time.Time{}
		m.changed = true
	}
	if !now.Before(m.purgeAt) {
		m.purgeAt = now.Add(time.Minute)
		m.purge(now)
	}
}

// Self returns the record of this node.
func (m *Membership) Self() Member { return m.self.rec }

// Members returns the records of all known nodes, sorted by name and including
// those that failed or left. State and Suspected are those that this node acts
// on.
func (m *Membership) Members() []Member {
	out := make([]Member, 0, len(m.entries))
	for _, e := range m.entries {
		out = append(out, e.effectiveRecord())
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Member returns the record of a node, as Members does, and whether the node is
// known.
func (m *Membership) Member(node string) (Member, bool) {
	e := m.entries[node]
	if e == nil {
		return Member{}, false
	}
	return e.effectiveRecord(), true
}

// effectiveRecord returns the record with the state that this node acts on.
func (e *entry) effectiveRecord() Member {
	rec := e.rec
	rec.Suspected = !e.failAt.IsZero()
	rec.State = e.effective
	return rec
}

// Targets returns the targets of each service, sorted by node name. A target
// that failed or left is included for another 30 s, with LastSeen set to that time;
// for present targets LastSeen is now.
func (m *Membership) Targets(now time.Time) map[string][]dogwoodford.Target {
	out := map[string][]dogwoodford.Target{}
	for _, e := range m.entries {
		seen := now
		if !e.endedAt.IsZero() {
			if now.Sub(e.endedAt) >= endedTTL {
				continue
			}
			seen = e.endedAt
		}
		out[e.rec.Service] = append(out[e.rec.Service], dogwoodford.Target{
			Node:       e.rec.Node,
			Service:    e.rec.Service,
			DataCentre: e.rec.DataCentre,
			Peer:       e.rec.Peer,
			State:      e.effective,
			Slots:      e.rec.Slots,
			ReadySince: e.since,
			LastSeen:   seen,
		})
	}
	for _, ts := range out {
		sort.Slice(ts, func(i, j int) bool { return ts[i].Node < ts[j].Node })
	}
	return out
}

// Status returns a summary for operators.
func (m *Membership) Status() Status {
	s := Status{
		Self:   m.self.rec,
		Alive:  len(m.present) + 1,
		Queued: m.members.len() + m.others.len(),
		Joined: m.syncing.joined,
		Keeper: m.seedList.announced,
		Counts: m.counts,
	}
	for _, e := range m.entries {
		if e.effective == dogwoodford.StateFailed {
			s.Failed++
		}
		if e.effectiveRecord().Suspected {
			s.Suspect++
		}
	}
	return s
}

// Keepers returns the names of the up to two keepers of a data centre: the lowest
// names, in byte order, of its ready members. They maintain the members object
// and watch the platform.
func Keepers(members []Member, dataCentre string) []string {
	var names []string
	for _, m := range members {
		if m.DataCentre == dataCentre && m.State == dogwoodford.StateReady {
			names = append(names, m.Node)
		}
	}
	slices.Sort(names)
	return names[:min(2, len(names))]
}
