package dogquota

import (
	"maps"
	"math/rand/v2"
	"time"

	"dogwoodford/core/request/dogdigest"
)

// SettleTime is the time after its start for which a node does not lend, but names the
// next one. By then all others have probed it again, so that they change the lender at
// about the same time.
const SettleTime = 3 * time.Second

// handoverTime is the time after SettleTime in which a node takes over the workspaces for
// which it comes first from the node that it has named.
const handoverTime = 10 * time.Second

// Options configure a Node.
type Options struct {
	Name  string
	Bound Bound
	Rand  *rand.Rand
}

// View is what a node knows of the others.
type View struct {
	Reachable []string // The other nodes that can be reached.
	Known     []string // All other nodes.
	Silent    int      // Nodes that do not respond at all, and may be partitioned from this one.
	Complete  bool     // There are no more nodes than the known ones.
}

// Outgoing is a message to another node.
type Outgoing struct {
	Node    string
	Message Message
}

// Node is the part of one node in the quotas, as borrower and as lender. It is not safe
// for concurrent use.
type Node struct {
	opts        Options
	borrower    *Borrower
	lender      *Lender
	limits      map[uint64]Limit
	view        View
	rankings    map[uint64]Ranking
	settleUntil time.Time
	// lendsSince is the time from which on this node lends tokens of the workspaces for
	// which it comes first: the last change of its view, or the end of SettleTime.
	lendsSince time.Time
	// leaving holds the times until which the node lends tokens of workspaces for
	// which another one comes first now, because not all nodes know that yet.
	leaving map[uint64]time.Time
	// credited holds the last returns, so that a duplicate gives nothing back.
	credited duplicates
}

// NewNode returns a node that knows no other one. It lends after SettleTime.
func NewNode(now time.Time, opts Options) *Node {
	n := &Node{
		opts:     opts,
		borrower: NewBorrower(BorrowerOptions{Bound: opts.Bound, Rand: opts.Rand}),
		lender:   NewLender(LenderOptions{Bound: opts.Bound, Rand: opts.Rand}),
		rankings: make(map[uint64]Ranking),
		leaving:  make(map[uint64]time.Time),
	}
	n.Settle(now, SettleTime)
	return n
}

// SetLimits replaces the limits of the workspaces.
func (n *Node) SetLimits(limits map[uint64]Limit) {
	n.limits = limits
	known := func(id uint64) bool { _, ok := limits[id]; return ok }
	n.lender.Retain(known)
	n.borrower.Retain(known)
	maps.DeleteFunc(n.leaving, func(id uint64, _ time.Time) bool { return !known(id) })
	clear(n.rankings)
}

