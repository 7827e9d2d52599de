package dogmember

import (
	"slices"
	"strings"
	"time"

	"dogwoodford"
)

// syncing is the state of the join and of anti-entropy.
type syncing struct {
	joined       bool
	joinAt       time.Time // Earliest time of the next attempt to find members.
	backoff      time.Duration
	rounds       int      // Rounds over the platform's objects or the seeds that led to no member.
	untried      []string // Peers not yet asked for the whole state.
	reading      bool
	pulling      string // Peer of the pull in progress; empty if none.
	pullStarted  time.Time
	parts        int  // Number of partial hashes sent.
	full         bool // Whether the pull in progress asks for the whole state.
	nextPull     time.Time
	pullInterval time.Duration
}

const (
	// bootstrapWait is the longest pause before a node concludes that it is the
	// first of its data centre. It is random, so that few of the nodes that start
	// at the same time write the members object.
	bootstrapWait = 3 * time.Second
	// aloneReadInterval is the pause between reads of the platform while no other
	// member is present.
	aloneReadInterval = 10 * time.Second
	// backoffMax bounds the pause between attempts to join.
	backoffMax = 10 * time.Second
	// pullTimeout is the longest time that the result of a pull may take.
	pullTimeout = 10 * time.Second
	// endedPullWindow is how long members that failed or left are included in
	// answers to pulls. Nodes that missed the update learn of it well within this
	// time.
	endedPullWindow = 10 * time.Minute
	// maxIntervalFactor bounds the pause between pulls that change no record, as a
	// multiple of Options.SyncInterval.
	maxIntervalFactor = 8
)

func (m *Membership) initSyncing(now time.Time) {
	m.syncing = syncing{
		joinAt:       now.Add(m.jitter(time.Second, 0, 1)),
		backoff:      time.Second,
		pullInterval: m.opt.SyncInterval,
		untried:      m.shuffled(m.opt.Seeds),
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
		if now.Sub(s.pullStarted) > pullTimeout {
			m.onPullFailed(now, s.pulling)
		}
		return
	}
	if s.joined && len(m.present) > 0 || s.reading || now.Before(s.joinAt) {
		return
	}
	switch {
	case len(s.untried) > 0:
		peer := s.untried[0]
		s.untried = s.untried[1:]
		m.pull(now, peer, nil)
	case m.opt.Platform:
		s.reading = true
		m.act(ReadSeeds{Prefix: seedPrefix})
	case s.rounds >= 2 || len(m.opt.Seeds) == 0:
		m.setJoined(now)
		s.joinAt = now.Add(m.jitter(aloneReadInterval, 0.8, 1.2))
		s.untried = m.shuffled(m.opt.Seeds)
	default:
		s.rounds++
		s.untried = m.shuffled(m.opt.Seeds)
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
		m.seedList.eligibleAt = now.Add(keeperDelay)
		m.seedList.dirty = true
	}
}

func (m *Membership) pull(now time.Time, peer string, parts []uint32) {
	s := &m.syncing
	s.pulling, s.pullStarted, s.full, s.parts = peer, now, parts == nil, len(parts)
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
			// The caller's own record is always included: after a restart with
			// a clock that is behind, it must exceed the incarnation known here.
			recs = append(recs, e.rec)
			continue
		}
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) > endedPullWindow {
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
	// Other nodes that lack the same records pull them too. Queuing each record
	// for dissemination would fill the messages for minutes after a start or a
	// network partition.
	m.mergingPull = true
	changed := m.receive(now, ev.Peer, ev.Updates)
	m.mergingPull = false
	if s.pulling != ev.Peer {
		return
	}
	s.pulling = ""
	if s.full {
		s.rounds = 0
		s.backoff = time.Second
		m.setJoined(now)
		s.joinAt = now.Add(m.jitter(aloneReadInterval, 0.8, 1.2))
		return
	}
	if changed {
		s.pullInterval = m.opt.SyncInterval
	} else {
		s.pullInterval = min(2*s.pullInterval, maxIntervalFactor*m.opt.SyncInterval)
	}
	// A large answer is followed by a pause that keeps the average at SyncRate.
	pause := max(s.pullInterval, time.Duration(bytes)*time.Second/time.Duration(m.opt.SyncRate))
	s.nextPull = now.Add(m.jitter(pause, 0.8, 1.2))
}

func (m *Membership) onPullFailed(now time.Time, peer string) {
	s := &m.syncing
	if s.pulling != peer {
		return
	}
	s.pulling = ""
	if !s.full {
		s.nextPull = now.Add(m.jitter(m.opt.SyncInterval, 0.8, 1.2))
		return
	}
	m.joinLater(now)
}

func (m *Membership) joinLater(now time.Time) {
	s := &m.syncing
	s.joinAt = now.Add(m.jitter(s.backoff, 0.5, 1.5))
	s.backoff = min(2*s.backoff, backoffMax)
}

// compare compares the hashes in the answer to a probe with those of this node.
// It reports differing contracts and pulls differing records.
func (m *Membership) compare(now time.Time, pr *probe, msg Message) {
	if msg.ContractsHash != 0 && msg.ContractsHash != m.contracts {
		m.act(ContractsDiffer{Node: pr.node, Peer: pr.peer, Hash: msg.ContractsHash})
	}
	s := &m.syncing
	if msg.Summary == 0 || msg.Summary == m.summary || s.pulling != "" || now.Before(s.nextPull) {
		return
	}
	s.nextPull = now.Add(m.jitter(s.pullInterval, 0.8, 1.2))
	m.pull(now, pr.peer, m.parts(partCount(len(m.entries))))
}

// onJoinSeedsRead continues the join with the members objects of the platform.
func (m *Membership) onJoinSeedsRead(now time.Time, ev SeedsRead) {
	s := &m.syncing
	s.reading = false
	if ev.Err != nil {
		s.untried = m.shuffled(m.opt.Seeds)
		m.joinLater(now)
		return
	}
	near, far, version := m.candidates(now, ev.Objects)
	s.rounds++
	if s.rounds < 2 || s.joined {
		// The members of this node's data centre come first, as they are near.
		s.untried = append(m.shuffled(near), m.shuffled(far)...)
		s.untried = s.untried[:min(len(s.untried), 4)]
		switch {
		case len(s.untried) > 0:
			s.joinAt = now
		case s.joined:
			s.joinAt = now.Add(m.jitter(aloneReadInterval, 0.8, 1.2))
		default:
			s.joinAt = now.Add(m.jitter(bootstrapWait, 0.2, 1))
		}
		return
	}
	// No peer answers: this node is the first of its data centre, or all others
	// were replaced.
	s.reading = true
	m.seedList.bootstrapping = true
	m.act(WriteSeeds{Name: m.objectName(), Expected: version, Value: m.encodeSeeds([]*entry{m.self})})
}

// candidates returns the peers named in the members objects, near being those of
// this node's data centre and far the others, and the version of the object of
// this data centre.
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

// onBootstrapWritten handles the result of the write of a node that concluded that
// it is the first of its data centre.
func (m *Membership) onBootstrapWritten(now time.Time, ev SeedsWritten) {
	s := &m.syncing
	m.seedList.bootstrapping = false
	s.reading = false
	s.rounds = 0
	if ev.Err != nil {
		m.joinLater(now)
		return
	}
	m.setJoined(now)
	s.joinAt = now.Add(m.jitter(aloneReadInterval, 0.3, 1))
	m.seedList.lastWrite = now
}

func (m *Membership) objectName() string { return ObjectName(m.self.rec.DataCentre) }
