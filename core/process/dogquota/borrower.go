package dogquota

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// AnswerTimeout is the time for which a node waits for an answer before it asks
	// again, or uses its fallback bucket.
	AnswerTimeout = 60 * time.Millisecond
	// attempts is the number of times that a node asks before it uses its fallback
	// bucket.
	attempts = 2
	// lateAnswer is the age of an ask from which its answer is ignored: the tokens were
	// taken from the bucket of the lender in an earlier window.
	lateAnswer = 250 * time.Millisecond
	// lostRetry is the time after which a node asks a lender again that has not
	// answered.
	lostRetry = 250 * time.Millisecond
	// returnLifetime is the time for which a node keeps the token of a request that has
	// not run. It is short, because the token may be from an earlier window.
	returnLifetime = 500 * time.Millisecond
	// fallbackMemory is the time after its last use for which a fallback bucket keeps
	// its level.
	fallbackMemory = 10 * time.Second
	// maxRetryAfter bounds the hints of lenders, and those to callers.
	maxRetryAfter = 3 * time.Second
	// shortRetry is the hint for a request that found its token taken by another one.
	shortRetry = 50 * time.Millisecond
	// fallbackRetry is the hint for a request that the fallback bucket refuses. The
	// view of the fleet has usually found another lender by then.
	fallbackRetry = 500 * time.Millisecond
)

// Verdict is what happens to a request.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota
	Refused
	Wait // The request waits for an answer of the lender.
)

// Decision is the answer to a request for a token.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // If refused.
	Fallback   bool          // No lender has answered.
}

// Ranking names the nodes that come first by rendezvous hashing for a workspace. Both are
// the same if there is only one.
type Ranking struct{ First, Second string }

// Ask is a message that asks a lender for tokens of the workspaces for which requests
// wait.
type Ask struct {
	ID         uint64
	Lender     string
	Redirected bool // The first node by rendezvous hashing has named Lender.
	Requests   []Request

	sent time.Time
	open bool // No answer yet, and not timed out.
}

// BorrowerOptions configure a Borrower.
type BorrowerOptions struct {
	Bound Bound
	Rand  *rand.Rand
}

// Borrower holds what one node knows of the tokens of workspaces. It is not safe for
// concurrent use.
type Borrower struct {
	opts     BorrowerOptions
	accounts map[uint64]*account
	queue    []*account // Accounts that are to be asked for.
	asks     []*Ask     // Asks that may still be answered, the oldest first.
	lastID   uint64
	nodes    int
}

// account is the state of one workspace at one node.
type account struct {
	workspace Workspace
	ranking   Ranking
	hand      lots // Tokens that may be used.
	demand    recentCount
	waiting   int
	state     askState
	attempt   int
	// refuseUntil is the time until which requests without a token are refused.
	refuseUntil time.Time
	// interval is the time between two asks while tokens are short, and part the
	// number of tokens that each yields. refused counts the requests that were refused
	// since the last.
	interval      time.Duration
	part, refused int
	// redirectUntil is the time until which the second node of the ranking lends.
	redirectUntil time.Time
	lost          bool      // No node lends to this one.
	askAgainAt    time.Time // Time of the next ask of a lost lender.
	fallback      fallbackBucket
}

type askState int

const (
	idle askState = iota
	queued
	asked
)

// NewBorrower returns a borrower without tokens.
func NewBorrower(opts BorrowerOptions) *Borrower {
	return &Borrower{opts: opts, accounts: make(map[uint64]*account), lastID: opts.Rand.Uint64(), nodes: 1}
}

// SetNodes sets the number of known nodes, by which the fallback buckets are sized.
func (b *Borrower) SetNodes(n int) { b.nodes = max(1, n) }

// dropTokens drops all tokens in hand, as they may be from an earlier window.
func (b *Borrower) dropTokens() {
	for _, a := range b.accounts {
		a.hand = nil
	}
}

// Retain drops the workspaces for which keep returns false and no request waits.
func (b *Borrower) Retain(keep func(workspace uint64) bool) {
	for id, a := range b.accounts {
		if !keep(id) && a.waiting == 0 && a.state == idle {
			delete(b.accounts, id)
		}
	}
}

