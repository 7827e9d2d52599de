package dognode

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/core/process/dogrecord"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogpeer"
)

var (
	errBusy    = eris.New("the control loop did not answer in time")
	errRefused = eris.New("refused by the peer")
)

// rangeEpoch identifies a window whose records arrive in several parts.
type rangeEpoch struct {
	number int
	epoch  int64
}

// peerHandler answers the calls of other nodes; it implements dogpeer.Handler.
type peerHandler struct{ c *control }

// Probe exchanges updates with a peer.
func (p peerHandler) Probe(ctx context.Context, from string, m dogmember.Message) (dogmember.Message, error) {
	var out dogmember.Message
	ok := p.c.ask(ctx, func(now time.Time) {
		for _, a := range p.c.onMember(now, dogmember.ProbeArrived{From: from, Message: m}) {
			if r, is := a.(dogmember.Reply); is {
				out = r.Message
			}
		}
	})
	if !ok {
		return out, fmt.Errorf("probe from %s: %w", from, errBusy)
	}
	return out, nil
}

// ProbeVia probes a third node for a peer.
func (p peerHandler) ProbeVia(ctx context.Context, _, peer string) (bool, error) {
	_, err := p.c.n.peers.Probe(ctx, peer, dogmember.Message{})
	return err == nil, nil
}

// Notify receives urgent updates.
func (p peerHandler) Notify(ctx context.Context, from string, m dogmember.Message) error {
	if !p.c.ask(ctx, func(now time.Time) { p.c.onMember(now, dogmember.NotifyArrived{From: from, Message: m}) }) {
		return fmt.Errorf("notification from %s: %w", from, errBusy)
	}
	return nil
}

// Pull returns contracts, differing members or the state of all packages,
// depending on the request.
func (p peerHandler) Pull(ctx context.Context, from string, req dogpeer.PullRequest) (dogpeer.PullResponse, error) {
	var out dogpeer.PullResponse
	ok := p.c.ask(ctx, func(now time.Time) {
		if req.ContractsOnly {
			out = p.contracts(req.Customers)
			return
		}
		for _, a := range p.c.onMember(now, dogmember.PullArrived{From: from, Self: req.Self, Parts: req.Parts}) {
			r, is := a.(dogmember.PullReply)
			if !is {
				continue
			}
			out.Updates = r.Updates
			if r.All {
				out.Updates = append(out.Updates, p.c.stateUpdates()...)
			}
		}
	})
	if !ok {
		return out, fmt.Errorf("pull from %s: %w", from, errBusy)
	}
	return out, nil
}

func (p peerHandler) contracts(customers []string) dogpeer.PullResponse {
	if len(customers) > 0 {
		return dogpeer.PullResponse{Texts: p.c.config.Texts(customers)}
	}
	var out dogpeer.PullResponse
	for _, g := range p.c.config.Generations() {
		out.Updates = append(out.Updates, dogconfig.GenerationUpdate(g))
	}
	return out
}

// Promise asks this node, as the witness of a range, to promise that a takeover
// does not start a window below pr.End.
func (p peerHandler) Promise(ctx context.Context, pr dogpeer.PromiseRequest) (dogpeer.Grant, error) {
	var g dogpeer.Grant
	ok := p.c.ask(ctx, func(now time.Time) {
		ev := dogrange.PromiseAsked{Op: p.c.nextOp(), Promise: dogrange.Promise{
			Service: pr.Service, Number: pr.Number, Epoch: pr.Epoch, Owner: pr.Owner,
			Witness: p.c.n.settings.Node.Name, WitnessIncarnation: pr.WitnessIncarnation,
			End: pr.End.UnixMilli(),
		}}
		for _, a := range p.c.onRanges(now, ev) {
			if r, is := a.(dogrange.AnswerPromise); is && r.Op == ev.Op {
				g = dogpeer.Grant{OK: r.Granted, Refusal: r.Refusal}
			}
		}
	})
	if !ok {
		return g, fmt.Errorf("promise to %s: %w", pr.Owner, errBusy)
	}
	return g, nil
}

// HandOver imports one part of the records of a range.
func (p peerHandler) HandOver(ctx context.Context, h dogpeer.HandOverRequest) (dogpeer.Grant, error) {
	if h.Service != p.c.n.settings.Node.Service {
		return dogpeer.Grant{Refusal: "another service"}, nil
	}
	records := make([]dogrecord.Record, 0, len(h.Records))
	for _, r := range h.Records {
		records = append(records, dogrecord.Record(r))
	}
	var g dogpeer.Grant
	ok := p.c.ask(ctx, func(now time.Time) {
		key := rangeEpoch{number: h.Number, epoch: h.Epoch}
		fits := p.c.n.records.Import(now, records)
		if !fits {
			p.c.imports[key] = false
		}
		complete, known := p.c.imports[key]
		complete = complete || !known
		if h.Last {
			delete(p.c.imports, key)
		} else {
			p.c.imports[key] = complete
		}
		if !complete {
			g.Refusal = "no room for the records"
			return
		}
		g.OK = true
		if h.Last {
			p.c.n.log(doglog.RecordsReceived, attr("range", h.Number), attr("epoch", h.Epoch))
			p.c.onRanges(now, dogrange.RecordsReceived{
				Number: h.Number, Epoch: h.Epoch, Start: h.Start.UnixMilli(), End: h.End.UnixMilli(),
				Incarnation: h.Incarnation,
			})
		}
	})
	if !ok {
		return g, fmt.Errorf("handover of range %d: %w", h.Number, errBusy)
	}
	return g, nil
}
