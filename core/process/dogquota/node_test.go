package dogquota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start = time.Unix(1000, 0)
	bound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	north = Workspace{ID: WorkspaceID("north"), Limit: Limit{Rate: 100, Burst: 200}}
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// newNode returns a node that is the only one, or one of two, and has settled at start.
func newNode(name string, others ...string) *Node {
	n := NewNode(start.Add(-SettleTime), Options{Name: name, Bound: bound, Rand: newRand()})
	n.SetLimits(map[uint64]Limit{north.ID: north.Limit})
	n.SetView(start.Add(-SettleTime), View{Reachable: others, Known: others, Complete: true})
	return n
}

// lenderOf returns the lender of two nodes and the other one.
func lenderOf(a, b string) (lender, borrower *Node) {
	x, y := newNode(a, b), newNode(b, a)
	if x.Lender("north") == a {
		return x, y
	}
	return y, x
}

// TestLentTokensCount guards against a bucket that fills while its tokens are in the hands
// of nodes: a window could then have two bursts.
func TestLentTokensCount(t *testing.T) {
	l := NewLender(LenderOptions{Bound: bound, Rand: newRand()})
	l.Lend(start, "a", Request{Workspace: north, Since: start})
	now := start.Add(10 * time.Second)
	early := l.Lend(now, "a", Request{Workspace: north, Since: start, Waiting: 1, Recent: 40}).Tokens
	if early < 40 {
		t.Fatalf("%d tokens lent from a full bucket, want at least 40", early)
	}
	now = now.Add(TokenLifetime - time.Millisecond)
	rest := l.Lend(now, "b", Request{Workspace: north, Since: start, Waiting: 1000}).Tokens
	if want := int(bound.raised(north.Limit).Burst) - early + 1; rest > want {
		t.Errorf("%d tokens lent while %d others may still be used, want at most %d", rest, early-1, want)
	}
}

// TestSettle guards against a node that lends at once after its start, while the one that
// replaced it still lends.
func TestSettle(t *testing.T) {
	lender, other := lenderOf("n1", "n2")
	lender.Settle(start, SettleTime)
	ask := Message{Kind: KindAsk, ID: 1, Items: []Item{{Workspace: north.ID, Waiting: 1}}}
	if g := lender.Receive(start, "n3", ask).Reply.Items[0].Grant; !g.Redirected || g.RetryAfter != SettleTime {
		t.Errorf("a node that settles answers %+v, want another lender for %v", g, SettleTime)
	}
	ask.Redirected = true
	if g := other.Receive(start, "n3", ask).Reply.Items[0].Grant; g.Tokens != 1 {
		t.Errorf("the next node answers %+v, want a token", g)
	}
	ask.Redirected = false
	if g := lender.Receive(start.Add(SettleTime), "n3", ask).Reply.Items[0].Grant; g.Tokens != 1 {
		t.Errorf("a node that has settled answers %+v, want a token", g)
	}
}

// TestUnknownFleet guards against nodes that each lend the whole quota to themselves, as
// they have started without the store and know no other node.
func TestUnknownFleet(t *testing.T) {
	n := NewNode(start, Options{Name: "n1", Bound: bound, Rand: newRand()})
	n.SetLimits(map[uint64]Limit{north.ID: north.Limit})
	for _, tc := range []struct {
		complete bool
		want     Verdict
	}{{false, Refused}, {true, Granted}} {
		now := start.Add(time.Second)
		if tc.complete {
			now = now.Add(unknownRetryAfter)
		}
		n.SetView(now, View{Complete: tc.complete})
		d := n.Take(now, north)
		n.Flush(now)
		if d.Verdict == Wait {
			d = n.Resume(now, north.ID)
		}
		if d.Verdict != tc.want {
			t.Errorf("fleet known: %v: verdict %v, want %v", tc.complete, d.Verdict, tc.want)
		}
	}
}

// exchange passes messages between two nodes until there are none.
func exchange(now time.Time, from, to *Node) {
	out, _ := from.Flush(now)
	for _, o := range out {
		if r := to.Receive(now, from.opts.Name, o.Message); r.Reply != nil {
			from.Receive(now, to.opts.Name, *r.Reply)
		}
	}
}

// TestLowerLimit guards against tokens of a higher limit that are used after the limit was
// lowered.
func TestLowerLimit(t *testing.T) {
	lender, borrower := lenderOf("n1", "n2")
	for range 50 {
		borrower.Take(start, north)
	}
	exchange(start, borrower, lender)
	low := north
	low.Limit.Rate = 1
	if d := borrower.Resume(start, north.ID); d.Verdict != Granted {
		t.Fatalf("verdict %v with tokens in hand, want granted", d.Verdict)
	}
	if d := borrower.Take(start, low); d.Verdict == Granted {
		t.Error("a token of the higher limit is granted")
	}
}

