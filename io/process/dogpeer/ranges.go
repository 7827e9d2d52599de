package dogpeer

import (
	"fmt"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/io/process/dogpeer/peerpb"
)

// Limits on received handovers and refusals.
const (
	maxRecords      = 1 << 16
	maxAnswerBytes  = 1 << 16
	maxRefusalBytes = 256
)

// RangeUpdate returns the update that carries r.
func RangeUpdate(r Range) dogmember.Update {
	return dogmember.Update{Key: fmt.Sprintf("range/%s/%d", r.Service, r.Number), Value: r}
}

func encodeRange(r Range) *peerpb.Range {
	return &peerpb.Range{
		Service:            r.Service,
		Number:             int32(r.Number),
		Epoch:              r.Epoch,
		Owner:              r.Owner,
		OwnerIncarnation:   r.OwnerIncarnation,
		OwnerPeer:          r.OwnerPeer,
		Witness:            r.Witness,
		WitnessIncarnation: r.WitnessIncarnation,
		StartMs:            encodeTime(r.Start),
		EndMs:              encodeTime(r.End),
		PreviousStartMs:    encodeTime(r.PreviousStart),
		PreviousOwner:      r.PreviousOwner,
	}
}

func decodeRange(p *peerpb.Range) (Range, error) {
	start, errStart := decodeTime("start", p.GetStartMs())
	end, errEnd := decodeTime("end", p.GetEndMs())
	previous, errPrevious := decodeTime("previous start", p.GetPreviousStartMs())
	r := Range{
		Service:            p.GetService(),
		Number:             int(p.GetNumber()),
		Epoch:              p.GetEpoch(),
		Owner:              p.GetOwner(),
		OwnerIncarnation:   p.GetOwnerIncarnation(),
		OwnerPeer:          p.GetOwnerPeer(),
		Witness:            p.GetWitness(),
		WitnessIncarnation: p.GetWitnessIncarnation(),
		Start:              start,
		End:                end,
		PreviousStart:      previous,
		PreviousOwner:      p.GetPreviousOwner(),
	}
	err := firstError(errStart, errEnd, errPrevious, checkRange(p.GetNumber()),
		checkName("service", r.Service), checkName("owner", r.Owner), checkPeer(r.OwnerPeer),
		checkOptionalName("witness", r.Witness), checkOptionalName("previous owner", r.PreviousOwner))
	if err == nil && (r.Epoch < 1 || r.End.Before(r.Start)) {
		err = malformed("epoch %d or window is invalid", r.Epoch)
	}
	if err != nil {
		return Range{}, fmt.Errorf("range: %w", err)
	}
	return r, nil
}

func checkOptionalName(field, s string) error {
	if s == "" {
		return nil
	}
	return checkName(field, s)
}

func encodePromise(p PromiseRequest) *peerpb.PromiseRequest {
	return &peerpb.PromiseRequest{
		Service:            p.Service,
		Number:             int32(p.Number),
		Epoch:              p.Epoch,
		Owner:              p.Owner,
		WitnessIncarnation: p.WitnessIncarnation,
		EndMs:              encodeTime(p.End),
	}
}

func decodePromise(p *peerpb.PromiseRequest) (PromiseRequest, error) {
	end, err := decodeTime("end", p.GetEndMs())
	err = firstError(err, checkRange(p.GetNumber()), checkName("service", p.GetService()),
		checkName("owner", p.GetOwner()))
	if err == nil && (p.GetEpoch() < 1 || end.IsZero()) {
		err = malformed("epoch %d is invalid or end is missing", p.GetEpoch())
	}
	if err != nil {
		return PromiseRequest{}, fmt.Errorf("promise: %w", err)
	}
	return PromiseRequest{
		Service:            p.GetService(),
		Number:             int(p.GetNumber()),
		Epoch:              p.GetEpoch(),
		Owner:              p.GetOwner(),
		WitnessIncarnation: p.GetWitnessIncarnation(),
		End:                end,
	}, nil
}

func encodeHandOver(h HandOverRequest) *peerpb.HandOverRequest {
	p := &peerpb.HandOverRequest{
		Service:     h.Service,
		Number:      int32(h.Number),
		Epoch:       h.Epoch,
		StartMs:     encodeTime(h.Start),
		EndMs:       encodeTime(h.End),
		Last:        h.Last,
		Incarnation: h.Incarnation,
	}
	for _, r := range h.Records {
		p.Records = append(p.Records, &peerpb.Record{
			Key:        r.Key.String(),
			Outcome:    int32(r.Outcome),
			InProgress: r.InProgress,
			Status:     int32(r.Status),
			Answer:     r.Answer,
			Scope:      r.Scope,
			Attempt:    int32(r.Attempt),
		})
	}
	return p
}

func decodeHandOver(p *peerpb.HandOverRequest) (HandOverRequest, error) {
	start, errStart := decodeTime("start", p.GetStartMs())
	end, errEnd := decodeTime("end", p.GetEndMs())
	err := firstError(errStart, errEnd, checkRange(p.GetNumber()), checkName("service", p.GetService()))
	if err == nil && (p.GetEpoch() < 1 || end.Before(start) || len(p.GetRecords()) > maxRecords) {
		err = malformed("epoch, window or number of records is invalid")
	}
	h := HandOverRequest{
		Service:     p.GetService(),
		Number:      int(p.GetNumber()),
		Epoch:       p.GetEpoch(),
		Start:       start,
		End:         end,
		Last:        p.GetLast(),
		Incarnation: p.GetIncarnation(),
	}
	for i := 0; i < len(p.GetRecords()) && err == nil; i++ {
		var r Record
		r, err = decodeRecord(p.GetRecords()[i])
		h.Records = append(h.Records, r)
	}
	if err != nil {
		return HandOverRequest{}, fmt.Errorf("handover: %w", err)
	}
	return h, nil
}

func decodeRecord(p *peerpb.Record) (Record, error) {
	key, err := dogwoodford.ParseKey(p.GetKey())
	if err != nil {
		return Record{}, malformed("record: %v", err)
	}
	o := dogwoodford.Outcome(p.GetOutcome())
	if o < dogwoodford.OutcomeUnknown || o > dogwoodford.OutcomeNotRun {
		return Record{}, malformed("record: outcome %d", o)
	}
	if s := p.GetStatus(); s != 0 && (s < 100 || s > 599) || len(p.GetAnswer()) > maxAnswerBytes {
		return Record{}, malformed("record: status %d or size of the answer is invalid", s)
	}
	return Record{
		Key:        key,
		Outcome:    o,
		InProgress: p.GetInProgress(),
		Status:     int(p.GetStatus()),
		Answer:     p.GetAnswer(),
		Scope:      p.GetScope(),
		Attempt:    int(p.GetAttempt()),
	}, nil
}

func decodeGrant(ok bool, refusal string) (Grant, error) {
	if len(refusal) > maxRefusalBytes {
		return Grant{}, malformed("refusal of %d bytes", len(refusal))
	}
	return Grant{OK: ok, Refusal: refusal}, nil
}

// truncateRefusal shortens a refusal to the limit that its receiver enforces.
func truncateRefusal(s string) string { return s[:min(len(s), maxRefusalBytes)] }