// Take takes a token for a request of a workspace. If the request is to wait, the caller
// sends what Asks returns, and calls Resume or Leave later.
func (b *Borrower) Take(now time.Time, w Workspace, r Ranking) Decision {
	a := b.accounts[w.ID]
	if a == nil {
		a = &account{workspace: w}
		b.accounts[w.ID] = a
	}
	a.update(w, r)
	a.demand.add(now)
	return b.decide(now, a)
}

// Resume decides on a request that has waited.
func (b *Borrower) Resume(now time.Time, workspace uint64) Decision {
	a := b.accounts[workspace]
	a.waiting--
	return b.decide(now, a)
}

// Leave records that a request no longer waits.
func (b *Borrower) Leave(workspace uint64) { b.accounts[workspace].waiting-- }

func (b *Borrower) decide(now time.Time, a *account) Decision {
	switch {
	case a.hand.take(now):
		return Decision{Verdict: Granted}
	case a.lost && now.Before(a.askAgainAt):
		return a.fallBack(now)
	case now.Before(a.refuseUntil):
		return a.refuse(now)
	}
	a.waiting++
	b.enqueue(a)
	return Decision{Verdict: Wait}
}

// refuse refuses a request until there may be a token for it, if those that were refused
// before it come back earlier.
func (a *account) refuse(now time.Time) Decision {
	wait := a.refuseUntil.Sub(now) + time.Duration(a.refused/a.part)*a.interval
	a.refused++
	return Decision{Verdict: Refused, RetryAfter: min(max(shortRetry, wait), maxRetryAfter)}
}

func (a *account) fallBack(now time.Time) Decision {
	if a.fallback.take(now) {
		return Decision{Verdict: Granted, Fallback: true}
	}
	return Decision{Verdict: Refused, RetryAfter: fallbackRetry, Fallback: true}
}

func (b *Borrower) enqueue(a *account) {
	if a.state == idle {
		a.state, a.attempt = queued, 1
		b.queue = append(b.queue, a)
	}
}

// update records the present limit and ranking. Tokens that were lent under a higher
// limit are dropped. A lost lender is asked again, as the fallback bucket of the limit
// before no longer holds.
func (a *account) update(w Workspace, r Ranking) {
	if a.ranking != r {
		a.ranking, a.redirectUntil = r, time.Time{}
		a.lost = false
	}
	if a.workspace.Limit == w.Limit {
		return
	}
	if w.Limit.lowerThan(a.workspace.Limit) {
		a.hand = nil
	}
	a.workspace, a.refuseUntil = w, time.Time{}
	a.lost, a.fallback = false, fallbackBucket{}
}

// Return takes back the token of a request that has not run. It returns false if the
// caller is to give the token back to the lender, because this node has few requests of
// the workspace.
func (b *Borrower) Return(now time.Time, workspace uint64) bool {
	a := b.accounts[workspace]
	if a == nil {
		return false
	}
	if a.lost {
		a.fallback.giveBack()
		return true
	}
	if a.demand.value(now) < 2 {
		return false
	}
	a.hand.add(1, now.Add(returnLifetime))
	return true
}

// Lender returns the node that lends the tokens of a workspace at present, and whether the
// first one by rendezvous hashing has named it.
func (b *Borrower) Lender(now time.Time, workspace uint64) (node string, redirected bool) {
	a := b.accounts[workspace]
	if a == nil {
		return "", false
	}
	return a.lender(now)
}

func (a *account) lender(now time.Time) (node string, redirected bool) {
	if now.Before(a.redirectUntil) {
		return a.ranking.Second, true
	}
	return a.ranking.First, false
}

// Asks returns the messages to send: one for each lender, with all workspaces for which
// requests wait.
func (b *Borrower) Asks(now time.Time) []*Ask {
	var out []*Ask
	for _, a := range b.queue {
		lender, redirected := a.lender(now)
		i := slices.IndexFunc(out, func(x *Ask) bool {
			return x.Lender == lender && x.Redirected == redirected && len(x.Requests) < MaxItems
		})
		if i < 0 {
			i = len(out)
			out = append(out, &Ask{ID: b.nextID(), Lender: lender, Redirected: redirected, sent: now, open: true})
		}
		out[i].Requests = append(out[i].Requests, Request{Workspace: a.workspace, Waiting: a.waiting, Recent: a.demand.value(now)})
		a.state = asked
	}
	b.queue = b.queue[:0]
	b.asks = append(b.asks, out...)
	return out
}

