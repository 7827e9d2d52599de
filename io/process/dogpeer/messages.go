package dogpeer

import (
	"fmt"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogpeer/peerpb"
)

func encodeUpdates(us []dogmember.Update) []*peerpb.Update {
	out := make([]*peerpb.Update, 0, len(us))
	for _, u := range us {
		out = append(out, EncodeUpdate(u))
	}
	return out
}

func decodeUpdates(ps []*peerpb.Update) ([]dogmember.Update, error) {
	if len(ps) > maxUpdates {
		return nil, malformed("%d updates", len(ps))
	}
	out := make([]dogmember.Update, 0, len(ps))
	for i, p := range ps {
		u, err := DecodeUpdate(p)
		if err != nil {
			return nil, fmt.Errorf("update %d: %w", i, err)
		}
		out = append(out, u)
	}
	return out, nil
}

// EncodeProbe returns the request of a probe by the node named from.
func EncodeProbe(from string, m dogmember.Message) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{
		From:      from,
		Updates:   encodeUpdates(m.Updates),
		Summary:   m.Summary,
		Contracts: m.ContractsHash,
	}
}

// DecodeProbe validates a probe and returns the name of its sender and its content.
func DecodeProbe(p *peerpb.ProbeRequest) (string, dogmember.Message, error) {
	us, err := decodeUpdates(p.GetUpdates())
	if err = firstError(checkName("sender", p.GetFrom()), err); err != nil {
		return "", dogmember.Message{}, fmt.Errorf("probe: %w", err)
	}
	return p.GetFrom(), dogmember.Message{Updates: us, Summary: p.GetSummary(), ContractsHash: p.GetContracts()}, nil
}

// EncodeProbeResponse returns the response to a probe.
func EncodeProbeResponse(m dogmember.Message) *peerpb.ProbeResponse {
	return &peerpb.ProbeResponse{
		Updates:   encodeUpdates(m.Updates),
		Summary:   m.Summary,
		Contracts: m.ContractsHash,
	}
}

// DecodeProbeResponse validates the response to a probe and returns its content.
func DecodeProbeResponse(p *peerpb.ProbeResponse) (dogmember.Message, error) {
	us, err := decodeUpdates(p.GetUpdates())
	if err != nil {
		return dogmember.Message{}, fmt.Errorf("response to a probe: %w", err)
	}
	return dogmember.Message{Updates: us, Summary: p.GetSummary(), ContractsHash: p.GetContracts()}, nil
}

// EncodeNotify returns the request of a notification by the node named from. It
// contains only the updates of m.
func EncodeNotify(from string, m dogmember.Message) *peerpb.NotifyRequest {
	return &peerpb.NotifyRequest{From: from, Updates: encodeUpdates(m.Updates)}
}

// DecodeNotify validates a notification and returns the name of its sender and its
// content.
func DecodeNotify(p *peerpb.NotifyRequest) (string, dogmember.Message, error) {
	us, err := decodeUpdates(p.GetUpdates())
	if err = firstError(checkName("sender", p.GetFrom()), err); err != nil {
		return "", dogmember.Message{}, fmt.Errorf("notification: %w", err)
	}
	return p.GetFrom(), dogmember.Message{Updates: us}, nil
}

// EncodePull returns the request of a pull by the node named from.
func EncodePull(from string, r PullRequest) *peerpb.PullRequest {
	p := &peerpb.PullRequest{
		From:          from,
		Customers:     r.Customers,
		ContractsOnly: r.ContractsOnly,
		Parts:         r.Parts,
	}
	if r.Self != nil {
		p.Self = encodeMember(*r.Self)
	}
	return p
}

// DecodePull validates a pull and returns the name of its sender and its content.
func DecodePull(p *peerpb.PullRequest) (string, PullRequest, error) {
	r := PullRequest{Parts: p.GetParts(), ContractsOnly: p.GetContractsOnly(), Customers: p.GetCustomers()}
	err := checkName("sender", p.GetFrom())
	if n := len(r.Parts); err == nil && n > dogmember.MaxParts {
		err = malformed("%d partial hashes", n)
	}
	if n := len(r.Customers); err == nil && n > maxUpdates {
		err = malformed("%d customers", n)
	}
	for i := 0; i < len(r.Customers) && err == nil; i++ {
		err = checkName("customer", r.Customers[i])
	}
	if err == nil && p.GetSelf() != nil {
		var self dogmember.Member
		self, err = decodeMember(p.GetSelf())
		r.Self = &self
		if err == nil && self.Node != p.GetFrom() {
			err = malformed("member record of a node other than the sender")
		}
	}
	if err != nil {
		return "", PullRequest{}, fmt.Errorf("pull: %w", err)
	}
	return p.GetFrom(), r, nil
}

// EncodePullResponse returns the response to a pull.
func EncodePullResponse(r PullResponse) *peerpb.PullResponse {
	p := &peerpb.PullResponse{Updates: encodeUpdates(r.Updates)}
	for _, t := range r.Texts {
		c := &peerpb.Contract{Customer: t.Customer, Generation: t.Number, Hash: t.Hash, Text: t.Text}
		p.Updates = append(p.Updates, &peerpb.Update{Kind: &peerpb.Update_Contract{Contract: c}})
	}
	return p
}

// DecodePullResponse validates the response to a pull and returns its content.
func DecodePullResponse(p *peerpb.PullResponse) (PullResponse, error) {
	if len(p.GetUpdates()) > maxUpdates {
		return PullResponse{}, malformed("response to a pull: %d updates", len(p.GetUpdates()))
	}
	var r PullResponse
	for i, up := range p.GetUpdates() {
		var err error
		if c := up.GetContract(); len(c.GetText()) > 0 {
			var t dogconfig.Text
			t, err = decodeText(c)
			r.Texts = append(r.Texts, t)
		} else {
			var u dogmember.Update
			u, err = DecodeUpdate(up)
			r.Updates = append(r.Updates, u)
		}
		if err != nil {
			return PullResponse{}, fmt.Errorf("response to a pull: update %d: %w", i, err)
		}
	}
	return r, nil
}
