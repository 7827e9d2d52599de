package dogsidecar

import (
	"context"
	"log/slog"
	"net"
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

	mu       sync.Mutex
	node     *dogquota.Node
	table    *dogtable.Table // The table whose limits node has.
	view     messageView
	waits    map[uint64]chan struct{} // Closed when waiting requests of a workspace are to be resumed.
	timer    *time.Timer              // Runs expire.
	wakeAt   time.Time                // Time for which the timer is set; zero if it is not.
	fallback map[string]bool          // Lenders that have not answered, so that fallback buckets are used.
	// checkedAt and checkedBoot are the time of the last check for a pause, by the clock
	// of the runtime and by that of the machine.
	checkedAt   time.Time
	checkedBoot time.Duration
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
		waits: make(map[uint64]chan struct{}), fallback: make(map[string]bool),
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

// Labels of dogmetric.QuotaRequests.
const (
	quotaGranted  = "granted"
	quotaRefused  = "refused"
	quotaFallback = "fallback-"
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
		q.recordFallback(name, true)
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

// recordFallback logs that a lender does not answer, or answers again.
func (q *quotas) recordFallback(lender string, active bool) {
	q.mu.Lock()
	changed := q.fallback[lender] != active
	if active {
		q.fallback[lender] = true
	} else {
		delete(q.fallback, lender)
	}
	q.mu.Unlock()
	if changed {
		q.log.event(doglog.QuotaFallback, slog.String("peer", lender), slog.Bool("active", active))
	}
}

// inspect returns what Take would decide, and takes no token.
func (q *quotas) inspect(now time.Time, w *dogtable.Workspace) dogquota.Inspection {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Inspect(now, dogquota.WorkspaceID(w.Name()))
}
