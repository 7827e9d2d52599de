package dogmember

import (
	"slices"
	"time"

	"dogwoodford"
)

// probing is the state of the probes.
type probing struct {
	lastRecovery time.Time // When a failed member last returned.
	next         time.Time // Next probe of a present member.
	nextSlow     time.Time // Next probe of a failed member or seed.
	nextFailed   time.Time // Next probe of a failed member.
	probeOrder   []*entry  // Present members in random order, probed round-robin.
	orderPos     int
	id           uint64
	inFlight     map[uint64]*probe
	seeds        []*seed
}

type probe struct {
	node      string // Empty for a seed.
	peer      string
	startedAt time.Time
	via       int // Indirect probes not yet answered; 0 during the direct probe.
}

// seed is an address that may lead to members.
type seed struct {
	peer       string
	configured bool // Whether it is from the settings; if so it is kept despite misses.
	misses     int
	nextProbe  time.Time
}

const (
	// slowProbeInterval is the least time between two probes of failed members or
	// seeds. It limits the load, as a sixth of a large fleet may fail at once.
	slowProbeInterval = time.Second
	// recoveryPeriod is how long failed members are probed every slowProbeInterval
	// after one returned, as a network partition may have healed.
	recoveryPeriod = 30 * time.Second
	// maxSeedMisses is the number of misses after which a seed from the platform
	// is removed.
	maxSeedMisses = 3
	// maxSeeds bounds the seeds kept from the platform.
	maxSeeds = 256
)

func (m *Membership) initProbing(now time.Time) {
	m.probing = probing{
		next:     now.Add(m.jitter(m.opt.ProbeInterval, 0, 1)),
		nextSlow: now.Add(m.jitter(slowProbeInterval, 0, 1)),
		inFlight: map[uint64]*probe{},
	}
	for _, peer := range m.opt.Seeds {
		m.addSeed(now, peer, true)
	}
}

func (m *Membership) addSeed(now time.Time, peer string, configured bool) {
	if peer == "" || peer == m.self.rec.Peer || len(m.probing.seeds) >= maxSeeds && !configured {
		return
	}
	if slices.ContainsFunc(m.probing.seeds, func(s *seed) bool { return s.peer == peer }) {
		return
	}
	// The join pulls from a seed. The slow probes start later so that they skip
	// the seeds that the join has found to be present members.
	next := now.Add(m.jitter(m.opt.SeedProbeInterval, 0.1, 0.5))
	m.probing.seeds = append(m.probing.seeds, &seed{peer: peer, configured: configured, nextProbe: next})
}

// addToProbeOrder inserts a new member at a random position among those still to
// be probed in this cycle, so that it is probed within one cycle.
func (m *Membership) addToProbeOrder(e *entry) {
	p := &m.probing
	p.probeOrder = append(p.probeOrder, e)
	last := len(p.probeOrder) - 1
	i := p.orderPos + m.opt.Rand.IntN(last-p.orderPos+1)
	p.probeOrder[i], p.probeOrder[last] = p.probeOrder[last], p.probeOrder[i]
}

func (m *Membership) tickProbing(now time.Time) {
	p := &m.probing
	if !now.Before(p.next) {
		p.next = now.Add(m.jitter(m.opt.ProbeInterval, 0.9, 1.1))
		if e := m.nextToProbe(); e != nil {
			m.probe(now, e)
		}
	}
	if !now.Before(p.nextSlow) {
		p.nextSlow = now.Add(m.jitter(slowProbeInterval, 0.9, 1.1))
		m.probeSlow(now)
	}
	// A result that the driver loses must not keep a probe in flight for ever.
	for _, id := range m.overdue(now) {
		if p.inFlight[id].via == 0 {
			m.onProbeFailed(now, id)
		} else {
			p.inFlight[id].via = 1
			m.onViaAnswered(now, ProbeViaAnswered{ID: id})
		}
	}
}

