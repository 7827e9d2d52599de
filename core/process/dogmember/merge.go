package dogmember

import (
	"slices"
	"time"

	"dogwoodford"
)

// refutePause is the least time between refutations. Two live nodes that were
// given the same name would else raise their incarnations without pause.
const refutePause = 200 * time.Millisecond

// insert adds an entry for a record; the node must be unknown.
func (m *Membership) insert(rec Member) *entry {
	e := &entry{rec: rec, held: rec.State, nameHash: hashName(rec.Node), index: -1}
	m.entries[rec.Node] = e
	m.setRecord(e, rec)
	if rec.Node != m.opt.Self.Node {
		m.addPresent(e)
	}
	return e
}

func (m *Membership) setRecord(e *entry, rec Member) {
	e.rec = rec
	h := recordHash(e.nameHash, rec)
	m.summary ^= e.hash ^ h
	e.hash = h
}

func (m *Membership) addPresent(e *entry) {
	if e.index >= 0 {
		return
	}
	e.index = len(m.present)
	m.present = append(m.present, e)
	m.addToRing(e)
}

func (m *Membership) removePresent(e *entry) {
	if e.index < 0 {
		return
	}
	last := m.present[len(m.present)-1]
	m.present[e.index] = last
	last.index = e.index
	m.present = m.present[:len(m.present)-1]
	e.index = -1
}

// receive merges member records and hands other updates to the driver. It
// reports whether a record changed.
func (m *Membership) receive(now time.Time, from string, updates []Update) bool {
	news := false
	m.teller = m.entries[from]
	if m.teller == nil {
		m.teller = m.byPeer(from)
	}
	for _, u := range updates {
		rec, ok := u.Value.(Member)
		if !ok {
			m.act(Deliver{From: from, Update: u})
			continue
		}
		if rec.Node == "" || rec.Peer == "" || rec.Incarnation == 0 {
			m.counts.Rejected++
			continue
		}
		if m.merge(now, rec) {
			news = true
		}
	}
	return news
}

// merge joins a received record with the known one, applies its effects and
// spreads it if it is news.
func (m *Membership) merge(now time.Time, in Member) bool {
	if in.Node == m.self.rec.Node {
		m.mergeSelf(now, in)
		return false
	}
	e := m.entries[in.Node]
	if e == nil {
		if !in.Present() {
			return false
		}
		e = m.insert(in)
	} else {
		if in.State == dogwoodford.Failed && e.rec.Present() && in.Incarnation >= e.rec.Incarnation {
			m.mergeClaim(now, e, in)
			return false
		}
		rec := join(e.rec, in)
		if rec == e.rec {
			if in == e.rec {
				m.members.heard("member/" + in.Node)
			}
			return false
		}
		m.setRecord(e, rec)
	}
	m.applyMark(e)
	m.effect(now, e)
	if !m.bulk {
		m.spread(MemberUpdate(e.rec), true)
	}
	return true
}

// recentFailure is how long a member is not believed about the failure of
// others after it was itself held for failed.
const recentFailure = time.Minute

// mergeClaim notes that another node holds a present member for failed. The
// member has time to refute. It has longer if the teller was itself held for
// failed of late: then a cut has healed, each half claims that all of the other
// failed, and hundreds refute at once. A claim is not told on before this node
// acts on it, so that claims of the other half do not come from one's own.
func (m *Membership) mergeClaim(now time.Time, e *entry, in Member) {
	wait := m.opt.SuspectTimeout
	t := m.teller
	if t == nil || t.held == dogwoodford.Failed || !t.failedAt.IsZero() && now.Sub(t.failedAt) < recentFailure {
		wait = m.opt.HearsayTimeout
	}
	if e.claim.Node == "" || e.claim.Incarnation < in.Incarnation {
		e.claim = in
	}
	if at := now.Add(wait); e.failAt.IsZero() || at.Before(e.failAt) {
		m.setFailAt(e, at)
	}
	m.changed = true
}

// effect brings what this node acts on into line with the record.
func (m *Membership) effect(now time.Time, e *entry) {
	m.changed = true
	m.keeping.dirty = true
	switch {
	case e.rec.State == dogwoodford.Left:
		m.end(now, e, dogwoodford.Left)
	case e.rec.State == dogwoodford.Failed:
		// Of a member that had ended already.
	default:
		if e.held == dogwoodford.Failed {
			m.probing.revived = now
		}
		e.held = e.rec.State
		e.endedAt = time.Time{}
		m.addPresent(e)
		if e.held == dogwoodford.Ready && e.since.IsZero() {
			e.since = now
		}
		if e.held == dogwoodford.Starting {
			e.since = time.Time{}
		}
		if e.rec.Incarnation > e.claim.Incarnation {
			e.claim = Member{}
		}
		if at := now.Add(m.opt.SuspectTimeout); !e.rec.Suspected && e.claim.Node == "" {
			m.setFailAt(e, time.Time{})
		} else if e.rec.Suspected && (e.failAt.IsZero() || at.Before(e.failAt)) {
			m.setFailAt(e, at)
		}
	}
}

