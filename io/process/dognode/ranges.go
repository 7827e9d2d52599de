package dognode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/core/process/dogrecord"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogpeer"
	"dogwoodford/io/request/doghttp"
)

// maxAnswerBytes bounds the encoded size of an answer that is kept for replay: a
// body of doghttp.MaxKeptBodyBytes in base64, and headers.
const maxAnswerBytes = 8 << 10

// onRanges feeds an event to dogrange and carries out the actions in order. It
// also returns them, as the answer to a promise is left to the caller.
func (c *control) onRanges(now time.Time, ev dogrange.Event) []dogrange.Action {
	acts := c.ranges.OnEvent(now, ev)
	for _, a := range acts {
		c.rangeAction(now, a)
	}
	return acts
}

func (c *control) rangeAction(now time.Time, a dogrange.Action) {
	switch a := a.(type) {
	case dogrange.ReadObject:
		c.n.async(func(ctx context.Context) { c.readRange(ctx, a) })
	case dogrange.WriteObject:
		c.n.async(func(ctx context.Context) { c.writeRange(ctx, a) })
	case dogrange.AskPromise:
		c.n.async(func(ctx context.Context) { c.askPromise(ctx, a) })
	case dogrange.CapWindow:
		end := c.n.records.Cap(a.Number, a.Epoch, a.At)
		c.n.log(doglog.RangeCapped, attr("range", a.Number), attr("epoch", a.Epoch), attr("end", time.UnixMilli(end)))
		c.onRanges(now, dogrange.WindowCapped{Number: a.Number, Epoch: a.Epoch, End: end})
	case dogrange.LiftCap:
		c.n.records.LiftCap(a.Number, a.Epoch)
		c.n.log(doglog.RangeCapLifted, attr("range", a.Number), attr("epoch", a.Epoch))
	case dogrange.SendRecords:
		c.n.async(func(ctx context.Context) { c.sendRecords(ctx, a) })
	case dogrange.Gossip:
		c.gossipRange(now, a)
	case dogrange.Publish:
		c.logOwnerChanges(c.table, a.Table)
		c.table = a.Table
		c.publish(now)
		c.updateStateHash(now)
	case dogrange.Report:
		c.reportRange(now, a)
	}
}

func (c *control) readRange(ctx context.Context, a dogrange.ReadObject) {
	obj, err := c.n.platform.Get(ctx, a.Name)
	c.post(func(now time.Time) {
		c.onRanges(now, dogrange.ObjectRead{Op: a.Op, Object: obj, Err: err})
	})
}

func (c *control) writeRange(ctx context.Context, a dogrange.WriteObject) {
	c.n.metrics.Add(dogmetric.RangeRenewals, 1)
	v, err := c.n.platform.Put(ctx, a.Name, a.Expected, a.Value)
	switch {
	case errors.Is(err, dogwoodford.ErrConflict):
		c.n.limitedLogger.Log(ctx, doglog.PlatformConflict, attr("object", a.Name))
	case err != nil:
		c.n.limitedLogger.Log(ctx, doglog.RangeRenewFailed, attr("object", a.Name), doglog.Err(err))
	}
	c.post(func(now time.Time) {
		c.onRanges(now, dogrange.ObjectWritten{Op: a.Op, Version: v, Err: err})
	})
}

func (c *control) askPromise(ctx context.Context, a dogrange.AskPromise) {
	g, err := dogpeer.Grant{}, error(nil)
	if a.Peer != "" {
		g, err = c.n.peers.Promise(ctx, a.Peer, dogpeer.PromiseRequest{
			Service: a.Promise.Service, Number: a.Promise.Number, Epoch: a.Promise.Epoch,
			Owner: a.Promise.Owner, WitnessIncarnation: a.Promise.WitnessIncarnation,
			End: time.UnixMilli(a.Promise.End),
		})
	}
	if g.OK && err == nil {
		c.n.metrics.Add(dogmetric.RangePromises, 1)
		c.n.limitedLogger.Log(ctx, doglog.RangePromised, attr("range", a.Promise.Number), attr("witness", a.Promise.Witness))
	}
	c.post(func(now time.Time) {
		c.onRanges(now, dogrange.PromiseAnswered{Op: a.Op, Granted: g.OK && err == nil})
	})
}

