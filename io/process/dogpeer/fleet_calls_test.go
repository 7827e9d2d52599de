package dogpeer_test

import (
	"bytes"
	"compress/gzip"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogpeer"
	"dogwoodford/io/process/dogpeer/peerpb"
)

// wireSize returns the number of bytes that a response takes on the wire; large
// ones are compressed.
func wireSize(b []byte) int64 {
	if len(b) < 2048 {
		return int64(len(b) + callOverheadBytes/2)
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(b)
	_ = w.Close()
	return int64(buf.Len() + callOverheadBytes/2)
}

// rpc simulates one call. serve runs at the receiver and returns the response. One
// call in 1,000 is lost.
func (n *node) rpc(peer string, req proto.Message, timeout time.Duration, serve func(to *node, req []byte) proto.Message, done func(resp []byte), failed func()) {
	f := n.f
	var body []byte
	n.timed(func() { body, _ = proto.Marshal(req) })
	n.bytes += int64(len(body) + callOverheadBytes/2)
	to := f.nodesByPeer[peer]
	lost := to == nil || !to.up || f.partitioned != nil && f.partitioned(n, to) || f.rnd.IntN(1000) == 0
	if lost {
		f.after(timeout, func() {
			if failed != nil {
				failed()
			}
		})
		return
	}
	f.after(f.delay(n, to), func() {
		if !to.up {
			return // The membership has its own timeout for probes.
		}
		to.bytes += int64(len(body) + callOverheadBytes/2)
		var out []byte
		resp := serve(to, body)
		var wire int64
		to.timed(func() { out, _ = proto.Marshal(resp); wire = wireSize(out) })
		to.bytes += wire
		f.after(f.delay(to, n), func() {
			n.bytes += wire
			if done != nil && n.up {
				done(out)
			}
		})
	})
}

func (n *node) memberAction(a dogmember.Action) {
	switch a := a.(type) {
	case dogmember.Probe:
		n.probe(a)
	case dogmember.ProbeVia:
		n.probeVia(a)
	case dogmember.Notify:
		n.rpc(a.Peer, dogpeer.EncodeNotify(n.name, a.Message), 0, func(to *node, b []byte) proto.Message {
			p := &peerpb.NotifyRequest{}
			from, m := "", dogmember.Message{}
			to.timed(func() { _ = proto.Unmarshal(b, p); from, m, _ = dogpeer.DecodeNotify(p) })
			to.memberEvent(dogmember.NotifyArrived{From: from, Message: m})
			return &peerpb.NotifyResponse{}
		}, nil, nil)
	case dogmember.Pull:
		n.pull(a)
	case dogmember.Deliver:
		if g, ok := a.Update.Value.(dogconfig.Generation); ok {
			from := a.From
			if m, known := n.membership.Member(from); known {
				from = m.Peer
			}
			n.configEvent(dogconfig.GenerationHeard{Peer: from, Generation: g})
		}
	case dogmember.ContractsDiffer:
		n.configEvent(dogconfig.PeerDiffers{Peer: a.Peer})
	case dogmember.Changed:
		n.viewChanges++
		if n.f.onChange != nil {
			n.f.onChange(n)
		}
	case dogmember.MemberFailed:
		if n.f.onFailed != nil {
			n.f.onFailed(n, a.Member)
		}
	case dogmember.KeeperChanged:
		n.configEvent(dogconfig.WatcherChanged{Watcher: a.Keeper})
	case dogmember.ReadSeeds:
		n.f.store.list(n, a.Prefix, func(objs []dogwoodford.Object, err error) {
			n.memberEvent(dogmember.SeedsRead{Prefix: a.Prefix, Objects: objs, Err: err})
		})
	case dogmember.WriteSeeds:
		n.f.store.put(n, a.Name, a.Expected, a.Value, func(v int64, err error) {
			n.memberEvent(dogmember.SeedsWritten{Version: v, Err: err})
		})
	}
}

// reply passes an event to the membership of n and returns the Reply or PullReply
// among its actions.
func (n *node) reply(ev dogmember.Event) (m dogmember.Message, p dogmember.PullReply) {
	var acts []dogmember.Action
	n.timed(func() { acts = n.membership.OnEvent(n.f.now, ev) })
	for _, a := range acts {
		switch a := a.(type) {
		case dogmember.Reply:
			m = a.Message
		case dogmember.PullReply:
			p = a
		default:
			n.memberAction(a)
		}
	}
	return m, p
}

func (n *node) serveProbe(b []byte) proto.Message {
	p := &peerpb.ProbeRequest{}
	var from string
	var m dogmember.Message
	n.timed(func() { _ = proto.Unmarshal(b, p); from, m, _ = dogpeer.DecodeProbe(p) })
	out, _ := n.reply(dogmember.ProbeArrived{From: from, Message: m})
	return dogpeer.EncodeProbeResponse(out)
}

func (n *node) probe(a dogmember.Probe) {
	n.rpc(a.Peer, dogpeer.EncodeProbe(n.name, a.Message), a.Timeout,
		func(to *node, b []byte) proto.Message { return to.serveProbe(b) },
		func(b []byte) {
			p := &peerpb.ProbeResponse{}
			var m dogmember.Message
			n.timed(func() { _ = proto.Unmarshal(b, p); m, _ = dogpeer.DecodeProbeResponse(p) })
			n.memberEvent(dogmember.ProbeAnswered{ID: a.ID, Message: m})
		},
		func() { n.memberEvent(dogmember.ProbeFailed{ID: a.ID}) })
}

func (n *node) probeVia(a dogmember.ProbeVia) {
	req := &peerpb.ProbeViaRequest{From: n.name, Peer: a.Peer}
	alive := false
	n.rpc(a.Via, req, a.Timeout, func(to *node, _ []byte) proto.Message {
		to.rpc(a.Peer, dogpeer.EncodeProbe(to.name, dogmember.Message{}), a.Timeout/2,
			func(x *node, b []byte) proto.Message { return x.serveProbe(b) },
			func([]byte) { alive = true }, nil)
		return &peerpb.ProbeViaResponse{Alive: true}
	}, nil, nil)
	n.f.after(a.Timeout, func() { n.memberEvent(dogmember.ProbeViaAnswered{ID: a.ID, Alive: alive}) })
}

func (n *node) servePull(b []byte) proto.Message {
	p := &peerpb.PullRequest{}
	var from string
	var r dogpeer.PullRequest
	n.timed(func() { _ = proto.Unmarshal(b, p); from, r, _ = dogpeer.DecodePull(p) })
	var out dogpeer.PullResponse
	switch {
	case r.ContractsOnly && len(r.Customers) > 0:
		out.Texts = n.contracts.Texts(r.Customers)
	case r.ContractsOnly:
		for _, g := range n.contracts.Generations() {
			out.Updates = append(out.Updates, dogconfig.GenerationUpdate(g))
		}
	default:
		_, reply := n.reply(dogmember.PullArrived{From: from, Self: r.Self, Parts: r.Parts})
		out.Updates = reply.Updates
		for _, g := range n.contracts.Generations() {
			if reply.All {
				out.Updates = append(out.Updates, dogconfig.GenerationUpdate(g))
			}
		}
	}
	return dogpeer.EncodePullResponse(out)
}

func (n *node) pull(a dogmember.Pull) {
	n.rpc(a.Peer, dogpeer.EncodePull(n.name, dogpeer.PullRequest{Self: &a.Self, Parts: a.Parts}), time.Second,
		func(to *node, b []byte) proto.Message { return to.servePull(b) },
		func(b []byte) {
			n.memberEvent(dogmember.PullAnswered{Peer: a.Peer, Updates: n.pullAnswer(b).Updates})
		},
		func() { n.memberEvent(dogmember.PullFailed{Peer: a.Peer}) })
}

func (n *node) pullAnswer(b []byte) (r dogpeer.PullResponse) {
	p := &peerpb.PullResponse{}
	n.timed(func() {
		_ = proto.Unmarshal(b, p)
		r, _ = dogpeer.DecodePullResponse(p)
	})
	return r
}

func (n *node) pullContracts(peer string, customers []string) {
	n.rpc(peer, dogpeer.EncodePull(n.name, dogpeer.PullRequest{ContractsOnly: true, Customers: customers}), time.Second,
		func(to *node, b []byte) proto.Message { return to.servePull(b) },
		func(b []byte) {
			r := n.pullAnswer(b)
			ev := dogconfig.PullAnswered{Peer: peer, Texts: r.Texts}
			for _, u := range r.Updates {
				ev.Generations = append(ev.Generations, u.Value.(dogconfig.Generation))
			}
			n.configEvent(ev)
		},
		func() { n.configEvent(dogconfig.PullFailed{Peer: peer}) })
}

func (n *node) configAction(a dogconfig.Action) {
	switch a := a.(type) {
	case dogconfig.InForce:
		if n.f.onInForce != nil {
			n.f.onInForce(n, a.Generation)
		}
		n.memberEvent(dogmember.ContractsChanged{Hash: n.contracts.Hash()})
		n.memberEvent(dogmember.Publish{Update: dogconfig.GenerationUpdate(a.Generation), Urgent: true})
	case dogconfig.PullTexts:
		n.pullContracts(a.Peer, a.Customers)
	case dogconfig.PullGenerations:
		n.pullContracts(a.Peer, nil)
	case dogconfig.List:
		n.f.store.list(n, "contract/", func(objs []dogwoodford.Object, err error) {
			if err == nil {
				n.configEvent(dogconfig.Listed{Objects: objs})
			}
		})
	case dogconfig.Watch:
		n.watching = a.On
		if a.On {
			n.watchedRevision = 0
			n.f.store.startWatch(n)
		}
	case dogconfig.WriteBack:
		n.f.store.put(n, dogconfig.ObjectName(a.Customer), a.Expected, a.Text, func(v int64, err error) {
			n.configEvent(dogconfig.WrittenBack{Customer: a.Customer, Version: v, Err: err})
		})
	}
}
