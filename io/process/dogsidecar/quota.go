package dogsidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"dogwoodford/core/process/dogquota"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

const (
	// maxTokenRounds bounds how often a request waits for an answer of a lender, as
	// others may take the tokens that it waited for.
	maxTokenRounds = 3
	// tokenRetry is the hint for a request that got no token in these rounds.
	tokenRetry = 100 * time.Millisecond
	// settlingPause is the time without an answer from which other nodes may have chosen
	// another lender.
	settlingPause = 500 * time.Millisecond
	// pauseCheckInterval is the least time between two checks for a pause, as each reads
	// a clock by a system call.
	pauseCheckInterval = 10 * time.Millisecond
	// strangerBurst is the number of datagrams of strangers after which the node pauses
	// for strangerPause, so that they cost a small share of the processor. Datagrams of
	// nodes wait for that long in the socket's buffer.
	strangerBurst = 32
	strangerPause = 5 * time.Millisecond
)

// quotas takes part in the quotas of workspaces. It implements dogrelay.Quotas.
type quotas struct {
	settings Settings
	state    *state
	tables   *dogtable.Holder
	log      *logger
	metrics  *dogmetric.Set
	conn     *net.UDPConn
	liveness *lenderLiveness
	lag      func() time.Duration // How late the process is with its work.

	mu     sync.Mutex
	node   *dogquota.Node
	table  *dogtable.Table // The table whose limits node has.
	view   messageView
	waits  map[uint64]chan struct{} // Closed when waiting requests of a workspace are to be resumed.
	timer  *time.Timer              // Runs expire.
	wakeAt time.Time                // Time for which the timer is set; zero if it is not.
	// checkedAt and checkedBoot are the time of the last check for a pause, by the clock
	// of the runtime and by that of the machine.
	checkedAt   time.Time
	checkedBoot time.Duration
}

// messageView is the view of the other nodes for messages.
type messageView struct {
	fleetGeneration, livenessGeneration uint64
	listed                              bool
	addresses                           map[string]netip.AddrPort
	names                               map[netip.Addr]string
}

