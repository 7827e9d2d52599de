package dogmember

import (
	"slices"
	"strings"
	"time"

	"dogwoodford"
)

// syncing is the state of joining and of the comparison of records.
type syncing struct {
	joined  bool
	joinAt  time.Time // Next attempt to find members.
	backoff time.Duration
	rounds  int      // Reads of the platform that led to no member.
	try     []string // Peers still to be asked for the whole state.
	reading bool
	pulling string // Peer of the open pull; empty if none.
	since   time.Time
	parts   int  // Partial hashes sent.
	full    bool // The open pull asks for the whole state.
	next    time.Time
	wait    time.Duration
}

const (
	// foundWait is the longest pause before a node takes itself for the first
	// of its data centre, so that of nodes started at once few write.
	foundWait = 3 * time.Second
	// aloneEvery is the pause between reads of the platform while no other
	// member is known.
	aloneEvery = 10 * time.Second
	// backoffMax bounds the pause between attempts to join.
	backoffMax = 10 * time.Second
	// pullWait is the longest wait for the result of a pull.
	pullWait = 10 * time.Second
	// toldEnded is how long ended members are told in pulls. Nodes that missed
	// the end learn of it well within this time.
	toldEnded = 10 * time.Minute
	// waitFactor bounds the pause between pulls that bring nothing, as a
	// multiple of Options.SyncEvery.
	waitFactor = 8
)

func (m *Membership) initSyncing(now time.Time) {
	m.syncing = syncing{
		joinAt:  now.Add(m.jitter(time.Second, 0, 1)),
		backoff: time.Second,
		wait:    m.opt.SyncEvery,
		try:     m.shuffled(m.opt.Seeds),
	}
}

func (m *Membership) shuffled(peers []string) []string {
	out := slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == m.self.rec.Peer })
	m.opt.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (m *Membership) tickSyncing(now time.Time) {
	s := &m.syncing
	if s.pulling != "" {
		if now.Sub(s.since) > pullWait {
			m.onPullFailed(now, s.pulling)
		}
		return
	}
	if s.joined && len(m.present) > 0 || s.reading || now.Before(s.joinAt) {
		return
	}
	switch {
	case len(s.try) > 0:
		peer := s.try[0]
		s.try = s.try[1:]
		m.pull(now, peer, nil)
	case m.opt.Platform:
		s.reading = true
		m.act(ReadSeeds{Prefix: seedPrefix})
	case s.rounds >= 2 || len(m.opt.Seeds) == 0:
		m.setJoined(now)
		s.joinAt = now.Add(m.jitter(aloneEvery, 0.8, 1.2))
		s.try = m.shuffled(m.opt.Seeds)
	default:
		s.rounds++
		s.try = m.shuffled(m.opt.Seeds)
	}
}

// parts returns count partial hashes of all member records.
func (m *Membership) parts(count int) []uint32 {
	if count == 0 {
		return nil
	}
	out := make([]uint32, count)
	for _, e := range m.entries {
		out[part(e.nameHash, count)] ^= uint32(e.hash >> 32)
	}
	return out
}

func (m *Membership) setJoined(now time.Time) {
	if !m.syncing.joined {
		m.syncing.joined = true
		m.keeping.settleAt = now.Add(settle)
		m.keeping.dirty = true
	}
}

func (m *Membership) pull(now time.Time, peer string, parts []uint32) {
	s := &m.syncing
	s.pulling, s.since, s.full, s.parts = peer, now, parts == nil, len(parts)
	m.counts.Pulls++
	m.act(Pull{Peer: peer, Self: m.self.rec, Parts: parts})
}

func (m *Membership) onPullArrived(now time.Time, ev PullArrived) {
	if ev.Self != nil {
		m.receive(now, ev.From, []Update{MemberUpdate(*ev.Self)})
	}
	all := len(ev.Parts) == 0
	parts := m.parts(len(ev.Parts))
	var recs []Member
	for _, e := range m.entries {
		if e.rec.Node == ev.From {
			// The caller's own record is always told: after a restart with a
			// clock that is behind, it must exceed the incarnation known here.
			recs = append(recs, e.rec)
			continue
		}
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) > toldEnded {
			continue
		}
		if all {
			recs = append(recs, e.rec)
		} else if p := part(e.nameHash, len(parts)); ev.Parts[p] != parts[p] {
			recs = append(recs, e.rec)
		}
	}
	slices.SortFunc(recs, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	reply := PullReply{All: all}
	for _, rec := range recs {
		reply.Updates = append(reply.Updates, MemberUpdate(rec))
	}
	m.act(reply)
}

