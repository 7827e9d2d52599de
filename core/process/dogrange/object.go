package dogrange

import (
	"errors"
	"time"

	"dogwoodford"
)

// keyRange is the state of one range of the node's own service.
type keyRange struct {
	number int

	val      Value  // Content with the highest epoch seen and, within that epoch, the highest End.
	ver      int64  // Newest version seen; 0 if the object does not exist.
	restored *Value // Older content found in place of val after a restore; zero if missing or malformed.
	stale    bool   // The object must be read before the next write.
	readAt   int64  // Time of the last read that was answered.

	op        int64  // Platform call in progress, or 0.
	opWrite   *write // The write of that call; nil for a read.
	opVersion int64  // ver when the read was sent.
	inDoubt   *write // Write that may still take effect.
	failures  int    // Number of successive calls without an answer.
	due       int64  // No platform call starts before this time.
	renewAt   int64
	pollAt    int64

	windows        []ownedWindow
	received       []RecordsReceived // Imports whose following window is not known yet.
	ask            promiseAsk
	witnessChanges int // Number of writes that named another witness.
	promised       map[int64]int64

	handoverWanted bool // A handover was requested.
	cap            capState
	capEnd         int64
	preferred      Member // Owner that rendezvous hashing prefers,
	moveAt         int64  // and the time from which the range may move to it.
}

type capState int

const (
	capNone capState = iota
	capAsked
	capDone // The window ends at capEnd; the handover may be written.
)

// ownedWindow is a window of this incarnation and the state of the transfer of
// its records to the next owner.
type ownedWindow struct {
	heldWindow
	next            Value // Value of the next epoch; zero while that is not known.
	sendAt          int64
	op              int64 // SendRecords in progress.
	tries           int
	transferStarted bool // A transfer was started, which closes the epoch in dogrecord.
}

type writeKind int

const (
	renewal writeKind = iota
	creation
	failover
	restart
	handover
	claim
	repair // Written by the owner after a restore or over a malformed object.
)

type write struct {
	kind           writeKind
	expected       int64
	val            Value
	changesWitness bool // It names another witness within the epoch.
}

func (rs *Ranges) isOwner(kr *keyRange) bool {
	return kr.val.Owner == rs.cfg.Node && kr.val.OwnerIncarnation == rs.cfg.Incarnation
}

// current returns the window of the epoch in which this incarnation owns the
// range, or nil.
func (rs *Ranges) current(kr *keyRange) *ownedWindow {
	if !rs.isOwner(kr) {
		return nil
	}
	for i := range kr.windows {
		if kr.windows[i].epoch == kr.val.Epoch {
			return &kr.windows[i]
		}
	}
	return nil
}

func (rs *Ranges) read(kr *keyRange) {
	kr.op, kr.opWrite, kr.opVersion = rs.nextOp(), nil, kr.ver
	rs.emit(ReadObject{Op: kr.op, Name: ObjectName(rs.cfg.Service, kr.number)})
}

func (rs *Ranges) write(kr *keyRange, w *write) {
	w.expected = kr.ver
	if w.changesWitness {
		kr.witnessChanges++
	}
	kr.op, kr.opWrite = rs.nextOp(), w
	rs.emit(WriteObject{
		Op: kr.op, Name: ObjectName(rs.cfg.Service, kr.number), Expected: w.expected, Value: w.val.Bytes(),
	})
}

func (rs *Ranges) byOp(op int64) *keyRange {
	for _, kr := range rs.ranges {
		if kr.op == op && op != 0 {
			return kr
		}
	}
	return nil
}

// backOff delays the next call after one without an answer by 250 ms, doubled for
// each further failure up to 2 s, with a jitter of 50% in both directions.
func (rs *Ranges) backOff(kr *keyRange) {
	wait := min(250<<min(kr.failures, 3), 2000)
	kr.failures++
	rs.platformLost = true
	kr.due = rs.now + int64(float64(wait)*(0.5+rs.rnd.Float64()))
}

func (rs *Ranges) answered(kr *keyRange) {
	kr.failures, rs.lastAnswerAt, rs.platformLost = 0, rs.now, false
}