// SetView records a new view of the other nodes.
func (n *Node) SetView(now time.Time, v View) {
	n.view = v
	n.lendsSince = latest(now, n.settleUntil)
	clear(n.rankings)
	n.borrower.SetNodes(len(v.Known) + 1)
	n.lender.SetShare(now, 1-float64(v.Silent)/float64(max(len(v.Known), v.Silent)+1))
	n.lender.Retain(func(id uint64) bool { return n.keepsBucket(now, id) })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keepsBucket reports whether the bucket of a workspace may be used from now on. One that
// was not in use for a time would be full, although another node has lent meanwhile.
func (n *Node) keepsBucket(now time.Time, workspace uint64) bool {
	first := n.ranking(workspace).First == n.opts.Name
	until, leaving := n.leaving[workspace]
	switch {
	case first:
		delete(n.leaving, workspace)
	case !leaving:
		n.leaving[workspace] = now.Add(SettleTime)
		return true
	case !now.Before(until):
		delete(n.leaving, workspace)
	}
	return !leaving || now.Before(until)
}

// Settle makes the node name the next one as lender for a time, and drops its tokens. It is
// called when others may have chosen another lender meanwhile, and when the node stops.
func (n *Node) Settle(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(n.settleUntil) {
		n.settleUntil = until
		n.lendsSince = until
	}
	n.borrower.dropTokens()
	n.lender.Retain(func(id uint64) bool { return n.ranking(id).First != n.opts.Name })
}

// Settling reports whether the node names the next one as lender.
func (n *Node) Settling(now time.Time) bool { return now.Before(n.settleUntil) }

// ranking returns the first two nodes by rendezvous hashing among those that can be
// reached.
func (n *Node) ranking(workspace uint64) Ranking {
	r, ok := n.rankings[workspace]
	if !ok {
		r = n.rank(workspace, n.view.Reachable)
		n.rankings[workspace] = r
	}
	return r
}

// rank returns the first two nodes by rendezvous hashing among this one and others.
func (n *Node) rank(workspace uint64, others []string) Ranking {
	r := Ranking{First: n.opts.Name, Second: n.opts.Name}
	first, second := dogdigest.Score(workspace, n.opts.Name), uint64(0)
	for _, name := range others {
		switch s := dogdigest.Score(workspace, name); {
		case name == n.opts.Name:
		case s > first:
			r.First, r.Second, first, second = name, r.First, s, first
		case s > second:
			r.Second, second = name, s
		}
	}
	return r
}

// Lender returns the node that lends the tokens of the named workspace.
func (n *Node) Lender(workspace string) string { return n.ranking(WorkspaceID(workspace)).First }

// Take takes a token for a request of a workspace. The caller sends what Flush returns,
// also if the request is not to wait.
func (n *Node) Take(now time.Time, w Workspace) Decision {
	return n.borrower.Take(now, w, n.ranking(w.ID))
}

// Resume decides on a request that has waited.
func (n *Node) Resume(now time.Time, workspace uint64) Decision {
	return n.borrower.Resume(now, workspace)
}

// Leave records that a request no longer waits.
func (n *Node) Leave(workspace uint64) { n.borrower.Leave(workspace) }

// Flush returns the messages to send. What this node asks itself is answered at once: the
// requests that wait for tokens of the returned workspaces are to be resumed.
func (n *Node) Flush(now time.Time) (out []Outgoing, resolved []uint64) {
	for len(n.borrower.queue) > 0 {
		for _, ask := range n.borrower.Asks(now) {
			if ask.Lender != n.opts.Name {
				out = append(out, Outgoing{Node: ask.Lender, Message: ask.message()})
				continue
			}
			grants := make([]Grant, len(ask.Requests))
			for i, r := range ask.Requests {
				grants[i] = n.lend(now, n.opts.Name, ask.Redirected, r)
			}
			ids, _ := n.borrower.Answer(now, n.opts.Name, ask.ID, grants)
			resolved = append(resolved, ids...)
		}
	}
	return out, resolved
}

func (a *Ask) message() Message {
	m := Message{Kind: KindAsk, Redirected: a.Redirected, ID: a.ID, Items: make([]Item, len(a.Requests))}
	for i, r := range a.Requests {
		m.Items[i] = Item{Workspace: r.Workspace.ID, Waiting: r.Waiting, Recent: r.Recent}
	}
	return m
}

// Received tells what a message has led to.
type Received struct {
	Reply    *Message // To be sent to the sender.
	Resolved []uint64 // Workspaces whose waiting requests are to be resumed.
	// Doubted is a node that lends in the view of this one, but not in that of the
	// sender; empty if there is none. It may have failed.
	Doubted string
	Ignored bool // The message is late, a duplicate, or of no use.
}

// Receive handles a message of another node. The caller also sends what Flush returns.
func (n *Node) Receive(now time.Time, from string, m Message) Received {
	switch m.Kind {
	case KindAsk:
		reply := Message{Kind: KindAnswer, ID: m.ID, Items: make([]Item, len(m.Items))}
		received := Received{Reply: &reply}
		for i, it := range m.Items {
			if other := n.otherLender(it.Workspace); other != "" && !m.Redirected {
				received.Doubted = other
			}
			reply.Items[i].Grant = n.lend(now, from, m.Redirected, Request{
				Workspace: Workspace{ID: it.Workspace}, Waiting: it.Waiting, Recent: it.Recent,
			})
		}
		return received
	case KindAnswer:
		grants := make([]Grant, len(m.Items))
		for i, it := range m.Items {
			grants[i] = it.Grant
		}
		resolved, ok := n.borrower.Answer(now, from, m.ID, grants)
		return Received{Resolved: resolved, Ignored: !ok}
	}
	if !n.credited.add(from, m.ID) {
		return Received{Ignored: true}
	}
	for _, it := range m.Items {
		n.credit(now, it.Workspace, it.Waiting)
	}
	return Received{}
}

// otherLender returns the node that lends tokens of a workspace in the view of this one;
// empty if that is this one, or if there is no such workspace.
func (n *Node) otherLender(workspace uint64) string {
	if _, ok := n.limits[workspace]; !ok {
		return ""
	}
	if first := n.ranking(workspace).First; first != n.opts.Name {
		return first
	}
	return ""
}

// unknownRetryAfter is the hint for a workspace that this node does not know yet or no
// longer, and while it knows nothing of the fleet.
const unknownRetryAfter = 500 * time.Millisecond

// lend answers a request for tokens, or names the next node while this one does not lend.
func (n *Node) lend(now time.Time, from string, redirected bool, r Request) Grant {
	limit, ok := n.limits[r.Workspace.ID]
	if !ok || len(n.view.Known) == 0 && !n.view.Complete {
		return Grant{RetryAfter: unknownRetryAfter}
	}
	r.Workspace.Limit = limit
	if wait := n.abstain(now, redirected, r.Workspace.ID); wait > 0 {
		return Grant{Redirected: true, RetryAfter: wait}
	}
	if redirected && n.ranking(r.Workspace.ID).First != n.opts.Name {
		if !now.Before(n.leaving[r.Workspace.ID]) {
			n.lender.Drop(r.Workspace.ID) // Of an earlier time; it has filled since.
		}
		n.leaving[r.Workspace.ID] = now.Add(SettleTime)
	}
	if !redirected && n.ranking(r.Workspace.ID).First == n.opts.Name {
		r.Since = n.lendsSince
	}
	r.HandedOver = !redirected && now.Sub(n.settleUntil) < handoverTime
	return n.lender.Lend(now, from, r)
}

// abstain returns for how long this node does not lend tokens of a workspace; 0 if it
// lends them.
func (n *Node) abstain(now time.Time, redirected bool, workspace uint64) time.Duration {
	settling := n.settleUntil.Sub(now)
	switch {
	case len(n.view.Known) == 0:
		return 0
	case redirected && settling > 0:
		// After a start of all nodes their views differ, and each may name another
		// node. Only one of them may lend.
		if n.rank(workspace, n.view.Known).Second == n.opts.Name {
			return 0
		}
		return settling
	case redirected:
		return 0
	case n.ranking(workspace).First == n.opts.Name:
		return max(0, settling)
	case now.Before(n.leaving[workspace]):
		return 0
	}
	return lostRetry
}

func (n *Node) credit(now time.Time, workspace uint64, tokens int) {
	if limit, ok := n.limits[workspace]; ok && n.lender.Has(workspace) {
		n.lender.Credit(now, Workspace{ID: workspace, Limit: limit}, tokens)
	}
}

// Return takes back the token of a request that has not run, and returns the message that
// gives it back to the lender; false if there is none to send.
func (n *Node) Return(now time.Time, workspace uint64) (Outgoing, bool) {
	if n.borrower.Return(now, workspace) {
		return Outgoing{}, false
	}
	lender, _ := n.borrower.Lender(now, workspace)
	if lender == n.opts.Name || lender == "" {
		n.credit(now, workspace, 1)
		return Outgoing{}, false
	}
	return Outgoing{Node: lender, Message: Message{
		Kind: KindReturn, ID: n.borrower.nextID(), Items: []Item{{Workspace: workspace, Waiting: 1}},
	}}, true
}

// Expire handles the asks that were not answered in time. It returns the workspaces whose
// waiting requests are to be resumed, the lenders that have not answered twice, and the
// time of its next call, zero if there is none. The caller also sends what Flush returns.
func (n *Node) Expire(now time.Time) (resolved []uint64, lost []string, next time.Time) {
	return n.borrower.Expire(now)
}

// NextExpiry returns the time of the next call of Expire, zero if there is none.
func (n *Node) NextExpiry() time.Time { return n.borrower.nextExpiry() }

// maxCredited bounds the remembered returns.
const maxCredited = 1024

// duplicates remembers the last messages of other nodes.
type duplicates struct {
	seen map[messageKey]bool
	ring []messageKey
	next int
}

type messageKey struct {
	node string
	id   uint64
}

// add records a message and reports whether it is new.
func (d *duplicates) add(node string, id uint64) bool {
	k := messageKey{node, id}
	if d.seen[k] {
		return false
	}
	if d.seen == nil {
		d.seen = make(map[messageKey]bool)
	}
	d.seen[k] = true
	if len(d.ring) < maxCredited {
		d.ring = append(d.ring, k)
		return true
	}
	delete(d.seen, d.ring[d.next])
	d.ring[d.next] = k
	d.next = (d.next + 1) % maxCredited
	return true
}
