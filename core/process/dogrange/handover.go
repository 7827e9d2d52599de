package dogrange

// graceMs is how long the old owner serves keys of its window after the
// cutover, for requests that were under way.
const graceMs = 1000

// sendTries and sendAgainMs bound the repeats of a failed transfer of records.
const (
	sendTries   = 5
	sendAgainMs = 1000
)

// recentMs is the age of the last answer of the platform beyond which no
// handover starts, as none does after a call without an answer. A capped window
// cannot be prolonged while the platform is down. The owner of a range hears of
// the platform at each renewal, so that a handover waits for one at most.
const recentMs = 250

// startHandover caps the window when the range has to move.
func (rs *Ranges) startHandover(kr *keyRange) {
	c := rs.current(kr)
	if rs.lost || c == nil || kr.cap != capNone || kr.restored != nil || kr.doubt != nil || rs.now > rs.okAt+recentMs {
		return
	}
	if !rs.draining && !kr.wanted && !rs.rebalance(kr) {
		return
	}
	if _, ok := rs.successor(kr); !ok && !rs.draining {
		kr.wanted = false
		return
	}
	kr.cap = capAsked
	// After a failover the own window may still lie ahead; the next one must
	// not start below it.
	at := max(rs.now+rs.cfg.Cutover.Milliseconds(), kr.val.Start)
	rs.do(CapWindow{Number: kr.number, Epoch: kr.val.Epoch, At: at})
}

// successor returns the node that the range moves to. Two nodes that drain at
// once and do not know it of each other would pass a range to and fro, so a
// range that came during the drain does not go back.
func (rs *Ranges) successor(kr *keyRange) (Member, bool) {
	if rs.draining && kr.val.Start > rs.drainAt {
		return rs.choose(kr.number, rs.cfg.Node, kr.val.PreviousOwner)
	}
	return rs.choose(kr.number, rs.cfg.Node)
}

// rebalance reports whether the range should move to a node that rendezvous
// hashing has preferred for a while. A node moves one range at a time.
func (rs *Ranges) rebalance(kr *keyRange) bool {
	m, ok := rs.choose(kr.number)
	if !ok || m.Node == rs.cfg.Node {
		kr.better = Member{}
		return false
	}
	if kr.better.Node != m.Node || kr.better.Incarnation != m.Incarnation {
		kr.better = m
		settle := rs.cfg.Settle.Milliseconds()
		kr.betterAt = rs.now + settle + rs.rnd.Int64N(settle+1)
		return false
	}
	for _, other := range rs.ranges {
		if other.cap != capNone {
			return false
		}
	}
	return rs.now >= kr.betterAt
}

func (rs *Ranges) onCapped(ev Capped) {
	if ev.Number < 0 || ev.Number >= len(rs.ranges) {
		return
	}
	kr := rs.ranges[ev.Number]
	c := rs.current(kr)
	if c == nil || kr.cap != capAsked || kr.val.Epoch != ev.Epoch {
		return
	}
	kr.cap, kr.capEnd = capDone, max(min(ev.End, c.end), kr.val.Start)
	if !rs.broken.noCap {
		c.end = kr.capEnd
	}
	kr.ask = promiseAsk{}
	rs.dirty = true
}

// handOver returns the write that gives a capped range away, or nil if there
// is no successor and the node stays.
func (rs *Ranges) handOver(kr *keyRange) *write {
	v := Value{
		Epoch: kr.val.Epoch + 1, Start: kr.capEnd, End: kr.capEnd,
		PreviousStart: rs.current(kr).start, PreviousOwner: rs.cfg.Node,
	}
	m, ok := rs.successor(kr)
	if !ok {
		if !rs.draining {
			return nil
		}
		// A range without owner is free for the next node that becomes ready.
		return &write{kind: handover, val: v}
	}
	v.Owner, v.OwnerIncarnation, v.OwnerPeer = m.Node, m.Incarnation, m.Peer
	v.End = max(v.Start, rs.now+rs.window())
	if w, ok := rs.chooseWitness(kr.number, m.Node, m.DataCentre); ok {
		v.Witness, v.WitnessIncarnation = w.Node, w.Incarnation
	}
	return &write{kind: handover, val: v}
}

// sendRecords moves the records of past windows to the owner of the next one.
func (rs *Ranges) sendRecords(kr *keyRange) {
	for i := 0; i < len(kr.spans); i++ {
		s := &kr.spans[i]
		over := s.end+keepMs < rs.now && s.epoch != kr.val.Epoch
		if over || rs.draining && s.next.Owner != "" && s.op == 0 && rs.now > s.sendAt+sendTries*sendAgainMs {
			kr.spans = append(kr.spans[:i], kr.spans[i+1:]...)
			i--
			rs.dirty = true
			continue
		}
		if s.next.Owner == "" || s.op != 0 || rs.now < s.sendAt {
			continue
		}
		m, ok := rs.members[s.next.Owner]
		if !ok || !present(m.State) || m.Incarnation != s.next.OwnerIncarnation {
			continue
		}
		s.op, s.sent = rs.nextOp(), true
		rs.do(SendRecords{
			Op: s.op, Number: kr.number, Epoch: s.epoch, Start: s.start, End: s.next.Start,
			To: m.Node, Peer: m.Peer, Incarnation: m.Incarnation,
		})
	}
}

func (rs *Ranges) onRecordsSent(ev RecordsSent) {
	for _, kr := range rs.ranges {
		for i := range kr.spans {
			s := &kr.spans[i]
			if s.op != ev.Op || ev.Op == 0 {
				continue
			}
			s.op = 0
			s.tries++
			if !ev.OK && s.tries < sendTries {
				s.sendAt = rs.now + sendAgainMs
				return
			}
			if !ev.OK {
				rs.do(Report{Kind: "lost", Number: kr.number, Epoch: s.epoch})
			}
			kr.spans = append(kr.spans[:i], kr.spans[i+1:]...)
			rs.dirty = true
			return
		}
	}
}

// maxReceived bounds the imports that wait for the knowledge of their window.
const maxReceived = 16

func (rs *Ranges) onRecordsReceived(ev RecordsReceived) {
	if ev.Number < 0 || ev.Number >= len(rs.ranges) || ev.Incarnation != rs.cfg.Incarnation || ev.Start > ev.End {
		return
	}
	kr := rs.ranges[ev.Number]
	if rs.merge(kr, ev) {
		return
	}
	// The sender takes this node for the next owner, which it may not have
	// heard of yet.
	kr.stale = kr.stale || ev.Epoch >= kr.val.Epoch
	if len(kr.received) < maxReceived {
		kr.received = append(kr.received, ev)
	}
}

// merge extends a window back over the one whose complete records are here.
func (rs *Ranges) merge(kr *keyRange, r RecordsReceived) bool {
	for i := range kr.spans {
		if s := &kr.spans[i]; s.start == r.End && s.epoch == r.Epoch+1 && !s.sent {
			s.start, rs.dirty = min(s.start, r.Start), true
			return true
		}
	}
	return false
}
