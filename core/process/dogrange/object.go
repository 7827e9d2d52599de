package dogrange

import (
	"errors"
	"time"

	"dogwoodford"
)

// keyRange is what a node knows of one range of its own service.
type keyRange struct {
	number int

	val      Value  // Of the highest epoch seen; its End is the highest seen.
	ver      int64  // Newest version seen; 0 if the object does not exist.
	restored *Value // Content found in place of val after a restore; zero if lost or malformed.
	stale    bool   // Read before the next write.
	readAt   int64  // Time of the last read that was answered.

	op      int64  // Call of the platform in progress, or 0.
	opWrite *write // Its write; nil for a read.
	opSeen  int64  // ver when the read was sent.
	doubt   *write // Write that may still take effect.
	fails   int    // Calls without an answer in a row.
	due     int64  // No call of the platform before this time.
	renewAt int64
	pollAt  int64

	spans    []span
	received []RecordsReceived // Imports that precede the knowledge of the window.
	ask      promiseAsk
	changes  int // Counts writes that named another witness.
	promised map[int64]int64

	wanted   bool // A handover was asked for.
	cap      capState
	capEnd   int64
	better   Member // Owner that rendezvous hashing prefers, and
	betterAt int64  // when the range may move to it.
}

type capState int

const (
	capNone capState = iota
	capAsked
	capDone // The window ends at capEnd; the handover may be written.
)

// span is a window of this incarnation and its way to the next owner.
type span struct {
	hold
	next   Value // Value of the following epoch; zero while it is not known.
	sendAt int64
	op     int64 // SendRecords in progress.
	tries  int
	sent   bool // A transfer was started, which closes the epoch in dogrecord.
}

type writeKind int

const (
	renewal writeKind = iota
	creation
	failover
	restart
	handover
	claim
	repair // An owner's answer to a restore or a malformed object.
)

type write struct {
	kind     writeKind
	expected int64
	val      Value
	witness  bool // Names another witness within the epoch.
}

func (rs *Ranges) mine(kr *keyRange) bool {
	return kr.val.Owner == rs.cfg.Node && kr.val.OwnerIncarnation == rs.cfg.Incarnation
}

// current returns the span of the epoch that this node owns, or nil.
func (rs *Ranges) current(kr *keyRange) *span {
	if !rs.mine(kr) {
		return nil
	}
	for i := range kr.spans {
		if kr.spans[i].epoch == kr.val.Epoch {
			return &kr.spans[i]
		}
	}
	return nil
}

func (rs *Ranges) read(kr *keyRange) {
	kr.op, kr.opWrite, kr.opSeen = rs.nextOp(), nil, kr.ver
	rs.do(ReadObject{Op: kr.op, Name: ObjectName(rs.cfg.Service, kr.number)})
}

func (rs *Ranges) write(kr *keyRange, w *write) {
	w.expected = kr.ver
	if w.witness {
		kr.changes++
	}
	kr.op, kr.opWrite = rs.nextOp(), w
	rs.do(WriteObject{
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

// retry waits after a call without an answer: 250 ms doubled up to 2 s, spread
// by half in both directions.
func (rs *Ranges) retry(kr *keyRange) {
	wait := min(250<<min(kr.fails, 3), 2000)
	kr.fails++
	rs.lost = true
	kr.due = rs.now + int64(float64(wait)*(0.5+rs.rnd.Float64()))
}

func (rs *Ranges) answered(kr *keyRange) { kr.fails, rs.okAt, rs.lost = 0, rs.now, false }

func (rs *Ranges) onWritten(ev Written) {
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
			kr.ver, kr.doubt, kr.restored = ev.Version, nil, nil
		}
		rs.adopt(kr, w.val)
		rs.renewed(kr, w)
	case errors.Is(ev.Err, dogwoodford.ErrConflict):
		rs.answered(kr)
		kr.stale = true
		// The pause keeps two writers from racing at the rate of the platform.
		kr.due = rs.now + 10 + rs.rnd.Int64N(40)
	default:
		// The write may have taken effect or may do so later, but only while
		// the object has the expected version.
		if kr.ver == w.expected {
			kr.doubt = w
		}
		if rs.broken.doubtIsFailure && w.kind == handover && kr.cap == capDone {
			kr.doubt = nil
			rs.renewed(kr, &write{kind: renewal})
		}
		kr.stale = true
		rs.retry(kr)
	}
}

// renewed follows a renewal that took effect.
func (rs *Ranges) renewed(kr *keyRange, w *write) {
	if w.kind == renewal && kr.cap == capDone {
		// No handover can take effect any more: its expected version is gone.
		kr.cap = capNone
		rs.do(LiftCap{Number: kr.number, Epoch: kr.val.Epoch})
		if c := rs.current(kr); c != nil {
			c.end = max(c.end, kr.val.End)
		}
		rs.dirty = true
	}
	kr.renewAt = rs.now + rs.jitter(rs.cfg.Renew)
}

func (rs *Ranges) onRead(ev Read) {
	kr := rs.byOp(ev.Op)
	if kr == nil || kr.opWrite != nil {
		return
	}
	kr.op = 0
	if ev.Err != nil && !errors.Is(ev.Err, dogwoodford.ErrNotFound) {
		rs.retry(kr)
		return
	}
	rs.answered(kr)
	version := ev.Object.Version
	if ev.Err != nil {
		version = 0
	}
	if version < kr.ver && version >= kr.opSeen && kr.ver != kr.opSeen {
		return // A watch overtook the read: read again.
	}
	older := version < kr.opSeen
	kr.ver, kr.readAt, kr.stale = version, rs.now, false
	if kr.doubt != nil && kr.doubt.expected != version {
		kr.doubt = nil
	}
	if ev.Err != nil {
		if kr.val.Epoch > 0 {
			rs.displaced(kr, Value{}, "restored")
		}
		return
	}
	v, err := ParseValue(ev.Object.Value)
	if err != nil {
		rs.displaced(kr, Value{}, "malformed")
		return
	}
	rs.settle(kr, v, older)
}

// settle takes the content that was read in place of what is known.
func (rs *Ranges) settle(kr *keyRange, v Value, older bool) {
	sameOwner := v.Owner == kr.val.Owner && v.OwnerIncarnation == kr.val.OwnerIncarnation
	if v.Epoch < kr.val.Epoch || v.Epoch == kr.val.Epoch && (!sameOwner || older && !rs.mine(kr)) {
		rs.displaced(kr, v, "restored")
		return
	}
	kr.restored = nil
	rs.adopt(kr, v)
}

// displaced keeps the higher epoch that this node saw beside what the platform
// holds now.
func (rs *Ranges) displaced(kr *keyRange, v Value, kind string) {
	if kr.restored == nil || *kr.restored != v {
		rs.do(Report{Kind: kind, Number: kr.number, Epoch: kr.val.Epoch})
	}
	kr.restored = &v
}

func (rs *Ranges) onSeen(ev Seen) {
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
		kr.stale = true // Only a read tells a restore from a late watch.
		return
	}
	kr.ver = ev.Object.Version
	kr.doubt = nil // Its expected version is gone.
	rs.adopt(kr, v)
}