// newQuotas returns the quotas of a node that has started at start, or nil if its settings
// have none.
func newQuotas(n *node, tables *dogtable.Holder, start time.Time) *quotas {
	s := n.settings
	if s.QuotaWindow <= 0 || s.Messages == "" {
		return nil
	}
	q := &quotas{
		settings: s, state: n.state, tables: tables, log: n.log, metrics: n.metrics,
		lag: n.lag.Lag, checkedAt: time.Now(), checkedBoot: bootClock(),
		waits: make(map[uint64]chan struct{}),
		node: dogquota.NewNode(start, dogquota.Options{
			Name: s.Node, Rand: newRand(),
			Bound: dogquota.Bound{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		}),
	}
	q.timer = time.AfterFunc(time.Hour, q.expire)
	q.timer.Stop()
	q.liveness = newLenderLiveness(n.peers, n.log)
	return q
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

// Take implements dogrelay.Quotas.
func (q *quotas) Take(ctx context.Context, w *dogtable.Workspace) (retryAfter time.Duration, ok bool) {
	id := dogquota.WorkspaceID(w.Name())
	ws := dogquota.Workspace{ID: id, Limit: dogquota.Limit{Rate: w.Rate(), Burst: w.Burst()}}
	q.mu.Lock()
	now := time.Now()
	q.update(now)
	d := q.node.Take(now, ws)
	for range maxTokenRounds {
		if d.Verdict != dogquota.Wait {
			q.mu.Unlock()
			return q.count(d)
		}
		resumed := q.await(id)
		out := q.flush(now)
		q.mu.Unlock()
		q.send(out)
		select {
		case <-resumed:
		case <-ctx.Done():
		}
		q.mu.Lock()
		now = time.Now()
		if ctx.Err() != nil {
			break
		}
		d = q.node.Resume(now, id)
	}
	if d.Verdict == dogquota.Wait {
		q.node.Leave(id)
		d = dogquota.Decision{Verdict: dogquota.Refused, RetryAfter: tokenRetry}
	}
	q.mu.Unlock()
	return q.count(d)
}

// Return implements dogrelay.Quotas.
func (q *quotas) Return(w *dogtable.Workspace) {
	q.mu.Lock()
	out, ok := q.node.Return(time.Now(), dogquota.WorkspaceID(w.Name()))
	q.mu.Unlock()
	if ok {
		q.send([]dogquota.Outgoing{out})
	}
}

// Labels of dogmetric.QuotaRequests and dogmetric.QuotaMessages.
const (
	quotaGranted   = "granted"
	quotaRefused   = "refused"
	quotaFallback  = "fallback-"
	quotaMalformed = "malformed"
	quotaStranger  = "stranger"
	quotaIgnored   = "ignored"
)

// count counts a decision and returns it as Take does.
func (q *quotas) count(d dogquota.Decision) (retryAfter time.Duration, ok bool) {
	label := quotaGranted
	if d.Verdict != dogquota.Granted {
		label = quotaRefused
	}
	if d.Fallback {
		label = quotaFallback + label
	}
	q.metrics.AddTo(dogmetric.QuotaRequests, label, 1)
	return d.RetryAfter, d.Verdict == dogquota.Granted
}

// await returns the channel that is closed when the waiting requests of a workspace are to
// be resumed. The caller must hold q.mu.
func (q *quotas) await(workspace uint64) <-chan struct{} {
	c := q.waits[workspace]
	if c == nil {
		c = make(chan struct{})
		q.waits[workspace] = c
	}
	return c
}

// resume resumes the waiting requests of workspaces. The caller must hold q.mu.
func (q *quotas) resume(workspaces []uint64) {
	for _, id := range workspaces {
		if c := q.waits[id]; c != nil {
			close(c)
			delete(q.waits, id)
		}
	}
}

// flush returns the messages to send and sets the timer for their answers. The caller must
// hold q.mu.
func (q *quotas) flush(now time.Time) []dogquota.Outgoing {
	out, resolved := q.node.Flush(now)
	q.resume(resolved)
	switch next := q.node.NextExpiry(); {
	case next.Equal(q.wakeAt):
	case next.IsZero():
		q.timer.Stop()
		q.wakeAt = next
	default:
		q.timer.Reset(next.Sub(now))
		q.wakeAt = next
	}
	return out
}

// expire handles asks without an answer.
func (q *quotas) expire() {
	q.mu.Lock()
	now := time.Now()
	q.update(now)
	q.wakeAt = time.Time{}
	resolved, lost, _ := q.node.Expire(now)
	q.resume(resolved)
	out := q.flush(now)
	q.mu.Unlock()
	q.send(out)
	for _, name := range lost {
		q.liveness.doubt(name)
	}
}

// settle makes the node name another lender for a time, as others may have chosen one.
func (q *quotas) settle(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.Settle(time.Now(), d)
}

// checkPause settles the node after a pause of the process or the machine.
func (q *quotas) checkPause() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.detectPause(time.Now())
}

// detectPause settles the node after a pause of the process, which the lag shows, or of the
// machine, which the clock of the runtime leaves out. The caller must hold q.mu.
func (q *quotas) detectPause(now time.Time) {
	elapsed := now.Sub(q.checkedAt)
	if elapsed < pauseCheckInterval {
		return
	}
	boot := bootClock()
	if boot-q.checkedBoot-elapsed >= settlingPause || q.lag() >= settlingPause {
		q.node.Settle(now, dogquota.SettleTime)
	}
	q.checkedAt, q.checkedBoot = now, boot
}

// update passes a new configuration and a new view of the fleet to the node. The caller
// must hold q.mu.
func (q *quotas) update(now time.Time) {
	q.detectPause(now)
	if t := q.tables.Table(); t != q.table {
		q.table = t
		limits := make(map[uint64]dogquota.Limit)
		for w := range t.Workspaces() {
			if w.Limited() {
				limits[dogquota.WorkspaceID(w.Name())] = dogquota.Limit{Rate: w.Rate(), Burst: w.Burst()}
			}
		}
		q.node.SetLimits(limits)
	}
	fleet, listed := q.state.fleetGeneration()
	liveness := q.liveness.current()
	if v := &q.view; v.addresses == nil || fleet != v.fleetGeneration || liveness != v.livenessGeneration || listed != v.listed {
		v.fleetGeneration, v.livenessGeneration, v.listed = fleet, liveness, listed
		q.updateView(now)
	}
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
	strangers := 0
	for {
		n, from, err := q.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			continue // Of an earlier message to a node that is gone.
		case q.receive(buf[:n], from):
			strangers = 0
			continue
		}
		if strangers++; strangers%strangerBurst == 0 {
			time.Sleep(strangerPause)
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
		q.metrics.AddTo(dogmetric.QuotaMessages, quotaStranger, 1)
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

// logLender logs that a lender is lost or back.
func logLender(l *logger, name string, lost, silent bool) {
	if lost {
		l.event(doglog.LenderLost, slog.String("peer", name), slog.Bool("dark", silent))
		return
	}
	l.event(doglog.LenderBack, slog.String("peer", name))
}