// sendRecords waits until no key of the window is in progress, closes the epoch
// and sends the records to the next owner.
func (c *control) sendRecords(ctx context.Context, a dogrange.SendRecords) {
	const pollInterval = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for c.n.records.CountInProgress(a.Number, a.End) > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	err := ctx.Err()
	if err == nil {
		c.n.records.Close(a.Number, a.Epoch)
		err = c.handOver(ctx, a)
	}
	if err != nil {
		c.n.log(doglog.RecordsSendFailed, attr("range", a.Number), attr("to", a.To), doglog.Err(err))
	} else {
		c.n.log(doglog.RangeHandedOver, attr("range", a.Number), attr("to", a.To))
	}
	c.post(func(now time.Time) { c.onRanges(now, dogrange.RecordsSent{Op: a.Op, OK: err == nil}) })
}

func (c *control) handOver(ctx context.Context, a dogrange.SendRecords) error {
	// Half of the maximum message size leaves room for the encoding.
	const partBytes = 512 << 10
	start, all := c.n.records.Export(time.Now(), a.Number, a.Start, a.End)
	part := dogpeer.HandOverRequest{
		Service: c.n.settings.Node.Service, Number: a.Number, Epoch: a.Epoch,
		Start: time.UnixMilli(start), End: time.UnixMilli(a.End), Incarnation: a.Incarnation,
	}
	for i := 0; ; {
		part.Records = part.Records[:0]
		for size := 0; i < len(all) && size < partBytes; i++ {
			part.Records = append(part.Records, dogpeer.Record(all[i]))
			size += len(all[i].Answer) + 64
		}
		part.Last = i == len(all)
		g, err := c.n.peers.HandOver(ctx, a.Peer, part)
		if err != nil {
			return fmt.Errorf("hand over range %d to %s: %w", a.Number, a.To, err)
		}
		if !g.OK {
			return fmt.Errorf("hand over range %d to %s: %w: %s", a.Number, a.To, errRefused, g.Refusal)
		}
		if part.Last {
			return nil
		}
	}
}

func (c *control) gossipRange(now time.Time, a dogrange.Gossip) {
	u := dogpeer.RangeUpdate(peerRange(a.OwnershipUpdate.Service, a.OwnershipUpdate.Number, a.OwnershipUpdate.Value))
	if m, ok := c.member.Member(a.DirectTo); ok && a.DirectTo != c.n.settings.Node.Name {
		c.n.async(func(ctx context.Context) {
			// A lost message is made up for by the gossip that follows.
			_ = c.n.peers.Notify(ctx, m.Peer, dogmember.Message{Updates: []dogmember.Update{u}})
		})
	}
	c.gossipUpdate(now, u, true)
}

func (c *control) reportRange(now time.Time, r dogrange.Report) {
	ev := doglog.RangeLost
	switch r.Kind {
	case "malformed", "restored":
		ev = doglog.ObjectInvalid
	}
	c.n.log(ev, attr("kind", r.Kind), attr("range", r.Number), attr("epoch", r.Epoch))
	if ev == doglog.ObjectInvalid {
		c.addProblem(now, fmt.Sprintf("object of key range %d is %s", r.Number, r.Kind))
	}
}

// logOwnerChanges logs the key ranges of the node's service that this node has
// taken and those that an operator has released.
func (c *control) logOwnerChanges(before, after *dogrange.Table) {
	self := c.n.settings.Node
	for i := range dogwoodford.KeyRanges {
		was, is := before.Row(self.Service, i), after.Row(self.Service, i)
		attrs := []slog.Attr{attr("range", i), attr("epoch", is.Epoch), attr("from", was.Owner)}
		switch {
		case was.Epoch == is.Epoch:
		case is.Owner == "" && was.Owner != "":
			c.n.log(doglog.RangeReleased, attrs...)
		case is.Owner != self.Name || is.OwnerIncarnation != uint64(c.n.started.UnixMilli()):
		case was.Owner == self.Name && was.OwnerIncarnation == is.OwnerIncarnation:
		case was.Owner != "" && c.processFailed(was.Owner, was.OwnerIncarnation):
			c.n.metrics.Add(dogmetric.RangeTakeovers, 1)
			c.n.log(doglog.RangeTakenOver, attrs...)
		default:
			c.n.log(doglog.RangeTaken, attrs...)
		}
	}
}