// adopt takes a value that is certainly of the platform. Values of an older
// epoch, or with a lower end in the same epoch, change nothing.
func (rs *Ranges) adopt(kr *keyRange, v Value) {
	old := kr.val
	if v.Epoch < old.Epoch || v.Epoch == old.Epoch && v.End < old.End {
		return
	}
	wasMine := rs.mine(kr)
	kr.val = v
	rs.setRow(rs.cfg.Service, kr.number, v)
	if v.Epoch > old.Epoch {
		rs.newEpoch(kr)
	} else if c := rs.current(kr); c != nil && kr.cap != capDone && v.End > c.end {
		c.end, rs.dirty = v.End, true
	}
	changed := v.Epoch > old.Epoch || v.Witness != old.Witness || v.WitnessIncarnation != old.WitnessIncarnation
	if changed && (wasMine || rs.mine(kr)) {
		rs.do(Gossip{First: v.Owner, Heard: Heard{Service: rs.cfg.Service, Number: kr.number, Value: v}})
	}
}

func (rs *Ranges) newEpoch(kr *keyRange) {
	v := kr.val
	rs.dirty = true
	kr.cap, kr.wanted, kr.better, kr.ask = capNone, false, Member{}, promiseAsk{}
	for e := range kr.promised {
		if e < v.Epoch {
			delete(kr.promised, e)
		}
	}
	for i := range kr.spans {
		if s := &kr.spans[i]; s.epoch == v.Epoch-1 && !rs.mine(kr) {
			s.next, s.sendAt = v, max(rs.now, v.Start+graceMs)
		}
	}
	if !rs.mine(kr) {
		return
	}
	s := span{hold: hold{epoch: v.Epoch, start: v.Start, end: v.End}}
	if i := len(kr.spans) - 1; i >= 0 && kr.spans[i].epoch < v.Epoch && kr.spans[i].end == v.Start && !kr.spans[i].sent {
		// The window before is this node's own and its records are here.
		s.start = kr.spans[i].start
		kr.spans = kr.spans[:i]
	}
	kr.spans = append(kr.spans, s)
	kr.renewAt = min(rs.now+rs.jitter(rs.cfg.Renew), v.End-rs.window()+rs.cfg.Renew.Milliseconds())
	for _, r := range kr.received {
		rs.merge(kr, r)
	}
	kr.received = nil
}

// keepMs is how long a window without a known successor is kept; its keys are
// refused by their age long before.
const keepMs = int64(15 * time.Minute / time.Millisecond)

// step does what time and knowledge call for in one range.
func (rs *Ranges) step(kr *keyRange) {
	rs.sendRecords(kr)
	rs.startHandover(kr)
	rs.askPromise(kr)
	if kr.op != 0 || rs.now < kr.due {
		return
	}
	if kr.readAt == 0 && kr.due == 0 && kr.val.Epoch == 0 {
		// The nodes of a service that start together do not read together.
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
		if !own && rs.now-kr.readAt > freshMs {
			rs.read(kr)
			return
		}
		rs.write(kr, w)
		return
	}
	rs.poll(kr)
}

// freshMs bounds the age of the read before a write by a node that is not the
// owner. An older version would mostly conflict.
const freshMs = 500

// pollEvery is the mean time between reads by the witness, by the node that is
// preferred as owner, and by all others of the service together. It covers
// lost gossip: a node that does not know that it was made owner is found out
// by nobody else once the witness is lost too.
const pollEvery = 10 * time.Second

func (rs *Ranges) poll(kr *keyRange) {
	if rs.mine(kr) || rs.now < kr.pollAt {
		return
	}
	first := kr.pollAt == 0
	every := pollEvery
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