func (m *Membership) setFailAt(e *entry, t time.Time) {
	e.failAt = t
	if t.IsZero() {
		delete(m.pending, e.rec.Node)
		return
	}
	m.pending[e.rec.Node] = e
}

func (m *Membership) end(now time.Time, e *entry, s dogwoodford.State) {
	m.setFailAt(e, time.Time{})
	e.claim = Member{}
	if s == dogwoodford.Failed {
		e.failedAt = now
	}
	if e.endedAt.IsZero() {
		e.endedAt = now
	}
	e.held = s
	e.since = time.Time{}
	m.removePresent(e)
	m.refresh = now.Add(memberTTL)
}

// expire ends the suspicions whose time is over.
func (m *Membership) expire(now time.Time) {
	var due []string
	for node, e := range m.pending {
		if !now.Before(e.failAt) {
			due = append(due, node)
		}
	}
	slices.Sort(due)
	for _, node := range due {
		e := m.entries[node]
		rec := e.rec
		if e.claim.Incarnation > rec.Incarnation {
			rec = e.claim
		}
		rec.State, rec.Suspected = dogwoodford.Failed, false
		m.setRecord(e, rec)
		m.end(now, e, dogwoodford.Failed)
		m.counts.Failures++
		m.changed, m.keeping.dirty = true, true
		// Every node that knew of the suspicion comes to this by itself, so it
		// is not urgent.
		m.spread(MemberUpdate(rec), false)
		m.act(MemberFailed{Member: rec})
	}
}

// suspect records a suspicion of this node's own.
func (m *Membership) suspect(now time.Time, e *entry) {
	if !e.rec.Present() || e.rec.Suspected {
		return
	}
	m.counts.Suspicions++
	rec := e.rec
	rec.Suspected = true
	m.merge(now, rec)
}

// mergeSelf answers claims about this node.
func (m *Membership) mergeSelf(now time.Time, in Member) {
	self := m.self.rec
	if in.Incarnation < self.Incarnation {
		return
	}
	if in.Incarnation == self.Incarnation && in.State == dogwoodford.Draining && rank(self.State) == 0 {
		m.beginDrain(now)
	}
	if in.Incarnation > self.Incarnation || in.Suspected ||
		rank(in.State) > rank(dogwoodford.Draining) && self.State != dogwoodford.Left {
		m.refute(now, in.Incarnation)
	}
}

func (m *Membership) refute(now time.Time, incarnation uint64) {
	if incarnation < m.self.rec.Incarnation {
		m.refuteDue = 0
		return
	}
	if now.Before(m.refuteAt) {
		m.refuteDue = max(m.refuteDue, incarnation)
		return
	}
	m.refuteAt = now.Add(refutePause)
	m.refuteDue = 0
	m.counts.Refutations++
	rec := m.self.rec
	rec.Incarnation = incarnation
	m.setSelf(now, rec)
}

// setSelf takes over a changed record of this node under a new incarnation.
func (m *Membership) setSelf(now time.Time, rec Member) {
	rec.Incarnation++
	m.setRecord(m.self, rec)
	m.self.held = rec.State
	if rec.State != dogwoodford.Ready {
		m.self.since = time.Time{}
	} else if m.self.since.IsZero() {
		m.self.since = now
	}
	m.changed, m.keeping.dirty = true, true
	m.spread(MemberUpdate(rec), true)
}

func (m *Membership) onSelfChanged(now time.Time, ev SelfChanged) {
	rec := m.self.rec
	if rec.State == ev.State && rec.Slots == ev.Slots {
		return
	}
	// A drain that the platform's mark began is not taken back. One that the
	// target began is, when another process has taken the target's place.
	if rank(ev.State) >= rank(rec.State) || !m.marked && rec.State == dogwoodford.Draining {
		rec.State = ev.State
	}
	rec.Slots = ev.Slots
	if rec != m.self.rec {
		m.setSelf(now, rec)
	}
}

func (m *Membership) beginDrain(now time.Time) {
	m.marked = true
	rec := m.self.rec
	rec.State = dogwoodford.Draining
	m.setSelf(now, rec)
	m.act(BeginDrain{})
}

// purge forgets members that ended long ago.
func (m *Membership) purge(now time.Time) {
	for node, e := range m.entries {
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) >= m.opt.Forget {
			delete(m.entries, node)
			delete(m.marks, node)
		}
	}
}
