package dogrange

import (
	"hash/fnv"
	"slices"
	"strconv"

	"dogwoodford"
)

// ownerGraceMs is how long after the end of the window, by its own clock, the
// witness waits before it treats an owner that does not renew as failed although
// the membership lists it as present.
const ownerGraceMs = 2000

// decide returns the write that the range needs now, or nil.
func (rs *Ranges) decide(kr *keyRange) *write {
	v := kr.val
	switch {
	case kr.inDoubt != nil && kr.inDoubt.kind == failover:
		// This node gives no promises while a failover write is in doubt, so
		// the write is repeated even if the owner has come back.
		w := *kr.inDoubt
		return &w
	case rs.isOwner(kr):
		return rs.decideOwner(kr)
	case v.Epoch == 0:
		if kr.restored == nil && rs.chosen(kr) {
			return &write{kind: creation, val: rs.nextEpochValue(kr, rs.now)}
		}
	case v.Owner == "" || rs.released(kr):
		if rs.chosen(kr) {
			return &write{kind: claim, val: rs.nextEpochValue(kr, rs.now)}
		}
	case v.OwnerPeer == rs.cfg.Peer && rs.cfg.Peer != "" && v.OwnerIncarnation != rs.cfg.Incarnation:
		// This process has the listener address of the owner, so the owner's
		// process has ended. It may have had a promise up to a window ahead.
		start := rs.now + rs.window()
		if rs.broken.restartAtEnd {
			start = 0
		}
		return &write{kind: restart, val: rs.nextEpochValue(kr, start)}
	case rs.isWitness(v) && rs.ownerFailed(kr):
		return &write{kind: failover, val: rs.failoverValue(kr)}
	}
	return nil
}

func (rs *Ranges) decideOwner(kr *keyRange) *write {
	c := rs.current(kr)
	switch {
	case kr.restored != nil:
		return &write{kind: repair, val: rs.nextEpochValue(kr, c.end)}
	case kr.cap == capDone:
		if w := rs.handoverWrite(kr); w != nil {
			return w
		}
	case rs.now < kr.renewAt:
		return nil
	}
	val, changed := rs.renew(kr, c)
	return &write{kind: renewal, val: val, changesWitness: changed}
}

// renew returns the value of a renewal and whether it names a different witness.
func (rs *Ranges) renew(kr *keyRange, c *ownedWindow) (val Value, changed bool) {
	val = kr.val
	val.End = max(c.end, val.End, rs.now+rs.window())
	w, ok := rs.chooseWitness(kr.number, rs.cfg.Node, rs.cfg.DataCentre)
	if rs.keepsWitness(val, w) {
		return val, false
	}
	if !ok {
		w = Member{}
	}
	if w.Node == val.Witness && w.Incarnation == val.WitnessIncarnation {
		return val, false
	}
	val.Witness, val.WitnessIncarnation = w.Node, w.Incarnation
	// Rows of one epoch are ordered by their end.
	val.End = max(val.End, kr.val.End+1)
	return val, true
}

// keepsWitness reports whether the current witness is kept: it must be ready, and
// in another data centre than the owner if the candidate is.
func (rs *Ranges) keepsWitness(v Value, candidate Member) bool {
	m, ok := rs.members[v.Witness]
	if !ok || m.State != dogwoodford.StateReady || m.Incarnation != v.WitnessIncarnation {
		return false
	}
	return m.DataCentre != rs.cfg.DataCentre || candidate.DataCentre == rs.cfg.DataCentre
}