// processFailed reports whether the process of a node with the given incarnation
// is considered failed or was replaced by another one.
func (c *control) processFailed(node string, incarnation uint64) bool {
	m, ok := c.member.Member(node)
	return !ok || m.State == dogwoodford.StateFailed || m.Started != incarnation
}

// ownedRanges returns the numbers of the key ranges of its service that this node
// owns.
func (c *control) ownedRanges() []int {
	var out []int
	for i := range dogwoodford.KeyRanges {
		if c.table.Row(c.n.settings.Node.Service, i).Owner == c.n.settings.Node.Name {
			out = append(out, i)
		}
	}
	return out
}

func peerRange(service string, number int, v dogrange.Value) dogpeer.Range {
	r := dogpeer.Range{
		Service: service, Number: number, Epoch: v.Epoch,
		Owner: v.Owner, OwnerIncarnation: v.OwnerIncarnation, OwnerPeer: v.OwnerPeer,
		Witness: v.Witness, WitnessIncarnation: v.WitnessIncarnation,
		Start: time.UnixMilli(v.Start), End: time.UnixMilli(v.End), PreviousOwner: v.PreviousOwner,
	}
	if v.PreviousOwner != "" {
		r.PreviousStart = time.UnixMilli(v.PreviousStart)
	}
	return r
}

func ownershipUpdate(r dogpeer.Range) dogrange.OwnershipUpdate {
	v := dogrange.Value{
		Epoch: r.Epoch, Owner: r.Owner, OwnerIncarnation: r.OwnerIncarnation, OwnerPeer: r.OwnerPeer,
		Witness: r.Witness, WitnessIncarnation: r.WitnessIncarnation,
		Start: r.Start.UnixMilli(), End: r.End.UnixMilli(), PreviousOwner: r.PreviousOwner,
	}
	if r.PreviousOwner != "" {
		v.PreviousStart = r.PreviousStart.UnixMilli()
	}
	return dogrange.OwnershipUpdate{Service: r.Service, Number: r.Number, Value: v}
}

// ownerRecords implements doghttp.Records.
type ownerRecords struct{ c *control }

// Begin decides whether an attempt may run: this node must own the key, and the
// record of the key must admit the attempt.
func (o ownerRecords) Begin(now time.Time, a doghttp.KeyAttempt) doghttp.KeyDecision {
	g := o.c.snap.Load().table.MayRun(now, a.Key)
	if !g.OK() {
		return doghttp.KeyDecision{Outcome: g.Outcome(a.Fresh), Reason: g.Reason}
	}
	d := o.c.n.records.Begin(now, dogrecord.Attempt{
		Key: a.Key, Number: g.Number, Epoch: g.Epoch, Scope: scopeOf(a), Attempt: max(a.Attempt, 1),
	})
	b := doghttp.KeyDecision{Run: d.Run(), Epoch: g.Epoch, Outcome: d.Outcome(), Reason: d.Reason}
	switch d.Kind {
	case dogrecord.InProgress, dogrecord.RanBefore, dogrecord.Replay:
		b.Seen = true
		o.c.n.metrics.Add(dogmetric.DuplicatesCaught, 1)
	}
	if d.Kind == dogrecord.Replay {
		b.Answer = new(doghttp.KeptAnswer)
		if err := json.Unmarshal(d.Body, b.Answer); err != nil {
			b.Answer, b.Reason = nil, dogwoodford.ReasonDuplicate
		} else {
			o.c.n.metrics.Add(dogmetric.RecordsReplayed, 1)
		}
	}
	return b
}

// Finish records the outcome of an attempt that Begin allowed to run. answer is
// nil if it is not kept for replay.
func (o ownerRecords) Finish(key dogwoodford.Key, outcome dogwoodford.Outcome, answer *doghttp.KeptAnswer) {
	res := dogrecord.Result{Outcome: outcome}
	if answer != nil {
		res.Status = answer.Status
		if b, err := json.Marshal(answer); err == nil {
			res.Answer = b
		}
	}
	o.c.n.records.Finish(key, res)
}

// scopeOf returns a hash of the customer, the service and the content of an
// attempt. It binds a kept answer to them, so that a key that is reused for other
// content is not given that answer.
func scopeOf(a doghttp.KeyAttempt) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%016x", a.Customer, a.Service, a.Digest)
	return h.Sum64()
}
