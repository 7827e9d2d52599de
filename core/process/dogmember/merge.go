package dogmember

import (
	"slices"
	"time"

	"dogwoodford"
)

// refuteInterval is the least time between refutations. Without it, two live
// nodes configured with the same name would keep raising their incarnations.
const refuteInterval = 200 * time.Millisecond

// insert adds an entry for a record; the node must be unknown.
func (m *Membership) insert(rec Member) *entry {
	e := &entry{rec: rec, effective: rec.State, nameHash: hashName(rec.Node), index: -1}
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
	m.addToProbeOrder(e)
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

// receive merges member records and passes other updates to the driver. It
// reports whether a record changed.
func (m *Membership) receive(now time.Time, from string, updates []Update) bool {
	changed := false
	m.sender = m.entries[from]
	if m.sender == nil {
		m.sender = m.byPeer(from)
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
			changed = true
		}
	}
	return changed
}

// merge joins a received record with the known one. If that changes the known
// record, it applies the change, queues the record for dissemination and returns
// true.
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
		if in.State == dogwoodford.StateFailed && e.rec.Present() && in.Incarnation >= e.rec.Incarnation {
			m.mergeClaim(now, e, in)
			return false
		}
		rec := join(e.rec, in)
		if rec == e.rec {
			if in == e.rec {
				m.members.countAsSent("member/" + in.Node)
			}
			return false
		}
		m.setRecord(e, rec)
	}
	m.applyMark(e)
	m.applyRecord(now, e)
	if !m.mergingPull {
		m.enqueue(MemberUpdate(e.rec), true)
	}
	return true
}

// distrustPeriod is how long after a member was declared failed its claims about
// the failure of others have to wait longer.
const distrustPeriod = time.Minute

// mergeClaim records that another node claims that a present member failed. The
// member has SuspectTimeout to refute the claim. It has UntrustedClaimTimeout if
// the sender is unknown, is declared failed, or was so within distrustPeriod:
// then a network partition has healed, each half claims that all of the other
// half failed, and hundreds of members refute at once. A claim is not forwarded
// before this node acts on it, so that the claims of the other half do not arrive
// from trusted members of this node's half.
func (m *Membership) mergeClaim(now time.Time, e *entry, in Member) {
	wait := m.opt.SuspectTimeout
	t := m.sender
	if t == nil || t.effective == dogwoodford.StateFailed || !t.failedAt.IsZero() && now.Sub(t.failedAt) < distrustPeriod {
		wait = m.opt.UntrustedClaimTimeout
	}
	if e.claim.Node == "" || e.claim.Incarnation < in.Incarnation {
		e.claim = in
	}
	if at := now.Add(wait); e.failAt.IsZero() || at.Before(e.failAt) {
		m.setFailAt(e, at)
	}
	m.changed = true
}

// applyRecord updates the state that this node acts on after the record changed.
func (m *Membership) applyRecord(now time.Time, e *entry) {
	m.changed = true
	m.seedList.dirty = true
	switch {
	case e.rec.State == dogwoodford.StateLeft:
		m.end(now, e, dogwoodford.StateLeft)
	case e.rec.State == dogwoodford.StateFailed:
		// The member had already failed or left.
	default:
		if e.effective == dogwoodford.StateFailed {
			m.probing.lastRecovery = now
		}
		e.effective = e.rec.State
		e.endedAt = time.Time{}
		m.addPresent(e)
		if e.effective == dogwoodford.StateReady && e.since.IsZero() {
			e.since = now
		}
		if e.effective == dogwoodford.StateStarting {
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
	if s == dogwoodford.StateFailed {
		e.failedAt = now
	}
	if e.endedAt.IsZero() {
		e.endedAt = now
	}
	e.effective = s
	e.since = time.Time{}
	m.removePresent(e)
	m.targetsChangeAt = now.Add(endedTTL)
}

// expire declares members failed whose suspicion or claim has timed out.
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
		rec.State, rec.Suspected = dogwoodford.StateFailed, false
		m.setRecord(e, rec)
		m.end(now, e, dogwoodford.StateFailed)
		m.counts.Failures++
		m.changed, m.seedList.dirty = true, true
		// Not urgent, as every node that knew of the suspicion reaches the same
		// result by itself.
		m.enqueue(MemberUpdate(rec), false)
		m.act(MemberFailed{Member: rec})
	}
}

// suspect records a suspicion that this node raises itself.
func (m *Membership) suspect(now time.Time, e *entry) {
	if !e.rec.Present() || e.rec.Suspected {
		return
	}
	m.counts.Suspicions++
	rec := e.rec
	rec.Suspected = true
	m.merge(now, rec)
}

// mergeSelf handles received records of this node: it refutes suspicions and
// claims of failure, and starts to drain on a record that says so.
func (m *Membership) mergeSelf(now time.Time, in Member) {
	self := m.self.rec
	if in.Incarnation < self.Incarnation {
		return
	}
	if in.Incarnation == self.Incarnation && in.State == dogwoodford.StateDraining && rank(self.State) == 0 {
		m.beginDrain(now)
	}
	if in.Incarnation > self.Incarnation || in.Suspected ||
		rank(in.State) > rank(dogwoodford.StateDraining) && self.State != dogwoodford.StateLeft {
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
	m.refuteAt = now.Add(refuteInterval)
	m.refuteDue = 0
	m.counts.Refutations++
	rec := m.self.rec
	rec.Incarnation = incarnation
	m.setSelf(now, rec)
}

// setSelf installs a changed record of this node under a new incarnation.
func (m *Membership) setSelf(now time.Time, rec Member) {
	rec.Incarnation++
	m.setRecord(m.self, rec)
	m.self.effective = rec.State
	if rec.State != dogwoodford.StateReady {
		m.self.since = time.Time{}
	} else if m.self.since.IsZero() {
		m.self.since = now
	}
	m.changed, m.seedList.dirty = true, true
	m.enqueue(MemberUpdate(rec), true)
}

func (m *Membership) onSelfChanged(now time.Time, ev SelfChanged) {
	rec := m.self.rec
	if rec.State == ev.State && rec.Slots == ev.Slots {
		return
	}
	// A drain started by a drain mark of the platform is not undone. One started
	// by the target is undone when another process replaces the target.
	if rank(ev.State) >= rank(rec.State) || !m.drainedByMark && rec.State == dogwoodford.StateDraining {
		rec.State = ev.State
	}
	rec.Slots = ev.Slots
	if rec != m.self.rec {
		m.setSelf(now, rec)
	}
}

func (m *Membership) beginDrain(now time.Time) {
	m.drainedByMark = true
	rec := m.self.rec
	rec.State = dogwoodford.StateDraining
	m.setSelf(now, rec)
	m.act(BeginDrain{})
}

// purge removes members that failed or left at least EndedRetention ago.
func (m *Membership) purge(now time.Time) {
	for node, e := range m.entries {
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) >= m.opt.EndedRetention {
			delete(m.entries, node)
			delete(m.marks, node)
		}
	}
}