// Answer records the answer of a lender to an ask and returns the workspaces whose
// waiting requests are to be resumed. It returns false for an answer that is late, a
// duplicate, or not one to an ask of this node; nothing is granted then.
func (b *Borrower) Answer(now time.Time, lender string, id uint64, grants []Grant) ([]uint64, bool) {
	b.dropLate(now)
	i := slices.IndexFunc(b.asks, func(x *Ask) bool { return x.ID == id && x.Lender == lender })
	if i < 0 || len(grants) != len(b.asks[i].Requests) {
		return nil, false
	}
	ask := b.asks[i]
	b.asks = slices.Delete(b.asks, i, i+1)
	var resolved []uint64
	for i, r := range ask.Requests {
		if a := b.accounts[r.Workspace.ID]; a != nil && b.apply(now, a, ask, r, grants[i]) {
			resolved = append(resolved, r.Workspace.ID)
		}
	}
	return resolved, true
}

// apply records the grant of a lender and reports whether waiting requests are to be
// resumed.
func (b *Borrower) apply(now time.Time, a *account, ask *Ask, r Request, g Grant) bool {
	retryAfter := min(max(0, g.RetryAfter), maxRetryAfter)
	switch {
	case g.Redirected && (ask.Redirected || a.ranking.First == a.ranking.Second):
		b.lose(now, a)
		return true
	case g.Redirected:
		a.redirectUntil = now.Add(retryAfter)
		if a.state == asked {
			a.state = idle
			b.enqueue(a)
		}
		return false
	case a.workspace.Limit == r.Workspace.Limit || !a.workspace.Limit.lowerThan(r.Workspace.Limit):
		a.hand.add(g.Tokens, ask.sent.Add(TokenLifetime))
	}
	a.lost = false
	if retryAfter > 0 {
		a.refuseUntil = now.Add(retryAfter)
		a.interval, a.part, a.refused = retryAfter, max(1, g.Tokens), 0
	}
	if a.state == asked {
		a.state = idle
	}
	return true
}

// Expire handles the asks that have not been answered in time: the first time they are
// queued again for Asks, then the workspace uses its fallback bucket. It returns the
// workspaces whose waiting requests are to be resumed, the lenders that did not answer
// twice, and the time at which it is to be called again; zero if there is no need.
func (b *Borrower) Expire(now time.Time) (resolved []uint64, lost []string, next time.Time) {
	b.dropLate(now)
	for _, ask := range b.asks {
		switch due := ask.sent.Add(AnswerTimeout); {
		case !ask.open:
		case now.Before(due):
			return resolved, lost, due
		default:
			ask.open = false
			if ids := b.timeOut(now, ask); len(ids) > 0 {
				resolved = append(resolved, ids...)
				lost = append(lost, ask.Lender)
			}
		}
	}
	return resolved, lost, time.Time{}
}

// timeOut returns the workspaces of ask that use their fallback buckets from now on.
func (b *Borrower) timeOut(now time.Time, ask *Ask) []uint64 {
	var out []uint64
	for _, r := range ask.Requests {
		a := b.accounts[r.Workspace.ID]
		switch {
		case a == nil || a.state != asked:
		case a.attempt < attempts && !a.lost:
			a.attempt++
			a.state = queued
			b.queue = append(b.queue, a)
		default:
			b.lose(now, a)
			out = append(out, r.Workspace.ID)
		}
	}
	return out
}

// lose records that no node lends tokens of a workspace to this one.
func (b *Borrower) lose(now time.Time, a *account) {
	if !a.lost {
		a.fallback.begin(now, b.fallbackLimit(a.workspace.Limit))
	}
	a.lost, a.state, a.askAgainAt = true, idle, now.Add(lostRetry)
}

func (b *Borrower) dropLate(now time.Time) {
	n := 0
	for n < len(b.asks) && !b.asks[n].open && now.Sub(b.asks[n].sent) > lateAnswer {
		n++
	}
	b.asks = slices.Delete(b.asks, 0, n)
}

// nextExpiry returns the time at which the first open ask times out, zero if there is
// none.
func (b *Borrower) nextExpiry() time.Time {
	for _, ask := range b.asks {
		if ask.open {
			return ask.sent.Add(AnswerTimeout)
		}
	}
	return time.Time{}
}

func (b *Borrower) nextID() uint64 {
	b.lastID++
	return b.lastID
}
