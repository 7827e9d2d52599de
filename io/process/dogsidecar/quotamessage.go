package dogsidecar

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"time"

	"dogwoodford/core/process/dogquota"
	"dogwoodford/io/process/dogmetric"
)

const (
	// unknownSenderBurst is the number of datagrams of unknown senders after which the node pauses
	// for unknownSenderPause, so that they cost a small share of the processor. Datagrams of
	// nodes wait for that long in the socket's buffer.
	unknownSenderBurst = 32
	unknownSenderPause = 5 * time.Millisecond
)

// Labels of dogmetric.QuotaMessages for datagrams that are not used.
const (
	quotaMalformed     = "malformed"
	quotaUnknownSender = "unknown-sender"
	quotaIgnored       = "ignored"
)

// messageView is the view of the other nodes for messages.
type messageView struct {
	fleetGeneration, livenessGeneration uint64
	listed                              bool
	addresses                           map[string]netip.AddrPort
	names                               map[netip.Addr]string
}

// listen opens the socket for messages.
func (q *quotas) listen() error {
	addr, err := netip.ParseAddrPort(q.settings.Messages)
	if err != nil {
		return fmt.Errorf("address for messages: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return fmt.Errorf("listen for messages: %w", err)
	}
	q.conn = conn
	return nil
}

// updateView passes a new view of the fleet to the node. The caller must hold q.mu.
func (q *quotas) updateView(now time.Time) {
	own, _ := netip.ParseAddrPort(q.settings.Messages) // Checked by listen.
	q.view.addresses, q.view.names = make(map[string]netip.AddrPort), make(map[netip.Addr]string)
	view := dogquota.View{Complete: q.view.listed}
	for _, m := range q.state.members() {
		peer, err := netip.ParseAddrPort(m.Peer)
		if err != nil || m.Node == q.settings.Node {
			continue
		}
		alive, silent := q.liveness.status(m.Node)
		view.Known = append(view.Known, m.Node)
		if alive {
			view.Reachable = append(view.Reachable, m.Node)
		}
		if silent || m.Silent {
			view.Silent++
		}
		if _, ok := q.view.names[peer.Addr()]; !ok || alive {
			q.view.names[peer.Addr()] = m.Node
		}
		q.view.addresses[m.Node] = netip.AddrPortFrom(peer.Addr(), own.Port())
	}
	maps.DeleteFunc(q.fallback, func(name string, _ bool) bool {
		_, known := q.view.addresses[name]
		return !known
	})
	q.node.SetView(now, view)
}

// send sends messages to other nodes. Lost ones are asked again.
func (q *quotas) send(out []dogquota.Outgoing) {
	for _, o := range out {
		q.mu.Lock()
		addr, ok := q.view.addresses[o.Node]
		q.mu.Unlock()
		if ok {
			q.write(o.Message, addr)
		}
	}
}

var quotaKinds = map[dogquota.Kind]string{
	dogquota.KindAsk: "ask", dogquota.KindAnswer: "answer", dogquota.KindReturn: "return",
}

func (q *quotas) write(m dogquota.Message, addr netip.AddrPort) {
	var buf [dogquota.MaxMessageBytes]byte
	n, err := q.conn.WriteToUDPAddrPort(m.Append(buf[:0]), addr)
	if err != nil {
		return // As if it were lost on the way.
	}
	q.metrics.AddTo(dogmetric.QuotaMessages, quotaKinds[m.Kind], 1)
	q.metrics.Add(dogmetric.QuotaBytes, int64(n))
}

// close ends the read of serve and the probes of other nodes.
func (q *quotas) close() {
	_ = q.conn.Close() // There is nothing to be written.
	close(q.liveness.done)
}

// serve handles messages of other nodes until ctx ends.
func (q *quotas) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, q.close)
	defer stop()
	buf := make([]byte, dogquota.MaxMessageBytes+1)
	unknown := 0
	for {
		n, from, err := q.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			continue // Of an earlier message to a node that is gone.
		case q.receive(buf[:n], from):
			unknown = 0
			continue
		}
		if unknown++; unknown%unknownSenderBurst == 0 {
			time.Sleep(unknownSenderPause)
		}
	}
}

// receive handles a datagram and reports whether it is a message of a known node.
func (q *quotas) receive(data []byte, from netip.AddrPort) bool {
	q.mu.Lock()
	now := time.Now()
	q.update(now)
	name, ok := q.view.names[from.Addr().Unmap()]
	if !ok || from.Port() != q.view.addresses[name].Port() {
		q.mu.Unlock()
		q.metrics.AddTo(dogmetric.QuotaMessages, quotaUnknownSender, 1)
		return false
	}
	m, err := dogquota.ParseMessage(data)
	if err != nil {
		q.mu.Unlock()
		q.metrics.AddTo(dogmetric.QuotaMessages, quotaMalformed, 1)
		return false
	}
	r := q.node.Receive(now, name, m)
	q.resume(r.Resolved)
	out := q.flush(now)
	q.mu.Unlock()
	q.metrics.Add(dogmetric.QuotaBytes, int64(len(data)))
	if m.Kind == dogquota.KindAnswer {
		q.recordFallback(name, false)
	}
	if r.Ignored {
		q.metrics.AddTo(dogmetric.QuotaMessages, quotaIgnored, 1)
	}
	if r.Reply != nil {
		q.write(*r.Reply, from)
	}
	q.send(out)
	q.liveness.heard(name)
	if r.Doubted != "" {
		q.liveness.doubt(r.Doubted)
	}
	return true
}
