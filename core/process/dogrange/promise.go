package dogrange

// promiseAsk is a promise that the owner waits for.
type promiseAsk struct {
	op      int64
	at      int64 // When it was asked.
	end     int64
	epoch   int64
	changes int // keyRange.changes when it was asked.
}

// askRefused stands in promiseAsk.op until the pause after a refusal ends.
const askRefused = -1

// lateMs is how long after the usual time of a renewal the owner turns to the
// witness.
const lateMs = 500

// askAgainMs is how long the owner waits for the witness before it asks anew.
const askAgainMs = 1000

// farMs bounds how far ahead of its own clock a witness promises, so that an
// owner with a wrong clock cannot block its range for long.
const farMs = 60_000

// witnessInDoubt reports whether a write that names another witness may still
// take effect. Neither witness alone can promise then.
func (kr *keyRange) witnessInDoubt() bool {
	return kr.doubt != nil && kr.doubt.witness || kr.opWrite != nil && kr.opWrite.witness
}

func (rs *Ranges) askPromise(kr *keyRange) {
	c := rs.current(kr)
	v := kr.val
	if c == nil || v.Witness == "" || kr.cap != capNone || kr.restored != nil || kr.witnessInDoubt() {
		return
	}
	if c.end >= rs.now+rs.window()-rs.cfg.Renew.Milliseconds()-lateMs {
		return
	}
	if kr.ask.op != 0 && rs.now < kr.ask.at+askAgainMs {
		return
	}
	kr.ask = promiseAsk{op: rs.nextOp(), at: rs.now, end: rs.now + rs.window(), epoch: v.Epoch, changes: kr.changes}
	rs.do(AskPromise{
		Op: kr.ask.op, Peer: rs.members[v.Witness].Peer,
		Promise: Promise{
			Service: rs.cfg.Service, Number: kr.number, Epoch: v.Epoch, Owner: v.Owner,
			Witness: v.Witness, WitnessIncarnation: v.WitnessIncarnation, End: kr.ask.end,
		},
	})
}

func (rs *Ranges) onPromiseAnswered(ev PromiseAnswered) {
	for _, kr := range rs.ranges {
		if kr.ask.op != ev.Op || ev.Op <= 0 {
			continue
		}
		ask := kr.ask
		if !ev.Granted {
			kr.ask.op = askRefused
			return
		}
		kr.ask.op = 0
		// A new witness knows nothing of what the old one promised after the
		// write that replaced it was composed.
		replaced := ask.changes != kr.changes && !rs.broken.lateWitnessAnswer
		if replaced || ask.epoch != kr.val.Epoch || kr.cap == capDone || kr.restored != nil {
			return
		}
		if c := rs.current(kr); c != nil && ask.end > c.end {
			c.end, rs.dirty = ask.end, true
		}
	}
}

func (rs *Ranges) onPromiseAsked(ev PromiseAsked) {
	refusal := rs.refusePromise(ev.Promise)
	if refusal == "" {
		kr := rs.ranges[ev.Promise.Number]
		kr.promised[ev.Promise.Epoch] = max(kr.promised[ev.Promise.Epoch], ev.Promise.End)
	}
	rs.do(AnswerPromise{Op: ev.Op, Granted: refusal == "", Refusal: refusal})
}

// maxPromises bounds the epochs above the known one that have promises.
const maxPromises = 16

// refusePromise returns why a promise is not given, or "". A higher epoch than
// the known one is believed: the asker read or wrote it.
func (rs *Ranges) refusePromise(p Promise) string {
	if p.Service != rs.cfg.Service || p.Number < 0 || p.Number >= len(rs.ranges) || p.Witness != rs.cfg.Node {
		return "not the witness"
	}
	kr := rs.ranges[p.Number]
	inDoubt := kr.doubt != nil && kr.doubt.kind == failover || kr.opWrite != nil && kr.opWrite.kind == failover
	switch {
	case p.WitnessIncarnation != rs.cfg.Incarnation:
		return "witness restarted"
	case inDoubt && !rs.broken.promiseInDoubt:
		return "failover in doubt"
	case p.Epoch < kr.val.Epoch:
		return "epoch is over"
	case p.Epoch == kr.val.Epoch && (kr.val.Owner != p.Owner || !rs.witnesses(kr.val)):
		return "owner or witness differs"
	case p.End > rs.now+farMs:
		return "too far ahead"
	case len(kr.promised) >= maxPromises && kr.promised[p.Epoch] == 0:
		return "too many epochs"
	}
	return ""
}
