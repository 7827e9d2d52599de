package dogmember

import (
	"slices"
	"time"

	"dogwoodford"
)

// probing is the state of the probe cycle.
type probing struct {
	revived    time.Time // When a failed member last came back.
	next       time.Time // Next probe of a present member.
	nextSlow   time.Time // Next probe of a failed member or seed.
	nextFailed time.Time // Next probe of a failed member.
	ring       []*entry  // Present members in random order, probed in turn.
	at         int
	id         uint64
	open       map[uint64]*probe
	seeds      []*seed
}

type probe struct {
	node  string // Empty for a seed.
	peer  string
	since time.Time
	via   int // Indirect probes without an answer yet; 0 while direct.
}

// seed is an address that may lead to members.
type seed struct {
	peer      string
	fixed     bool // From the settings: kept however often it fails.
	misses    int
	nextProbe time.Time
}

const (
	// slowEvery is the least time between two probes of failed members or
	// seeds; a sixth of a large fleet may have failed at once.
	slowEvery = time.Second
	// revivalTime is how long failed members are probed at the rate of slowEvery
	// after one came back, as a cut may have healed.
	revivalTime = 30 * time.Second
	// seedMisses is the number of misses after which a seed of the platform is
	// forgotten.
	seedMisses = 3
	// maxSeeds bounds the seeds kept from the platform.
	maxSeeds = 256
)

func (m *Membership) initProbing(now time.Time) {
	m.probing = probing{
		next:     now.Add(m.jitter(m.opt.ProbeEvery, 0, 1)),
		nextSlow: now.Add(m.jitter(slowEvery, 0, 1)),
		open:     map[uint64]*probe{},
	}
	for _, peer := range m.opt.Seeds {
		m.addSeed(now, peer, true)
	}
}

func (m *Membership) addSeed(now time.Time, peer string, fixed bool) {
	if peer == "" || peer == m.self.rec.Peer || len(m.probing.seeds) >= maxSeeds && !fixed {
		return
	}
	if slices.ContainsFunc(m.probing.seeds, func(s *seed) bool { return s.peer == peer }) {
		return
	}
	// The join pulls from a seed; the slow probes start later, so that they
	// skip the seeds that the join made known.
	next := now.Add(m.jitter(m.opt.SeedEvery, 0.1, 0.5))
	m.probing.seeds = append(m.probing.seeds, &seed{peer: peer, fixed: fixed, nextProbe: next})
}

// addToRing places a new member at a random place of the part of the ring that
// is still to be probed, so that it is probed within one cycle.
func (m *Membership) addToRing(e *entry) {
	p := &m.probing
	p.ring = append(p.ring, e)
	last := len(p.ring) - 1
	i := p.at + m.opt.Rand.IntN(last-p.at+1)
	p.ring[i], p.ring[last] = p.ring[last], p.ring[i]
}

func (m *Membership) tickProbing(now time.Time) {
	p := &m.probing
	if !now.Before(p.next) {
		p.next = now.Add(m.jitter(m.opt.ProbeEvery, 0.9, 1.1))
		if e := m.nextInRing(); e != nil {
			m.probe(now, e)
		}
	}
	if !now.Before(p.nextSlow) {
		p.nextSlow = now.Add(m.jitter(slowEvery, 0.9, 1.1))
		m.probeSlow(now)
	}
	// A driver that loses a result must not keep a probe open for ever.
	for _, id := range m.overdue(now) {
		if p.open[id].via == 0 {
			m.onProbeFailed(now, id)
		} else {
			p.open[id].via = 1
			m.onViaAnswered(now, ProbeViaAnswered{ID: id})
		}
	}
}

