package dogmember

import (
	"slices"
	"time"

	"dogwoodford"
)

// maxMarks bounds the number of drain marks kept, as marks may name nodes that are
// not yet known.
const maxMarks = 1024

func (m *Membership) publish(u Update, urgent bool) {
	if rec, ok := u.Value.(Member); ok {
		panic("dogmember: record of " + rec.Node + " published by the driver")
	}
	m.enqueue(u, urgent)
}

func (m *Membership) enqueue(u Update, urgent bool) {
	q := m.others
	if _, ok := u.Value.(Member); ok {
		q = m.members
	}
	if !q.add(u) {
		m.counts.Dropped++
		return
	}
	if urgent && len(m.urgent) < m.opt.QueueLimit {
		m.urgent = append(m.urgent, u)
	}
}

// message returns a message with the updates in first, then queued updates of
// other packages and of members, within Options.MessageBytes.
func (m *Membership) message(first ...Update) Message {
	budget := m.opt.MessageBytes
	for _, u := range first {
		budget -= m.opt.Size(u)
	}
	// A third is reserved for members, so that a burst of other updates does
	// not delay failures and refutations.
	share := budget / 3
	others, left := m.others.take(budget-share, len(m.entries))
	members, _ := m.members.take(left+share, len(m.entries))
	members = slices.DeleteFunc(members, func(u Update) bool {
		return slices.ContainsFunc(first, func(f Update) bool { return f.Key == u.Key })
	})
	return Message{
		Updates:       append(append(first, others...), members...),
		Summary:       m.summary,
		ContractsHash: m.contracts,
	}
}

// flushUrgent sends the urgent updates queued since the last flush to some peers,
// within the limit of UrgentRate and UrgentBurst. Those that do not fit are sent
// with the probes.
func (m *Membership) flushUrgent(now time.Time) {
	rate := float64(m.opt.UrgentRate) * now.Sub(m.tokensAt).Seconds()
	m.tokens = min(m.tokens+rate, float64(m.opt.UrgentBurst))
	m.tokensAt = now
	if len(m.urgent) == 0 || m.tokens < 1 {
		return
	}
	msg := Message{Updates: m.takeUrgent(), Summary: m.summary, ContractsHash: m.contracts}
	for _, e := range m.randomPresent(m.opt.UrgentFanout, nil) {
		m.tokens--
		m.act(Notify{Peer: e.rec.Peer, Message: msg})
	}
}

// takeUrgent empties the list of urgent updates and returns the newest that fit
// into a message, those of other packages first.
func (m *Membership) takeUrgent() []Update {
	var out []Update
	budget := m.opt.MessageBytes
	seen := map[string]bool{}
	for _, members := range []bool{false, true} {
		for i := len(m.urgent) - 1; i >= 0; i-- {
			u := m.urgent[i]
			if _, ok := u.Value.(Member); ok != members || seen[u.Key] {
				continue
			}
			seen[u.Key] = true
			if n := m.opt.Size(u); n <= budget || len(out) == 0 {
				budget -= n
				out = append(out, u)
			}
		}
	}
	m.urgent = nil
	return out
}

// randomPresent returns up to n distinct random present members other than
// exclude.
func (m *Membership) randomPresent(n int, exclude *entry) []*entry {
	var out []*entry
	for tries := 0; len(out) < n && tries < 4*n && len(m.present) > 0; tries++ {
		e := m.present[m.opt.Rand.IntN(len(m.present))]
		if e == exclude || contains(out, e) {
			continue
		}
		out = append(out, e)
	}
	return out
}

func contains(es []*entry, e *entry) bool {
	for _, x := range es {
		if x == e {
			return true
		}
	}
	return false
}

// jitter returns a random duration in [d*low, d*high).
func (m *Membership) jitter(d time.Duration, low, high float64) time.Duration {
	return time.Duration(float64(d) * (low + (high-low)*m.opt.Rand.Float64()))
}

// onDrainMarkRead applies a drain mark of the platform. The marked node is
// notified by gossip, and every node stops sending to it even if it cannot be
// reached.
func (m *Membership) onDrainMarkRead(now time.Time, ev DrainMarkRead) {
	if _, known := m.marks[ev.Node]; !known && len(m.marks) >= maxMarks {
		m.counts.Dropped++
		return
	}
	m.marks[ev.Node] = ev.Mark
	e := m.entries[ev.Node]
	if e == nil || !marked(e.rec, ev.Mark) {
		return
	}
	if e == m.self {
		m.beginDrain(now)
		return
	}
	rec := e.rec
	rec.State = dogwoodford.StateDraining
	m.merge(now, rec)
	m.act(Notify{Peer: rec.Peer, Message: Message{Updates: []Update{MemberUpdate(e.rec)}}})
}

// applyMark joins a record with a drain mark that was read before it arrived.
func (m *Membership) applyMark(e *entry) {
	if mark, ok := m.marks[e.rec.Node]; ok && marked(e.rec, mark) {
		rec := e.rec
		rec.State = dogwoodford.StateDraining
		m.setRecord(e, rec)
	}
}

// marked reports whether a drain mark applies to a record and changes its state.
func marked(rec Member, mark DrainMark) bool {
	return rank(rec.State) == 0 && mark.AtMillis > 0 && rec.Incarnation <= uint64(mark.AtMillis)
}