// overdue returns the IDs, sorted, of the probes in flight for more than four
// probe timeouts.
func (m *Membership) overdue(now time.Time) []uint64 {
	var ids []uint64
	for id, pr := range m.probing.inFlight {
		if now.Sub(pr.startedAt) > 4*m.opt.ProbeTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// nextToProbe returns the next present member to probe; nil if there is none.
func (m *Membership) nextToProbe() *entry {
	p := &m.probing
	for range 2 {
		for p.orderPos < len(p.probeOrder) {
			e := p.probeOrder[p.orderPos]
			p.orderPos++
			if e.index >= 0 {
				return e
			}
		}
		p.probeOrder = append(p.probeOrder[:0], m.present...)
		m.opt.Rand.Shuffle(len(p.probeOrder), func(i, j int) { p.probeOrder[i], p.probeOrder[j] = p.probeOrder[j], p.probeOrder[i] })
		p.orderPos = 0
	}
	return nil
}

// probe probes a known member. The message carries any suspicion or claim
// against the member, so that it can refute it, and for a member that failed or
// left also the record of this node, so that it learns of it.
func (m *Membership) probe(now time.Time, e *entry) {
	var first []Update
	if rec, ok := e.disputed(); ok {
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
	p.inFlight[p.id] = &probe{node: node, peer: peer, startedAt: now}
	m.counts.Probes++
	m.act(Probe{ID: p.id, Node: node, Peer: peer, Message: m.message(first...), Timeout: m.opt.ProbeTimeout})
}

// probeSlow probes one random failed member every FailedProbeInterval, and each
// seed that is not a present member every SeedProbeInterval.
func (m *Membership) probeSlow(now time.Time) {
	if s := m.dueSeed(now); s != nil {
		s.nextProbe = now.Add(m.jitter(m.opt.SeedProbeInterval, 0.8, 1.2))
		m.startProbe(now, "", s.peer, []Update{MemberUpdate(m.self.rec)})
		return
	}
	if now.Before(m.probing.nextFailed) {
		return
	}
	var failed []*entry
	for _, e := range m.entries {
		if e.effective == dogwoodford.StateFailed {
			failed = append(failed, e)
		}
	}
	every := m.opt.FailedProbeInterval
	if now.Sub(m.probing.lastRecovery) < recoveryPeriod {
		every = slowProbeInterval
	}
	m.probing.nextFailed = now.Add(m.jitter(every, 0.8, 1.2))
	if len(failed) == 0 {
		return
	}
	// Sorted, so that the choice depends only on the random source and not on the
	// order of the map.
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
			s.nextProbe = now.Add(m.jitter(m.opt.SeedProbeInterval, 0.8, 1.2))
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
		if rec, ok := e.disputed(); ok {
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
	pr := m.probing.inFlight[ev.ID]
	delete(m.probing.inFlight, ev.ID)
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
	pr := m.probing.inFlight[id]
	if pr == nil || pr.via != 0 {
		return
	}
	m.counts.Misses++
	e := m.entries[pr.node]
	if pr.node == "" || e == nil || !e.endedAt.IsZero() {
		delete(m.probing.inFlight, id)
		m.seedMissed(pr.peer)
		return
	}
	via := m.randomPresent(m.opt.IndirectProbes, e)
	if len(via) == 0 {
		delete(m.probing.inFlight, id)
		m.suspect(now, e)
		return
	}
	pr.via, pr.startedAt = len(via), now
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
		return !s.configured && s.misses >= maxSeedMisses
	})
}

func (m *Membership) onViaAnswered(now time.Time, ev ProbeViaAnswered) {
	pr := m.probing.inFlight[ev.ID]
	if pr == nil || pr.via == 0 {
		return
	}
	pr.via--
	if ev.Alive {
		delete(m.probing.inFlight, ev.ID)
		return
	}
	if pr.via > 0 {
		return
	}
	delete(m.probing.inFlight, ev.ID)
	if e := m.entries[pr.node]; e != nil && e.endedAt.IsZero() {
		m.suspect(now, e)
	}
}