// TestDuplicates guards against answers and returns that count twice, and against answers
// that arrive in a later window.
func TestDuplicates(t *testing.T) {
	lender, borrower := lenderOf("n1", "n2")
	borrower.Take(start, north)
	out, _ := borrower.Flush(start)
	if len(out) != 1 {
		t.Fatalf("%d messages, want 1", len(out))
	}
	reply := *lender.Receive(start, borrower.opts.Name, out[0].Message).Reply
	var got []bool
	for range 2 {
		got = append(got, borrower.Receive(start, lender.opts.Name, reply).Ignored)
	}
	borrower.Resume(start, north.ID)
	back, ok := borrower.Return(start, north.ID)
	if !ok {
		t.Fatal("a token is not returned")
	}
	for range 2 {
		got = append(got, lender.Receive(start, borrower.opts.Name, back.Message).Ignored)
	}
	borrower.Take(start, north)
	out, _ = borrower.Flush(start)
	late := start
	for range 2 {
		late = late.Add(AnswerTimeout)
		borrower.Expire(late)
		borrower.Flush(late)
	}
	reply = *lender.Receive(start, borrower.opts.Name, out[0].Message).Reply
	got = append(got, borrower.Receive(start.Add(lateAnswer+time.Millisecond), lender.opts.Name, reply).Ignored)
	if diff := cmp.Diff([]bool{false, true, false, true, true}, got); diff != "" {
		t.Errorf("ignored: answer, duplicate, return, duplicate, late answer (-want +got):\n%s", diff)
	}
}

// TestFallbackLevels guards against fallback buckets that start full at each node: 590 nodes
// would admit 590 requests at once.
func TestFallbackLevels(t *testing.T) {
	limit := Limit{Rate: 16, Burst: 16}
	b := NewBorrower(BorrowerOptions{Bound: bound, Rand: newRand()})
	b.SetNodes(590)
	granted := 0
	for range 590 {
		f := b.fallbackLimit(limit)
		f.updated = start
		for f.take(start) {
			granted++
		}
	}
	if most := 2 * fallbackShare * bound.margin(limit); float64(granted) > most {
		t.Errorf("%d requests at once from the fallback buckets of all nodes, want at most %.0f", granted, most)
	}
}

// TestLimitChangedInFallback guards against a node without a lender that refuses all
// requests of a workspace after its limit has changed.
func TestLimitChangedInFallback(t *testing.T) {
	_, n := lenderOf("n1", "n2") // The lender does not answer.
	take := func(now time.Time, w Workspace) bool {
		d := n.Take(now, w)
		for d.Verdict == Wait {
			n.Flush(now)
			now = now.Add(AnswerTimeout)
			if resolved, _, _ := n.Expire(now); len(resolved) > 0 {
				d = n.Resume(now, w.ID)
			}
		}
		return d.Verdict == Granted
	}
	if !take(start, north) {
		t.Fatal("no token from a new fallback bucket")
	}
	raised := Workspace{ID: north.ID, Limit: Limit{Rate: 150, Burst: 300}}
	n.SetLimits(map[uint64]Limit{raised.ID: raised.Limit})
	granted := 0
	for i := range 10 {
		if take(start.Add(time.Duration(i+1)*time.Second), raised) {
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d of 10 requests, one a second, granted under the raised limit, want all", granted)
	}
}

// TestManyWorkspaces guards against a message for each of many workspaces that wait at the
// same moment, and against messages that do not fit into a packet.
func TestManyWorkspaces(t *testing.T) {
	_, borrower := lenderOf("n1", "n2")
	for i := range uint64(1000) {
		borrower.Take(start, Workspace{ID: i * 0x9e3779b97f4a7c15, Limit: north.Limit})
	}
	out, _ := borrower.Flush(start)
	items := 0
	for _, o := range out {
		items += len(o.Message.Items)
		if n := len(o.Message.Append(nil)); n > MaxMessageBytes {
			t.Errorf("a message has %d bytes, want at most %d", n, MaxMessageBytes)
		}
	}
	if want := (items + MaxItems - 1) / MaxItems; len(out) != want || items < 300 {
		t.Errorf("%d messages for %d workspaces, want %d", len(out), items, want)
	}
}

// TestRetryAfter guards against callers that are all told to come back at the same moment,
// at which there are tokens for a few of them.
func TestRetryAfter(t *testing.T) {
	b := NewBorrower(BorrowerOptions{Bound: bound, Rand: newRand()})
	ranking := Ranking{First: "n1", Second: "n2"}
	b.Take(start, north, ranking)
	ask := b.Asks(start)[0]
	b.Answer(start, "n1", ask.ID, []Grant{{Tokens: 2, RetryAfter: 500 * time.Millisecond}})
	b.Resume(start, north.ID)
	b.Take(start, north, ranking) // Takes the second token.
	var got []time.Duration
	for range 20 {
		got = append(got, b.Take(start, north, ranking).RetryAfter/time.Millisecond)
	}
	want := []time.Duration{500, 500, 1000, 1000, 1500, 1500, 2000, 2000, 2500, 2500, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000, 3000}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("hints in milliseconds at a pace of 2 tokens in 500 ms (-want +got):\n%s", diff)
	}
}

// TestUnknownWorkspaces guards against memory for workspaces that the configuration does
// not have, and against tokens for them.
func TestUnknownWorkspaces(t *testing.T) {
	n := newNode("n1", "n2")
	for id := range uint64(1000) {
		ask := Message{Kind: KindAsk, ID: id, Items: []Item{{Workspace: id, Waiting: 1}}}
		if g := n.Receive(start, "n2", ask).Reply.Items[0].Grant; g.Tokens > 0 || g.RetryAfter == 0 {
			t.Fatalf("workspace %d: %+v, want no token and a hint", id, g)
		}
		n.Receive(start, "n2", Message{Kind: KindReturn, ID: id, Items: []Item{{Workspace: id, Waiting: 1}}})
	}
	if held := len(n.rankings) + len(n.leaving) + len(n.lender.buckets); held > 1 {
		t.Errorf("%d entries held for unknown workspaces", held)
	}
}
