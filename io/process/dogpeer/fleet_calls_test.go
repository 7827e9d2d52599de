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

// wireSize returns the bytes that an answer takes; large ones are compressed.
func wireSize(b []byte) int64 {
	if len(b) < 2048 {
		return int64(len(b) + overhead/2)
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(b)
	_ = w.Close()
	return int64(buf.Len() + overhead/2)
}

// rpc carries one call. serve runs at the receiver and returns the answer.
func (n *node) rpc(peer string, req proto.Message, timeout time.Duration, serve func(to *node, req []byte) proto.Message, done func(resp []byte), failed func()) {
	f := n.f
	var body []byte
	n.timed(func() { body, _ = proto.Marshal(req) })
	n.bytes += int64(len(body) + overhead/2)
	to := f.at[peer]
	lost := to == nil || !to.up || f.cut != nil && f.cut(n, to) || f.rnd.IntN(1000) == 0
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
			return // The membership gives up an overdue probe by itself.
		}
		to.bytes += int64(len(body) + overhead/2)
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

func (n *node) act(a dogmember.Action) {
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
			to.event(dogmember.NotifyArrived{From: from, Message: m})
			return &peerpb.NotifyResponse{}
		}, nil, nil)
	case dogmember.Pull:
		n.pull(a)
	case dogmember.Deliver:
		if g, ok := a.Update.Value.(dogconfig.Generation); ok {
			from := a.From
			if m, known := n.m.Member(from); known {
				from = m.Peer
			}
			n.config(dogconfig.GenerationHeard{Peer: from, Generation: g})
		}
	case dogmember.ContractsDiffer:
		n.config(dogconfig.PeerDiffers{Peer: a.Peer})
	case dogmember.Changed:
		n.changes++
		if n.f.onChange != nil {
			n.f.onChange(n)
		}
	case dogmember.MemberFailed:
		if n.f.onFailed != nil {
			n.f.onFailed(n, a.Member)
		}
	case dogmember.KeeperChanged:
		n.config(dogconfig.WatcherChanged{Watcher: a.Keeper})
	case dogmember.ReadSeeds:
		n.f.store.list(n, a.Prefix, func(objs []dogwoodford.Object, err error) {
			n.event(dogmember.SeedsRead{Prefix: a.Prefix, Objects: objs, Err: err})
		})
	case dogmember.WriteSeeds:
		n.f.store.put(n, a.Name, a.Expected, a.Value, func(v int64, err error) {
			n.event(dogmember.SeedsWritten{Version: v, Err: err})
		})
	}
}

// reply runs an event at a node and returns its Reply or PullReply.
func (n *node) reply(ev dogmember.Event) (m dogmember.Message, p dogmember.PullReply) {
	var acts []dogmember.Action
	n.timed(func() { acts = n.m.OnEvent(n.f.now, ev) })
	for _, a := range acts {
		switch a := a.(type) {
		case dogmember.Reply:
			m = a.Message
		case dogmember.PullReply:
			p = a
		default:
			n.act(a)
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
	return dogpeer.EncodeProbeAnswer(out)
}

func (n *node) probe(a dogmember.Probe) {
	n.rpc(a.Peer, dogpeer.EncodeProbe(n.name, a.Message), a.Timeout,
		func(to *node, b []byte) proto.Message { return to.serveProbe(b) },
		func(b []byte) {
			p := &peerpb.ProbeResponse{}
			var m dogmember.Message
			n.timed(func() { _ = proto.Unmarshal(b, p); m, _ = dogpeer.DecodeProbeAnswer(p) })
			n.event(dogmember.ProbeAnswered{ID: a.ID, Message: m})
		},
		func() { n.event(dogmember.ProbeFailed{ID: a.ID}) })
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
	n.f.after(a.Timeout, func() { n.event(dogmember.ProbeViaAnswered{ID: a.ID, Alive: alive}) })
}

func (n *node) servePull(b []byte) proto.Message {
	p := &peerpb.PullRequest{}
	var from string
	var r dogpeer.PullRequest
	n.timed(func() { _ = proto.Unmarshal(b, p); from, r, _ = dogpeer.DecodePull(p) })
	var out dogpeer.PullResponse
	switch {
	case r.Contracts && len(r.Customers) > 0:
		out.Texts = n.c.Texts(r.Customers)
	case r.Contracts:
		for _, g := range n.c.Generations() {
			out.Updates = append(out.Updates, dogconfig.GenerationUpdate(g))
		}
	default:
		_, reply := n.reply(dogmember.PullArrived{From: from, Self: r.Self, Parts: r.Parts})
		out.Updates = reply.Updates
		for _, g := range n.c.Generations() {
			if reply.All {
				out.Updates = append(out.Updates, dogconfig.GenerationUpdate(g))
			}
		}
	}
	return dogpeer.EncodePullAnswer(out)
}

func (n *node) pull(a dogmember.Pull) {
	n.rpc(a.Peer, dogpeer.EncodePull(n.name, dogpeer.PullRequest{Self: &a.Self, Parts: a.Parts}), time.Second,
		func(to *node, b []byte) proto.Message { return to.servePull(b) },
		func(b []byte) {
			n.event(dogmember.PullAnswered{Peer: a.Peer, Updates: n.pullAnswer(b).Updates})
		},
		func() { n.event(dogmember.PullFailed{Peer: a.Peer}) })
}

func (n *node) pullAnswer(b []byte) (r dogpeer.PullResponse) {
	p := &peerpb.PullResponse{}
	n.timed(func() {
		_ = proto.Unmarshal(b, p)
		r, _ = dogpeer.DecodePullAnswer(p)
	})
	return r
}

func (n *node) pullContracts(peer string, customers []string) {
	n.rpc(peer, dogpeer.EncodePull(n.name, dogpeer.PullRequest{Contracts: true, Customers: customers}), time.Second,
		func(to *node, b []byte) proto.Message { return to.servePull(b) },
		func(b []byte) {
			r := n.pullAnswer(b)
			ev := dogconfig.PullAnswered{Peer: peer, Texts: r.Texts}
			for _, u := range r.Updates {
				ev.Generations = append(ev.Generations, u.Value.(dogconfig.Generation))
			}
			n.config(ev)
		},
		func() { n.config(dogconfig.PullFailed{Peer: peer}) })
}

func (n *node) configAct(a dogconfig.Action) {
	switch a := a.(type) {
	case dogconfig.InForce:
		if n.f.onForce != nil {
			n.f.onForce(n, a.Generation)
		}
		n.event(dogmember.ContractsChanged{Hash: n.c.Hash()})
		n.event(dogmember.Publish{Update: dogconfig.GenerationUpdate(a.Generation), Urgent: true})
	case dogconfig.PullTexts:
		n.pullContracts(a.Peer, a.Customers)
	case dogconfig.PullGenerations:
		n.pullContracts(a.Peer, nil)
	case dogconfig.List:
		n.f.store.list(n, "contract/", func(objs []dogwoodford.Object, err error) {
			if err == nil {
				n.config(dogconfig.Listed{Objects: objs})
			}
		})
	case dogconfig.Watch:
		n.watch = a.On
		if a.On {
			n.watched = 0
			n.f.store.wait(n)
		}
	case dogconfig.WriteBack:
		n.f.store.put(n, dogconfig.ObjectName(a.Customer), a.Expected, a.Text, func(v int64, err error) {
			n.config(dogconfig.WrittenBack{Customer: a.Customer, Version: v, Err: err})
		})
	}
}