// nextEpochValue returns the value by which this node starts the next epoch as
// owner. The window starts at or after start and every window end that the node
// knows of.
func (rs *Ranges) nextEpochValue(kr *keyRange, start int64) Value {
	old := kr.val
	epoch := old.Epoch
	start = max(start, old.End)
	if r := kr.restored; r != nil {
		epoch = max(epoch, r.Epoch)
		start = max(start, r.End)
		if !rs.isOwner(kr) {
			// The restore may have lost an end that was confirmed but that
			// this node has not seen.
			start = max(start, rs.now+rs.window())
		}
	}
	v := Value{
		Epoch: epoch + 1, Owner: rs.cfg.Node, OwnerIncarnation: rs.cfg.Incarnation, OwnerPeer: rs.cfg.Peer,
		Start: start, End: max(start, rs.now+rs.window()), PreviousStart: old.Start, PreviousOwner: old.Owner,
	}
	if w, ok := rs.chooseWitness(kr.number, rs.cfg.Node, rs.cfg.DataCentre); ok {
		v.Witness, v.WitnessIncarnation = w.Node, w.Incarnation
	}
	return v
}

// failoverValue is nextEpochValue for the witness. The window starts at or after
// every end that the witness has promised.
func (rs *Ranges) failoverValue(kr *keyRange) Value {
	promised := kr.promised[kr.val.Epoch]
	if rs.broken.forgetPromise {
		promised = 0
	}
	v := rs.nextEpochValue(kr, promised)
	if rs.broken.startBelowEnd {
		v.Start = max(kr.val.Start, v.Start-3000)
	}
	return v
}

func (rs *Ranges) isWitness(v Value) bool {
	return v.Witness == rs.cfg.Node && (v.WitnessIncarnation == rs.cfg.Incarnation || rs.broken.anyIncarnation)
}

// released reports whether, after a restore, an operator released the range and
// its owner has failed.
func (rs *Ranges) released(kr *keyRange) bool {
	return kr.restored != nil && kr.restored.Epoch > 0 && kr.restored.Owner == "" && rs.ownerFailed(kr)
}

// ownerFailed reports whether the owner is considered to have failed. A takeover
// that is too early is safe, so this affects only how long keys are refused.
func (rs *Ranges) ownerFailed(kr *keyRange) bool {
	v := kr.val
	if rs.members == nil {
		return false
	}
	m, ok := rs.members[v.Owner]
	switch {
	case !ok:
		// Soon after the start the membership is incomplete, so a missing
		// node may still be present.
		return rs.now > rs.firstMembersAt+rs.cfg.Settle.Milliseconds()
	case !present(m.State) || m.Incarnation > v.OwnerIncarnation:
		return true
	}
	return rs.now > max(v.End, kr.promised[v.Epoch])+ownerGraceMs
}

func (rs *Ranges) chosen(kr *keyRange) bool {
	m, ok := rs.choose(kr.number)
	return ok && !rs.draining && m.Node == rs.cfg.Node && m.Incarnation == rs.cfg.Incarnation
}

// score returns the rendezvous hashing weight of a node for a range.
func score(service string, number int, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "/" + strconv.Itoa(number) + "/" + node))
	// FNV does not mix the last bytes of its input well.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// choose returns the ready node of the service with the highest rendezvous
// weight, other than the nodes named in except.
func (rs *Ranges) choose(number int, except ...string) (Member, bool) {
	var best Member
	var high uint64
	for _, m := range rs.ready {
		if s := score(rs.cfg.Service, number, m.Node); !slices.Contains(except, m.Node) && (best.Node == "" || s > high) {
			best, high = m, s
		}
	}
	return best, best.Node != ""
}

// chooseWitness returns the ready node with the highest rendezvous weight other
// than the owner. Nodes in other data centres than the owner's come first.
func (rs *Ranges) chooseWitness(number int, owner, dataCentre string) (Member, bool) {
	var best Member
	var high uint64
	for _, m := range rs.ready {
		if m.Node == owner {
			continue
		}
		s := score(rs.cfg.Service, number, m.Node) >> 1
		if m.DataCentre != dataCentre {
			s |= 1 << 63
		}
		if best.Node == "" || s > high {
			best, high = m, s
		}
	}
	return best, best.Node != ""
}