func (rs *Ranges) onWritten(ev ObjectWritten) {
	kr := rs.byOp(ev.Op)
	if kr == nil || kr.opWrite == nil {
		return
	}
	w := kr.opWrite
	kr.op, kr.opWrite = 0, nil
	switch {
	case ev.Err == nil:
		rs.answered(kr)
		if ev.Version > kr.ver || kr.restored != nil {
			kr.ver, kr.inDoubt, kr.restored = ev.Version, nil, nil
		}
		rs.adopt(kr, w.val)
		rs.renewed(kr, w)
	case errors.Is(ev.Err, dogwoodford.ErrConflict):
		rs.answered(kr)
		kr.stale = true
		// The pause keeps two writers from repeating their conflict as fast as
		// the platform answers.
		kr.due = rs.now + 10 + rs.rnd.Int64N(40)
	default:
		// The write may have taken effect, or may still do so as long as the
		// object has the expected version.
		if kr.ver == w.expected {
			kr.inDoubt = w
		}
		if rs.broken.unansweredIsFailure && w.kind == handover && kr.cap == capDone {
			kr.inDoubt = nil
			rs.renewed(kr, &write{kind: renewal})
		}
		kr.stale = true
		rs.backOff(kr)
	}
}

// renewed updates the range after a write that took effect. A renewal cancels a
// handover.
func (rs *Ranges) renewed(kr *keyRange, w *write) {
	if w.kind == renewal && kr.cap == capDone {
		// No handover can take effect any more: the object no longer has the
		// version that it expects.
		kr.cap = capNone
		rs.emit(LiftCap{Number: kr.number, Epoch: kr.val.Epoch})
		if c := rs.current(kr); c != nil {
			c.end = max(c.end, kr.val.End)
		}
		rs.dirty = true
	}
	kr.renewAt = rs.now + rs.jitter(rs.cfg.RenewInterval)
}

func (rs *Ranges) onRead(ev ObjectRead) {
	kr := rs.byOp(ev.Op)
	if kr == nil || kr.opWrite != nil {
		return
	}
	kr.op = 0
	if ev.Err != nil && !errors.Is(ev.Err, dogwoodford.ErrNotFound) {
		rs.backOff(kr)
		return
	}
	rs.answered(kr)
	version := ev.Object.Version
	if ev.Err != nil {
		version = 0
	}
	if version < kr.ver && version >= kr.opVersion && kr.ver != kr.opVersion {
		return // A watch has delivered a later version than the read: read again.
	}
	older := version < kr.opVersion
	kr.ver, kr.readAt, kr.stale = version, rs.now, false
	if kr.inDoubt != nil && kr.inDoubt.expected != version {
		kr.inDoubt = nil
	}
	if ev.Err != nil {
		if kr.val.Epoch > 0 {
			rs.markRestored(kr, Value{}, "restored")
		}
		return
	}
	v, err := ParseValue(ev.Object.Value)
	if err != nil {
		rs.markRestored(kr, Value{}, "malformed")
		return
	}
	rs.applyRead(kr, v, older)
}

// applyRead adopts the content that was read, or marks the range as restored if
// the content is older than what this node knows. older means that the version
// of the object went down.
func (rs *Ranges) applyRead(kr *keyRange, v Value, older bool) {
	sameOwner := v.Owner == kr.val.Owner && v.OwnerIncarnation == kr.val.OwnerIncarnation
	if v.Epoch < kr.val.Epoch || v.Epoch == kr.val.Epoch && (!sameOwner || older && !rs.isOwner(kr)) {
		rs.markRestored(kr, v, "restored")
		return
	}
	kr.restored = nil
	rs.adopt(kr, v)
}

// markRestored records v as the present content of the object while keeping the
// higher epoch that this node has seen, and reports it once.
func (rs *Ranges) markRestored(kr *keyRange, v Value, kind string) {
	if kr.restored == nil || *kr.restored != v {
		rs.emit(Report{Kind: kind, Number: kr.number, Epoch: kr.val.Epoch})
	}
	kr.restored = &v
}

func (rs *Ranges) onSeen(ev ObjectSeen) {
	service, number, ok := ParseObjectName(ev.Object.Name)
	if !ok {
		return
	}
	v, err := ParseValue(ev.Object.Value)
	if service != rs.cfg.Service {
		if err == nil {
			rs.setRow(service, number, v)
		}
		return
	}
	kr := rs.ranges[number]
	if ev.Object.Version <= kr.ver {
		return
	}
	if err != nil || v.Epoch < kr.val.Epoch {
		kr.stale = true // Only a read can tell a restore from a late watch event.
		return
	}
	kr.ver = ev.Object.Version
	kr.inDoubt = nil // The object no longer has the version that the write expects.
	rs.adopt(kr, v)
}

