package dogrange

// promiseAsk is a request for a promise that the owner has sent to the witness.
type promiseAsk struct {
	op             int64
	at             int64 // Time of the request.
	end            int64
	epoch          int64
	witnessChanges int // keyRange.witnessChanges at the time of the request.
}

// askRefused is the value of promiseAsk.op after a refusal, until the owner may
// ask again.
const askRefused = -1

// renewalLateMs is how long after a renewal is due the owner asks the witness for a
// promise.
const renewalLateMs = 500

// askRetryMs is how long the owner waits before it asks the witness again.
const askRetryMs = 1000

// maxPromiseAheadMs bounds how far ahead of its own clock a witness promises, so
// that an owner with a wrong clock cannot block its range for long.
const maxPromiseAheadMs = 60_000

// witnessInDoubt reports whether a write that names another witness may still
// take effect. Until that is settled, a promise of either witness alone is not
// binding.
func (kr *keyRange) witnessInDoubt() bool {
	return kr.inDoubt != nil && kr.inDoubt.changesWitness || kr.opWrite != nil && kr.opWrite.changesWitness
}

func (rs *Ranges) askPromise(kr *keyRange) {
	c := rs.current(kr)
	v := kr.val
	if c == nil || v.Witness == "" || kr.cap != capNone || kr.restored != nil || kr.witnessInDoubt() {
		return
	}
	if c.end >= rs.now+rs.window()-rs.cfg.RenewInterval.Milliseconds()-renewalLateMs {
		return
	}
	if kr.ask.op != 0 && rs.now < kr.ask.at+askRetryMs {
		return
	}
	kr.ask = promiseAsk{op: rs.nextOp(), at: rs.now, end: rs.now + rs.window(), epoch: v.Epoch, witnessChanges: kr.witnessChanges}
	rs.emit(AskPromise{
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
		// The new witness does not know what the old one promised after the
		// write that replaced the old one was prepared.
		replaced := ask.witnessChanges != kr.witnessChanges && !rs.broken.lateWitnessAnswer
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
	rs.emit(AnswerPromise{Op: ev.Op, Granted: refusal == "", Refusal: refusal})
}

// maxPromises bounds the number of epochs of a range for which promises are kept.
const maxPromises = 16

// refusePromise returns why a promise is refused, or "" if it is given. An epoch
// above the known one is accepted, as the owner has read or written it.
func (rs *Ranges) refusePromise(p Promise) string {
	if p.Service != rs.cfg.Service || p.Number < 0 || p.Number >= len(rs.ranges) || p.Witness != rs.cfg.Node {
		return "not the witness"
	}
	kr := rs.ranges[p.Number]
	failoverInDoubt := kr.inDoubt != nil && kr.inDoubt.kind == failover || kr.opWrite != nil && kr.opWrite.kind == failover
	switch {
	case p.WitnessIncarnation != rs.cfg.Incarnation:
		return "witness restarted"
	case failoverInDoubt && !rs.broken.promiseInDoubt:
		return "failover in doubt"
	case p.Epoch < kr.val.Epoch:
		return "epoch is over"
	case p.Epoch == kr.val.Epoch && (kr.val.Owner != p.Owner || !rs.isWitness(kr.val)):
		return "owner or witness differs"
	case p.End > rs.now+maxPromiseAheadMs:
		return "too far ahead"
	case len(kr.promised) >= maxPromises && kr.promised[p.Epoch] == 0:
		return "too many epochs"
	}
	return ""
}
