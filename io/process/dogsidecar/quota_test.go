package dogsidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogquota"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglag"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/dogrelay"
)

// quotaFleet is a fleet of nodes on loopback addresses that share the port of messages.
type quotaFleet struct {
	port   int
	tables *dogtable.Holder
	nodes  []*quotas
}

func quotaTable(t testing.TB, version int64, rate, burst float64) *dogtable.Table {
	t.Helper()
	table, err := dogtable.New(dogtable.Spec{
		Version: version,
		Workspaces: []dogtable.WorkspaceSpec{
			{Name: "north", Keys: []string{"n"}, Rate: rate, Burst: burst},
			{Name: "south", Keys: []string{"s"}, Rate: rate, Burst: burst},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func freeUDPPort(t testing.TB) int {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// newQuotaFleet starts n nodes that have settled and know each other.
func newQuotaFleet(t testing.TB, n int, rate, burst float64) *quotaFleet {
	t.Helper()
	f := &quotaFleet{port: freeUDPPort(t), tables: new(dogtable.Holder)}
	f.tables.Offer(quotaTable(t, 1, rate, burst))
	for i := range n {
		f.nodes = append(f.nodes, f.start(t, i, n))
	}
	return f
}

// TestFallbackOfLeftNodes guards against a list of lost lenders that grows with each node
// that leaves the fleet for good.
func TestFallbackOfLeftNodes(t *testing.T) {
	q := newQuotaFleet(t, 3, 100, 100).nodes[0]
	lost := quotaEntry(2).Node
	q.recordFallback(lost, true)
	q.state.forget(lost)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(time.Now())
	if len(q.fallback) > 0 {
		t.Errorf("nodes that do not lend: %v, want none, as the node has left", q.fallback)
	}
}

func quotaEntry(i int) dogfleet.Entry {
	return dogfleet.Entry{
		Node: fmt.Sprintf("rounds-%d", i), Service: "rounds", DataCentre: "a", Slots: 4,
		Peer: fmt.Sprintf("127.0.0.%d:9", i+1),
	}
}

func (f *quotaFleet) start(t testing.TB, i, n int) *quotas {
	t.Helper()
	s := testSettings()
	s.Node, s.QuotaWindow, s.QuotaOverage, s.QuotaSlack = quotaEntry(i).Node, 5*time.Second, 0.1, 20
	s.Messages = fmt.Sprintf("127.0.0.%d:%d", i+1, f.port)
	log := newLogger(io.Discard, s.Node)
	t.Cleanup(log.close)
	st := newState(s, log, func() int64 { return 1 })
	for j := range n {
		st.put(quotaEntry(j), rev(1))
	}
	st.setListed()
	transport := dogconn.NewPeer(dogconn.Options{MaxConns: 1, IdleTimeout: time.Millisecond, DialTimeout: dialTimeout})
	q := newQuotas(&node{
		settings: s, state: st, log: log, metrics: dogmetric.NewSet(), peers: &peers{transport: transport, state: st},
		lag: doglag.New(func(time.Duration) {}),
	}, f.tables, time.Now().Add(-dogquota.SettleTime))
	if err := q.listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- q.serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return q
}

func (f *quotaFleet) workspace(name string) *dogtable.Workspace {
	w, _ := f.tables.Table().WorkspaceNamed(name)
	return w
}

// messagesOf returns the number of messages of a kind at a node.
func messagesOf(q *quotas, kind string) int64 {
	return q.metrics.ValueOf(dogmetric.QuotaMessages, kind)
}

// TestQuotaOverNodes guards against a quota that each node grants on its own, and against
// a node that lends no tokens to another one.
func TestQuotaOverNodes(t *testing.T) {
	f := newQuotaFleet(t, 2, 0.001, 40)
	granted := make([]int, 2)
	for range 100 {
		for i, q := range f.nodes {
			if _, ok := q.Take(t.Context(), f.workspace("north")); ok {
				granted[i]++
			}
		}
	}
	// A bucket starts with an eighth of what the window may exceed the quota by: 3.
	if sum := granted[0] + granted[1]; sum != 3 || granted[0] == 0 || granted[1] == 0 {
		t.Errorf("%v requests granted, want 3 in all and some at each node", granted)
	}
	if sent := messagesOf(f.nodes[0], "ask") + messagesOf(f.nodes[1], "ask"); sent > 10 {
		t.Errorf("%d messages for 200 requests, want at most 10: nodes refuse by themselves until the hint", sent)
	}
}

// TestQuotaReturn guards against tokens of requests that have not run that are lost.
func TestQuotaReturn(t *testing.T) {
	f := newQuotaFleet(t, 2, 0.001, 40)
	w := f.workspace("north")
	for range 50 {
		for _, q := range f.nodes {
			if _, ok := q.Take(t.Context(), w); ok {
				q.Return(w)
			}
		}
		time.Sleep(time.Millisecond) // A return takes as long as a message.
	}
	for _, q := range f.nodes {
		if n := q.metrics.ValueOf(dogmetric.QuotaRequests, quotaRefused); n > 5 {
			t.Errorf("%d of 50 requests refused although none has run", n)
		}
	}
}

// TestQuotaLenderLost guards against requests that wait long for a lender that is gone, and
// against a node that lends nothing after it has taken over.
func TestQuotaLenderLost(t *testing.T) {
	f := newQuotaFleet(t, 2, 1000, 1000)
	w := f.workspace("north")
	f.nodes[0].mu.Lock()
	lender := f.nodes[0].node.Lender(w.Name())
	f.nodes[0].mu.Unlock()
	borrower := f.nodes[0]
	if lender == borrower.settings.Node {
		borrower = f.nodes[1]
	}
	for _, q := range f.nodes {
		if q != borrower {
			_ = q.conn.Close() // Its peer address refuses connections, too.
		}
	}
	start := time.Now()
	borrower.Take(t.Context(), w)
	if d := time.Since(start); d > 10*dogquota.AnswerTimeout {
		t.Errorf("a request waited %v for a lender that is gone", d)
	}
	deadline := time.Now().Add(10 * time.Second)
	for n := 0; n < 100; {
		if _, ok := borrower.Take(t.Context(), w); ok {
			n++
		}
		if time.Now().After(deadline) {
			t.Fatal("no tokens after the takeover")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestQuotaDatagrams guards against datagrams of unknown senders, or malformed ones, that stop
// or drain the node.
func TestQuotaDatagrams(t *testing.T) {
	f := newQuotaFleet(t, 2, 0.001, 40)
	addr := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: f.port}
	ask := dogquota.Message{Kind: dogquota.KindAsk, Items: []dogquota.Item{{Workspace: dogquota.WorkspaceID("north"), Waiting: 40}}}
	sender, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 77)}, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	for range 10 {
		_, _ = sender.Write(ask.Append(nil))
		_, _ = sender.Write([]byte(strings.Repeat("x", 3000)))
	}
	if _, err := f.nodes[1].conn.WriteTo([]byte("no message"), addr); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for messagesOf(f.nodes[0], quotaUnknownSender) < 20 || messagesOf(f.nodes[0], quotaMalformed) < 1 {
		if time.Now().After(deadline) {
			t.Fatalf("%d datagrams of unknown senders and %d malformed ones counted, want 20 and 1",
				messagesOf(f.nodes[0], quotaUnknownSender), messagesOf(f.nodes[0], quotaMalformed))
		}
		time.Sleep(time.Millisecond)
	}
	if _, ok := f.nodes[0].Take(t.Context(), f.workspace("north")); !ok {
		t.Error("an unknown sender has used up the quota")
	}
}

// TestNoQuotas guards against a socket that a deployment without quotas does not need.
func TestNoQuotas(t *testing.T) {
	s := testSettings()
	s.Messages = "127.0.0.1:1"
	if q := newQuotas(&node{settings: s}, nil, time.Now()); q != nil {
		t.Error("quotas without a window")
	}
	s.Messages, s.QuotaWindow = "", time.Second
	if q := newQuotas(&node{settings: s}, nil, time.Now()); q != nil {
		t.Error("quotas without an address")
	}
}

// TestQuotaAfterSuspension guards against a lender that lends a full bucket after its
// machine was suspended, while others have chosen another one.
func TestQuotaAfterSuspension(t *testing.T) {
	f := newQuotaFleet(t, 1, 0.001, 40)
	q := f.nodes[0]
	q.mu.Lock()
	defer q.mu.Unlock()
	q.checkedAt = q.checkedAt.Add(-pauseCheckInterval)
	q.detectPause(time.Now())
	if q.node.Settling(time.Now()) {
		t.Fatal("the node settles without a suspension")
	}
	q.checkedAt = q.checkedAt.Add(-pauseCheckInterval)
	q.checkedBoot -= time.Second + pauseCheckInterval // The clock of the runtime stood still.
	q.detectPause(time.Now())
	if !q.node.Settling(time.Now()) {
		t.Error("the node lends at once after a suspension")
	}
}

// BenchmarkTake measures a request whose node has a token in hand, one at the lender, and
// one for which a message is sent.
func BenchmarkTake(b *testing.B) {
	b.Run("in-hand", func(b *testing.B) { benchmarkTake(b, 1e9, false) })
	b.Run("lender", func(b *testing.B) { benchmarkTake(b, 1e9, true) })
	// A bucket that starts far below half of its burst lends nothing in advance.
	b.Run("message", func(b *testing.B) { benchmarkTake(b, 1e12, false) })
}

func benchmarkTake(b *testing.B, burst float64, atLender bool) {
	f := newQuotaFleet(b, 2, 1e9, burst)
	q := f.nodes[0]
	if (q.node.Lender("north") == q.settings.Node) != atLender {
		q = f.nodes[1]
	}
	w := f.workspace("north")
	q.Take(b.Context(), w)
	asks, before := messagesOf(q, "ask"), processorTime(b)
	for b.Loop() {
		if _, ok := q.Take(b.Context(), w); !ok {
			b.Fatal("refused")
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(messagesOf(q, "ask")-asks)/float64(b.N), "asks/op")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// keyDialect is a namedDialect with a header for keys.
type keyDialect struct{ namedDialect }

func (keyDialect) Headers() dogrelay.Headers {
	h := namedDialect{}.Headers()
	h.Key, h.Workspace = "X-Key", "X-Workspace"
	return h
}

// Addresses of the node of TestQuotaOfNode, which no other test uses.
const (
	quotaInbound  = "127.77.1.2:7302"
	quotaOutbound = "127.77.1.2:7301"
	quotaReady    = "127.77.1.2:7303"
	quotaControl  = "127.77.1.2:7304"
	quotaMessages = "127.77.1.2:7305"
)

// TestQuotaOfNode guards against a node whose entry does not ask for tokens, or that
// refuses all requests as it knows no other node.
func TestQuotaOfNode(t *testing.T) {
	s := testSettings()
	s.Advertised, s.Inbound, s.Outbound, s.Ready, s.Control = quotaInbound, quotaInbound, quotaOutbound, quotaReady, quotaControl
	s.Messages, s.QuotaWindow, s.QuotaOverage, s.QuotaSlack = quotaMessages, 5*time.Second, 0.1, 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	target := &recordingTarget{runs: make(map[string]int)}
	go target.serve(ln)
	s.Target = ln.Addr().String()
	n := newNode(s, keyDialect{}, newFakeStore(), io.Discard)
	defer n.log.close()
	table, err := dogtable.New(dogtable.Spec{
		Version:    1,
		Services:   []dogtable.Service{{Name: "rounds"}},
		Workspaces: []dogtable.WorkspaceSpec{{Name: "north", Keys: []string{"n"}, Rate: 0.001, Burst: 2}},
		Routes: []dogtable.RouteSpec{{
			Name: "r", Host: "h", Prefix: "/", Kind: dogtable.Idempotent, Timeout: 5 * time.Second, Attempts: 1,
			Backends: []dogtable.Backend{{Service: "rounds", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.configs.tables.Offer(table)
	receiveHeartbeat(n.state, dogtarget.Heartbeat{
		ID: "i-1", Service: "rounds", Address: s.Target, Born: 1, Sequence: 1, Slots: 100,
	})
	if err := n.listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := n.supervise(ctx)
	defer func() { cancel(); <-done }()
	got := make(map[int]int)
	for end := time.Now().Add(10 * time.Second); got[http.StatusOK] < 2 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got[sendWithKey(t, len(got))]++
	}
	for range 5 {
		if status := sendWithKey(t, 0); status != http.StatusTooManyRequests {
			t.Errorf("status %d beyond the quota, want 429", status)
		}
	}
	if got[http.StatusOK] != 2 {
		t.Errorf("answers by status: %v, want 2 with 200", got)
	}
}

// sendWithKey sends a request to the node of TestQuotaOfNode and returns the status.
func sendWithKey(t *testing.T, i int) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+quotaOutbound+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header = http.Header{"X-Key": {"n"}, "X-Attempt": {fmt.Sprintf("a%d-%d", i, time.Now().UnixNano())}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // Empty.
	return resp.StatusCode
}