// adopt applies a value that the platform certainly held. Values of an older
// epoch, or with a lower end in the same epoch, are ignored.
func (rs *Ranges) adopt(kr *keyRange, v Value) {
	old := kr.val
	if v.Epoch < old.Epoch || v.Epoch == old.Epoch && v.End < old.End {
		return
	}
	wasMine := rs.isOwner(kr)
	kr.val = v
	rs.setRow(rs.cfg.Service, kr.number, v)
	if v.Epoch > old.Epoch {
		rs.newEpoch(kr)
	} else if c := rs.current(kr); c != nil && kr.cap != capDone && v.End > c.end {
		c.end, rs.dirty = v.End, true
	}
	changed := v.Epoch > old.Epoch || v.Witness != old.Witness || v.WitnessIncarnation != old.WitnessIncarnation
	if changed && (wasMine || rs.isOwner(kr)) {
		rs.emit(Gossip{DirectTo: v.Owner, OwnershipUpdate: OwnershipUpdate{Service: rs.cfg.Service, Number: kr.number, Value: v}})
	}
}

func (rs *Ranges) newEpoch(kr *keyRange) {
	v := kr.val
	rs.dirty = true
	kr.cap, kr.handoverWanted, kr.preferred, kr.ask = capNone, false, Member{}, promiseAsk{}
	for e := range kr.promised {
		if e < v.Epoch {
			delete(kr.promised, e)
		}
	}
	for i := range kr.windows {
		if s := &kr.windows[i]; s.epoch == v.Epoch-1 && !rs.isOwner(kr) {
			s.next, s.sendAt = v, max(rs.now, v.Start+cutoverGraceMs)
		}
	}
	if !rs.isOwner(kr) {
		return
	}
	s := ownedWindow{heldWindow: heldWindow{epoch: v.Epoch, start: v.Start, end: v.End}}
	if i := len(kr.windows) - 1; i >= 0 && kr.windows[i].epoch < v.Epoch && kr.windows[i].end == v.Start && !kr.windows[i].transferStarted {
		// The preceding window belonged to this incarnation as well, which has
		// its records.
		s.start = kr.windows[i].start
		kr.windows = kr.windows[:i]
	}
	kr.windows = append(kr.windows, s)
	kr.renewAt = min(rs.now+rs.jitter(rs.cfg.RenewInterval), v.End-rs.window()+rs.cfg.RenewInterval.Milliseconds())
	for _, r := range kr.received {
		rs.merge(kr, r)
	}
	kr.received = nil
}

// keepWindowMs is how long a window without a known successor is kept after its
// end. Its keys are refused because of their age long before that.
const keepWindowMs = int64(15 * time.Minute / time.Millisecond)

// step starts the actions that are due for one range.
func (rs *Ranges) step(kr *keyRange) {
	rs.sendRecords(kr)
	rs.startHandover(kr)
	rs.askPromise(kr)
	if kr.op != 0 || rs.now < kr.due {
		return
	}
	if kr.readAt == 0 && kr.due == 0 && kr.val.Epoch == 0 {
		// Spreads the first reads of nodes that start at the same time.
		kr.due = rs.now + rs.rnd.Int64N(500)
		return
	}
	if kr.stale {
		rs.read(kr)
		return
	}
	w := rs.decide(kr)
	if w != nil {
		own := w.kind == renewal || w.kind == handover
		if !own && rs.now-kr.readAt > maxReadAgeMs {
			rs.read(kr)
			return
		}
		rs.write(kr, w)
		return
	}
	rs.poll(kr)
}

// maxReadAgeMs bounds the age of the last read before a write by a node that is
// not the owner. A write that expects an older version would mostly conflict.
const maxReadAgeMs = 500

// pollInterval is the mean time between reads by the witness, by the preferred
// owner, and by all other nodes of the service together. The reads cover lost
// gossip: once the witness has been lost as well, no other node would notice an
// owner that does not know that it is the owner.
const pollInterval = 10 * time.Second

func (rs *Ranges) poll(kr *keyRange) {
	if rs.isOwner(kr) || rs.now < kr.pollAt {
		return
	}
	first := kr.pollAt == 0
	every := pollInterval
	if c, ok := rs.choose(kr.number); kr.val.Witness != rs.cfg.Node && (!ok || c.Node != rs.cfg.Node) {
		every *= time.Duration(max(len(rs.ready), 1))
	}
	kr.pollAt = rs.now + rs.jitter(every)
	if first {
		kr.pollAt = rs.now + rs.rnd.Int64N(every.Milliseconds())
		return
	}
	rs.read(kr)
}