func (m *Membership) overdue(now time.Time) []uint64 {
	var ids []uint64
	for id, pr := range m.probing.open {
		if now.Sub(pr.since) > 4*m.opt.ProbeTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// nextInRing returns the next present member to probe; nil if there is none.
func (m *Membership) nextInRing() *entry {
	p := &m.probing
	for range 2 {
		for p.at < len(p.ring) {
			e := p.ring[p.at]
			p.at++
			if e.index >= 0 {
				return e
			}
		}
		p.ring = append(p.ring[:0], m.present...)
		m.opt.Rand.Shuffle(len(p.ring), func(i, j int) { p.ring[i], p.ring[j] = p.ring[j], p.ring[i] })
		p.at = 0
	}
	return nil
}

// probe probes a known member. A claim against it goes along, so that it can
// refute; to a member held for failed this node also introduces itself.
func (m *Membership) probe(now time.Time, e *entry) {
	var first []Update
	if rec, ok := e.doubt(); ok {
		first = append(first, MemberUpdate(rec))
	}
	if !e.endedAt.IsZero() {
		first = append(first, MemberUpdate(m.self.rec))
	}
	m.startProbe(now, e.rec.Node, e.rec.Peer, first)
}

func (m *Membership) startProbe(now time.Time, node, peer string, first []Update) {
	p := &m.probing
	p.id++
	p.open[p.id] = &probe{node: node, peer: peer, since: now}
	m.counts.Probes++
	m.act(Probe{ID: p.id, Node: node, Peer: peer, Message: m.message(first...), Timeout: m.opt.ProbeTimeout})
}

// probeSlow probes one random failed member every FailedEvery, and each seed
// that is not a present member every SeedEvery.
func (m *Membership) probeSlow(now time.Time) {
	if s := m.dueSeed(now); s != nil {
		s.nextProbe = now.Add(m.jitter(m.opt.SeedEvery, 0.8, 1.2))
		m.startProbe(now, "", s.peer, []Update{MemberUpdate(m.self.rec)})
		return
	}
	if now.Before(m.probing.nextFailed) {
		return
	}
	var failed []*entry
	for _, e := range m.entries {
		if e.held == dogwoodford.Failed {
			failed = append(failed, e)
		}
	}
	every := m.opt.FailedEvery
	if now.Sub(m.probing.revived) < revivalTime {
		every = slowEvery
	}
	m.probing.nextFailed = now.Add(m.jitter(every, 0.8, 1.2))
	if len(failed) == 0 {
		return
	}
	// Sorted so that the choice depends on the random source only.
	slices.SortFunc(failed, compareNames)
	m.probe(now, failed[m.opt.Rand.IntN(len(failed))])
}

func compareNames(a, b *entry) int {
	if a.rec.Node < b.rec.Node {
		return -1
	}
	return 1
}

func (m *Membership) dueSeed(now time.Time) *seed {
	for _, s := range m.probing.seeds {
		if now.Before(s.nextProbe) {
			continue
		}
		if m.presentAt(s.peer) {
			s.misses = 0
			s.nextProbe = now.Add(m.jitter(m.opt.SeedEvery, 0.8, 1.2))
			continue
		}
		return s
	}
	return nil
}

func (m *Membership) presentAt(peer string) bool { return m.byPeer(peer) != nil }

// byPeer returns the present member with a peer address; nil if there is none.
func (m *Membership) byPeer(peer string) *entry {
	for _, e := range m.present {
		if e.rec.Peer == peer {
			return e
		}
	}
	return nil
}

func (m *Membership) onProbeArrived(now time.Time, ev ProbeArrived) {
	var first []Update
	if e := m.entries[ev.From]; e != nil && e != m.self {
		if rec, ok := e.doubt(); ok {
			first = append(first, MemberUpdate(rec))
		}
	}
	introduced := slices.ContainsFunc(ev.Message.Updates, func(u Update) bool {
		rec, ok := u.Value.(Member)
		return ok && rec.Node == ev.From
	})
	before := m.self.rec.Incarnation
	m.receive(now, ev.From, ev.Message.Updates)
	if introduced || m.self.rec.Incarnation != before {
		first = append(first, MemberUpdate(m.self.rec))
	}
	m.act(Reply{Message: m.message(first...)})
}

func (m *Membership) onProbeAnswered(now time.Time, ev ProbeAnswered) {
	pr := m.probing.open[ev.ID]
	delete(m.probing.open, ev.ID)
	from := ""
	if pr != nil {
		from = pr.node
	}
	m.receive(now, from, ev.Message.Updates)
	if pr == nil {
		return
	}
	for _, s := range m.probing.seeds {
		if s.peer == pr.peer {
			s.misses = 0
		}
	}
	m.compare(now, pr, ev.Message)
}

func (m *Membership) onProbeFailed(now time.Time, id uint64) {
	pr := m.probing.open[id]
	if pr == nil || pr.via != 0 {
		return
	}
	m.counts.Misses++
	e := m.entries[pr.node]
	if pr.node == "" || e == nil || !e.endedAt.IsZero() {
		delete(m.probing.open, id)
		m.seedMissed(pr.peer)
		return
	}
	via := m.randomPresent(m.opt.Indirect, e)
	if len(via) == 0 {
		delete(m.probing.open, id)
		m.suspect(now, e)
		return
	}
	pr.via, pr.since = len(via), now
	for _, v := range via {
		m.act(ProbeVia{ID: id, Via: v.rec.Peer, Peer: pr.peer, Timeout: 2 * m.opt.ProbeTimeout})
	}
}

func (m *Membership) seedMissed(peer string) {
	m.probing.seeds = slices.DeleteFunc(m.probing.seeds, func(s *seed) bool {
		if s.peer != peer {
			return false
		}
		s.misses++
		return !s.fixed && s.misses >= seedMisses
	})
}

func (m *Membership) onViaAnswered(now time.Time, ev ProbeViaAnswered) {
	pr := m.probing.open[ev.ID]
	if pr == nil || pr.via == 0 {
		return
	}
	pr.via--
	if ev.Alive {
		delete(m.probing.open, ev.ID)
		return
	}
	if pr.via > 0 {
		return
	}
	delete(m.probing.open, ev.ID)
	if e := m.entries[pr.node]; e != nil && e.endedAt.IsZero() {
		m.suspect(now, e)
	}
}
