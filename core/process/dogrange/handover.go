package dogrange

// cutoverGraceMs is how long after the cutover the previous owner still serves
// keys of its window, for requests that were in flight.
const cutoverGraceMs = 1000

// maxSends and sendRetryMs bound the retries of a failed transfer of records.
const (
	maxSends    = 5
	sendRetryMs = 1000
)

// maxAnswerAgeMs is the age of the last answer from the platform beyond which no
// handover starts; none starts after an unanswered call either. A capped window
// cannot be extended while the platform is down. The owner of a range gets an
// answer at each renewal, so a handover waits for one renewal at most.
const maxAnswerAgeMs = 250

// startHandover requests a cap of the window if the range should move to another
// node.
func (rs *Ranges) startHandover(kr *keyRange) {
	c := rs.current(kr)
	if rs.platformLost || c == nil || kr.cap != capNone || kr.restored != nil || kr.inDoubt != nil || rs.now > rs.lastAnswerAt+maxAnswerAgeMs {
		return
	}
	if !rs.draining && !kr.handoverWanted && !rs.shouldRebalance(kr) {
		return
	}
	if _, ok := rs.successor(kr); !ok && !rs.draining {
		kr.handoverWanted = false
		return
	}
	kr.cap = capAsked
	// After a failover the window of this node may start in the future; the
	// next window must not start below it.
	at := max(rs.now+rs.cfg.CutoverLead.Milliseconds(), kr.val.Start)
	rs.emit(CapWindow{Number: kr.number, Epoch: kr.val.Epoch, At: at})
}

// successor returns the node that the range moves to. Two nodes that drain at the
// same time without knowing it of each other would pass a range back and forth,
// so a range that was received during the drain does not return to its previous
// owner.
func (rs *Ranges) successor(kr *keyRange) (Member, bool) {
	if rs.draining && kr.val.Start > rs.drainAt {
		return rs.choose(kr.number, rs.cfg.Node, kr.val.PreviousOwner)
	}
	return rs.choose(kr.number, rs.cfg.Node)
}

// shouldRebalance reports whether the range should move to a node that rendezvous
// hashing has preferred for at least Config.Settle. A node moves one range at a
// time.
func (rs *Ranges) shouldRebalance(kr *keyRange) bool {
	m, ok := rs.choose(kr.number)
	if !ok || m.Node == rs.cfg.Node {
		kr.preferred = Member{}
		return false
	}
	if kr.preferred.Node != m.Node || kr.preferred.Incarnation != m.Incarnation {
		kr.preferred = m
		settle := rs.cfg.Settle.Milliseconds()
		kr.moveAt = rs.now + settle + rs.rnd.Int64N(settle+1)
		return false
	}
	for _, other := range rs.ranges {
		if other.cap != capNone {
			return false
		}
	}
	return rs.now >= kr.moveAt
}

func (rs *Ranges) onCapped(ev WindowCapped) {
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

// handoverWrite returns the write that hands over a capped range, or nil if there
// is no successor and the node is not draining.
func (rs *Ranges) handoverWrite(kr *keyRange) *write {
	v := Value{
		Epoch: kr.val.Epoch + 1, Start: kr.capEnd, End: kr.capEnd,
		PreviousStart: rs.current(kr).start, PreviousOwner: rs.cfg.Node,
	}
	m, ok := rs.successor(kr)
	if !ok {
		if !rs.draining {
			return nil
		}
		// A range without an owner is claimed by the next node that becomes ready.
		return &write{kind: handover, val: v}
	}
	v.Owner, v.OwnerIncarnation, v.OwnerPeer = m.Node, m.Incarnation, m.Peer
	v.End = max(v.Start, rs.now+rs.window())
	if w, ok := rs.chooseWitness(kr.number, m.Node, m.DataCentre); ok {
		v.Witness, v.WitnessIncarnation = w.Node, w.Incarnation
	}
	return &write{kind: handover, val: v}
}

// sendRecords starts the transfer of the records of past windows to the owners of
// the windows that follow them, and forgets windows that need no transfer.
func (rs *Ranges) sendRecords(kr *keyRange) {
	for i := 0; i < len(kr.windows); i++ {
		s := &kr.windows[i]
		expired := s.end+keepWindowMs < rs.now && s.epoch != kr.val.Epoch
		if expired || rs.draining && s.next.Owner != "" && s.op == 0 && rs.now > s.sendAt+maxSends*sendRetryMs {
			kr.windows = append(kr.windows[:i], kr.windows[i+1:]...)
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
		s.op, s.transferStarted = rs.nextOp(), true
		rs.emit(SendRecords{
			Op: s.op, Number: kr.number, Epoch: s.epoch, Start: s.start, End: s.next.Start,
			To: m.Node, Peer: m.Peer, Incarnation: m.Incarnation,
		})
	}
}

func (rs *Ranges) onRecordsSent(ev RecordsSent) {
	for _, kr := range rs.ranges {
		for i := range kr.windows {
			s := &kr.windows[i]
			if s.op != ev.Op || ev.Op == 0 {
				continue
			}
			s.op = 0
			s.tries++
			if !ev.OK && s.tries < maxSends {
				s.sendAt = rs.now + sendRetryMs
				return
			}
			if !ev.OK {
				rs.emit(Report{Kind: "lost", Number: kr.number, Epoch: s.epoch})
			}
			kr.windows = append(kr.windows[:i], kr.windows[i+1:]...)
			rs.dirty = true
			return
		}
	}
}

// maxReceived bounds the imports of a range that are kept until this node learns
// of the window that follows them.
const maxReceived = 16

func (rs *Ranges) onRecordsReceived(ev RecordsReceived) {
	if ev.Number < 0 || ev.Number >= len(rs.ranges) || ev.Incarnation != rs.cfg.Incarnation || ev.Start > ev.End {
		return
	}
	kr := rs.ranges[ev.Number]
	if rs.merge(kr, ev) {
		return
	}
	// To the sender this node is the next owner, but it may not have learned
	// that yet.
	kr.stale = kr.stale || ev.Epoch >= kr.val.Epoch
	if len(kr.received) < maxReceived {
		kr.received = append(kr.received, ev)
	}
}

// merge extends a window of this node backwards over the preceding window, whose
// complete records have been imported. It reports whether there is such a window.
func (rs *Ranges) merge(kr *keyRange, r RecordsReceived) bool {
	for i := range kr.windows {
		if s := &kr.windows[i]; s.start == r.End && s.epoch == r.Epoch+1 && !s.transferStarted {
			s.start, rs.dirty = min(s.start, r.Start), true
			return true
		}
	}
	return false
}
