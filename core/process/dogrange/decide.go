package dogrange

import (
	"hash/fnv"
	"slices"
	"strconv"

	"dogwoodford"
)

// expiredMs is how long after the end of a window, by the clock of the
// witness, an owner that does not renew is taken for gone although membership
// holds it for present.
const expiredMs = 2000

// decide returns the write that the range needs now, or nil.
func (rs *Ranges) decide(kr *keyRange) *write {
	v := kr.val
	switch {
	case kr.doubt != nil && kr.doubt.kind == failover:
		// Promises stay barred until the doubt ends, so it is ended even if
		// the owner has come back.
		w := *kr.doubt
		return &w
	case rs.mine(kr):
		return rs.decideOwner(kr)
	case v.Epoch == 0:
		if kr.restored == nil && rs.chosen(kr) {
			return &write{kind: creation, val: rs.take(kr, rs.now)}
		}
	case v.Owner == "" || rs.released(kr):
		if rs.chosen(kr) {
			return &write{kind: claim, val: rs.take(kr, rs.now)}
		}
	case v.OwnerPeer == rs.cfg.Peer && rs.cfg.Peer != "" && v.OwnerIncarnation != rs.cfg.Incarnation:
		// The listener of the old process is ours, so it is gone. It may have
		// had a promise up to a window ahead.
		start := rs.now + rs.window()
		if rs.broken.restartAtEnd {
			start = 0
		}
		return &write{kind: restart, val: rs.take(kr, start)}
	case rs.witnesses(v) && rs.gone(kr):
		return &write{kind: failover, val: rs.takeOver(kr)}
	}
	return nil
}

func (rs *Ranges) decideOwner(kr *keyRange) *write {
	c := rs.current(kr)
	switch {
	case kr.restored != nil:
		return &write{kind: repair, val: rs.take(kr, c.end)}
	case kr.cap == capDone:
		if w := rs.handOver(kr); w != nil {
			return w
		}
	case rs.now < kr.renewAt:
		return nil
	}
	val, changed := rs.renew(kr, c)
	return &write{kind: renewal, val: val, witness: changed}
}

// renew returns the value of a renewal and whether it names another witness.
func (rs *Ranges) renew(kr *keyRange, c *span) (val Value, changed bool) {
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

// keepsWitness reports whether the present witness stays: it is ready, and in
// another data centre if the candidate is.
func (rs *Ranges) keepsWitness(v Value, candidate Member) bool {
	m, ok := rs.members[v.Witness]
	if !ok || m.State != dogwoodford.Ready || m.Incarnation != v.WitnessIncarnation {
		return false
	}
	return m.DataCentre != rs.cfg.DataCentre || candidate.DataCentre == rs.cfg.DataCentre
}

// take returns the value by which this node starts the next epoch, at or after
// every end that it knows of and at or after start.
func (rs *Ranges) take(kr *keyRange, start int64) Value {
	old := kr.val
	epoch := old.Epoch
	start = max(start, old.End)
	if r := kr.restored; r != nil {
		epoch = max(epoch, r.Epoch)
		start = max(start, r.End)
		if !rs.mine(kr) {
			// A confirmed end that this node has not seen may be lost.
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

// takeOver is take for the witness, which keeps its promises.
func (rs *Ranges) takeOver(kr *keyRange) Value {
	promised := kr.promised[kr.val.Epoch]
	if rs.broken.forgetPromise {
		promised = 0
	}
	v := rs.take(kr, promised)
	if rs.broken.startBelowEnd {
		v.Start = max(kr.val.Start, v.Start-3000)
	}
	return v
}

func (rs *Ranges) witnesses(v Value) bool {
	return v.Witness == rs.cfg.Node && (v.WitnessIncarnation == rs.cfg.Incarnation || rs.broken.anyIncarnation)
}

// released reports whether an operator freed the range after a restore.
func (rs *Ranges) released(kr *keyRange) bool {
	return kr.restored != nil && kr.restored.Epoch > 0 && kr.restored.Owner == "" && rs.gone(kr)
}

// gone reports whether the owner is held for failed. Taking over early is
// safe, so this decides only how long keys are refused.
func (rs *Ranges) gone(kr *keyRange) bool {
	v := kr.val
	if rs.members == nil {
		return false
	}
	m, ok := rs.members[v.Owner]
	switch {
	case !ok:
		// A view that is still filling says nothing of absent nodes.
		return rs.now > rs.joined+rs.cfg.Settle.Milliseconds()
	case !present(m.State) || m.Incarnation > v.OwnerIncarnation:
		return true
	}
	return rs.now > max(v.End, kr.promised[v.Epoch])+expiredMs
}

func (rs *Ranges) chosen(kr *keyRange) bool {
	m, ok := rs.choose(kr.number)
	return ok && !rs.draining && m.Node == rs.cfg.Node && m.Incarnation == rs.cfg.Incarnation
}

// score is the rendezvous weight of a node for a range.
func score(service string, number int, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "/" + strconv.Itoa(number) + "/" + node))
	// FNV mixes the last bytes poorly.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// choose returns the ready node of the service with the highest weight, but
// for the nodes named in except.
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

// chooseWitness returns the best node besides the owner, in another data
// centre if there is one.
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