func (m *Membership) onPullAnswered(now time.Time, ev PullAnswered) {
	s := &m.syncing
	bytes := 4 * s.parts
	for _, u := range ev.Updates {
		bytes += m.opt.Size(u)
	}
	// Who lacks the same records pulls them too. Spreading them all one by one
	// would fill the messages for minutes after a start or a cut.
	m.bulk = true
	news := m.receive(now, ev.Peer, ev.Updates)
	m.bulk = false
	if s.pulling != ev.Peer {
		return
	}
	s.pulling = ""
	if s.full {
		s.rounds = 0
		s.backoff = time.Second
		m.setJoined(now)
		s.joinAt = now.Add(m.jitter(aloneEvery, 0.8, 1.2))
		return
	}
	if news {
		s.wait = m.opt.SyncEvery
	} else {
		s.wait = min(2*s.wait, waitFactor*m.opt.SyncEvery)
	}
	// A large answer is followed by a pause in which its bytes average out.
	pause := max(s.wait, time.Duration(bytes)*time.Second/time.Duration(m.opt.SyncRate))
	s.next = now.Add(m.jitter(pause, 0.8, 1.2))
}

func (m *Membership) onPullFailed(now time.Time, peer string) {
	s := &m.syncing
	if s.pulling != peer {
		return
	}
	s.pulling = ""
	if !s.full {
		s.next = now.Add(m.jitter(m.opt.SyncEvery, 0.8, 1.2))
		return
	}
	m.joinLater(now)
}

func (m *Membership) joinLater(now time.Time) {
	s := &m.syncing
	s.joinAt = now.Add(m.jitter(s.backoff, 0.5, 1.5))
	s.backoff = min(2*s.backoff, backoffMax)
}

// compare reacts to the hashes in the answer to a probe.
func (m *Membership) compare(now time.Time, pr *probe, msg Message) {
	if msg.Contracts != 0 && msg.Contracts != m.contracts {
		m.act(ContractsDiffer{Node: pr.node, Peer: pr.peer, Hash: msg.Contracts})
	}
	s := &m.syncing
	if msg.Summary == 0 || msg.Summary == m.summary || s.pulling != "" || now.Before(s.next) {
		return
	}
	s.next = now.Add(m.jitter(s.wait, 0.8, 1.2))
	m.pull(now, pr.peer, m.parts(partCount(len(m.entries))))
}

// joinRead continues a join with what the platform holds.
func (m *Membership) joinRead(now time.Time, ev SeedsRead) {
	s := &m.syncing
	s.reading = false
	if ev.Err != nil {
		s.try = m.shuffled(m.opt.Seeds)
		m.joinLater(now)
		return
	}
	near, far, version := m.candidates(now, ev.Objects)
	s.rounds++
	if s.rounds < 2 || s.joined {
		// The members of the own data centre first, as they are near.
		s.try = append(m.shuffled(near), m.shuffled(far)...)
		s.try = s.try[:min(len(s.try), 4)]
		switch {
		case len(s.try) > 0:
			s.joinAt = now
		case s.joined:
			s.joinAt = now.Add(m.jitter(aloneEvery, 0.8, 1.2))
		default:
			s.joinAt = now.Add(m.jitter(foundWait, 0.2, 1))
		}
		return
	}
	// Nobody answers: this node is the first of its data centre, or all others
	// were replaced.
	s.reading = true
	m.keeping.founding = true
	m.act(WriteSeeds{Name: m.objectName(), Expected: version, Value: m.seedsValue([]*entry{m.self})})
}

// candidates returns the peers named in the members objects, those of the own
// data centre apart, and the version of its object.
func (m *Membership) candidates(now time.Time, objects []dogwoodford.Object) (near, far []string, version int64) {
	for _, obj := range objects {
		own := obj.Name == m.objectName()
		if own {
			version = obj.Version
		}
		for _, sd := range parseSeeds(obj.Value) {
			if sd.Node == m.self.rec.Node {
				continue
			}
			m.addSeed(now, sd.Peer, false)
			if own {
				near = append(near, sd.Peer)
			} else {
				far = append(far, sd.Peer)
			}
		}
	}
	return near, far, version
}

// founded ends the write of a node that takes itself for the first.
func (m *Membership) founded(now time.Time, ev SeedsWritten) {
	s := &m.syncing
	m.keeping.founding = false
	s.reading = false
	s.rounds = 0
	if ev.Err != nil {
		m.joinLater(now)
		return
	}
	m.setJoined(now)
	s.joinAt = now.Add(m.jitter(aloneEvery, 0.3, 1))
	m.keeping.lastWrite = now
}

func (m *Membership) objectName() string { return ObjectName(m.self.rec.DataCentre) }
