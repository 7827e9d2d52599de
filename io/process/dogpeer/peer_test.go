package dogpeer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogpeer"
	"dogwoodford/io/process/dogpeer/peerpb"
)

const testKey = "a key of the settings"

// echo is a Handler that returns what it receives and counts the calls.
type echo struct {
	calls atomic.Int64
	block chan struct{} // If not nil, calls block until it is closed.
}

func (e *echo) enter(ctx context.Context) error {
	e.calls.Add(1)
	if e.block == nil {
		return nil
	}
	select {
	case <-e.block:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *echo) Probe(ctx context.Context, _ string, m dogmember.Message) (dogmember.Message, error) {
	return m, e.enter(ctx)
}

func (e *echo) ProbeVia(ctx context.Context, _, _ string) (bool, error) { return true, e.enter(ctx) }

func (e *echo) Notify(ctx context.Context, _ string, _ dogmember.Message) error { return e.enter(ctx) }

func (e *echo) Pull(ctx context.Context, _ string, r dogpeer.PullRequest) (dogpeer.PullResponse, error) {
	out := dogpeer.PullResponse{}
	if r.Self != nil {
		out.Updates = []dogmember.Update{dogmember.MemberUpdate(*r.Self)}
	}
	for _, c := range r.Customers {
		t := []byte("text of " + c)
		g := dogconfig.Generation{Customer: c, Number: 3, Hash: dogconfig.HashText(t)}
		out.Texts = append(out.Texts, dogconfig.Text{Generation: g, Text: t})
	}
	return out, e.enter(ctx)
}

func (e *echo) Promise(ctx context.Context, p dogpeer.PromiseRequest) (dogpeer.Grant, error) {
	return dogpeer.Grant{OK: p.Number == 1, Refusal: strings.Repeat(p.Owner, 300)}, e.enter(ctx)
}

func (e *echo) HandOver(ctx context.Context, h dogpeer.HandOverRequest) (dogpeer.Grant, error) {
	return dogpeer.Grant{OK: len(h.Records) == 1 && h.Last}, e.enter(ctx)
}

func serve(tb testing.TB, e *echo, opt dogpeer.ServerOptions) string {
	tb.Helper()
	opt.Key = testKey
	mux := http.NewServeMux()
	mux.Handle(dogpeer.NewHandler(e, opt))
	srv := httptest.NewServer(mux)
	tb.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func newClient(tb testing.TB, opt dogpeer.ClientOptions) *dogpeer.Client {
	tb.Helper()
	if opt.Key == "" {
		opt.Key = testKey
	}
	opt.Node = "n1"
	c := dogpeer.NewClient(opt)
	tb.Cleanup(c.Close)
	return c
}

func sampleMember() dogmember.Member {
	return dogmember.Member{
		Node: "rounds-1", Incarnation: 1_700_000_000_000, Service: "rounds", DataCentre: "midrand",
		Peer: "127.0.0.1:7103", Admin: "127.0.0.1:7104", State: dogwoodford.StateReady, Slots: 45, Suspected: true,
	}
}

func sampleMessage() dogmember.Message {
	at := time.UnixMilli(1_700_000_000_000)
	return dogmember.Message{
		Updates: []dogmember.Update{
			dogmember.MemberUpdate(sampleMember()),
			dogconfig.GenerationUpdate(dogconfig.Generation{Customer: "firm-1", Number: 7, Hash: 9}),
			dogsuspect.ReportUpdate(dogsuspect.Report{Digests: []uint64{1, 2}, Service: "rounds", At: at, Death: "d"}),
			dogsuspect.ReportUpdate(dogsuspect.Report{Kind: dogsuspect.Released, Digests: []uint64{1}, Service: "rounds", At: at}),
			dogpeer.RangeUpdate(dogpeer.Range{
				Service: "rounds", Number: 1, Epoch: 2, Owner: "a", OwnerIncarnation: 1, OwnerPeer: "127.0.0.1:1",
				Witness: "b", WitnessIncarnation: 2, Start: at, End: at.Add(time.Second),
			}),
		},
		Summary:       1,
		ContractsHash: 2,
	}
}

// TestCalls guards against fields that are lost or changed in transit.
func TestCalls(t *testing.T) {
	peer, c, ctx := serve(t, &echo{}, dogpeer.ServerOptions{}), newClient(t, dogpeer.ClientOptions{}), t.Context()
	check := func(what string, want, got any, err error) {
		t.Helper()
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s differs (-want +got):\n%s", what, diff)
		}
	}
	m, err := c.Probe(ctx, peer, sampleMessage())
	check("probe", sampleMessage(), m, err)
	alive, err := c.ProbeVia(ctx, peer, "127.0.0.1:7103")
	check("indirect probe", true, alive, err)
	check("notification", nil, nil, c.Notify(ctx, peer, sampleMessage()))
	self := sampleMember()
	self.Node = "n1"
	p, err := c.Pull(ctx, peer, dogpeer.PullRequest{Self: &self, Parts: make([]uint32, dogmember.MaxParts), Customers: []string{"x"}})
	text := []byte("text of x")
	check("pull", dogpeer.PullResponse{
		Updates: []dogmember.Update{dogmember.MemberUpdate(self)},
		Texts:   []dogconfig.Text{{Generation: dogconfig.Generation{Customer: "x", Number: 3, Hash: dogconfig.HashText(text)}, Text: text}},
	}, p, err)
	at := time.UnixMilli(1_700_000_000_000)
	g, err := c.Promise(ctx, peer, dogpeer.PromiseRequest{Service: "rounds", Number: 1, Epoch: 1, Owner: "a", End: at})
	check("promise", dogpeer.Grant{OK: true, Refusal: strings.Repeat("a", 256)}, g, err)
	rec := dogpeer.Record{Key: dogwoodford.MakeKey(at, 1, 2), Outcome: dogwoodford.OutcomeRan, Status: 200, Answer: []byte("x")}
	g, err = c.HandOver(ctx, peer, dogpeer.HandOverRequest{
		Service: "rounds", Number: 1, Epoch: 1, Start: at, End: at, Records: []dogpeer.Record{rec}, Last: true,
	})
	check("handover", dogpeer.Grant{OK: true}, g, err)
	if got := c.Counts(); got.Calls != 6 || got.Failures != 0 || got.BytesSent == 0 || got.BytesRead == 0 {
		t.Errorf("counts %+v, want 6 calls without failure", got)
	}
}

// TestRefused guards against calls that reach the handler although the key is
// wrong, the message is too large or the message is malformed.
func TestRefused(t *testing.T) {
	ctx := t.Context()
	e := &echo{}
	peer := serve(t, e, dogpeer.ServerOptions{MaxReadBytes: 2000})
	wantCode := func(what string, want connect.Code, err error) {
		t.Helper()
		if got := connect.CodeOf(err); err == nil || got != want {
			t.Errorf("%s: error %v, want code %v", what, err, want)
		}
	}
	for _, key := range []string{"wrong", testKey + "x"} {
		_, err := newClient(t, dogpeer.ClientOptions{Key: key}).Probe(ctx, peer, sampleMessage())
		wantCode("key "+key, connect.CodeUnauthenticated, err)
	}
	c := newClient(t, dogpeer.ClientOptions{})
	large := dogmember.Message{}
	for range 100 {
		large.Updates = append(large.Updates, dogmember.MemberUpdate(sampleMember()))
	}
	wantCode("large message", connect.CodeResourceExhausted, c.Notify(ctx, peer, large))
	bad := sampleMember()
	bad.Incarnation = 0
	_, err := c.Probe(ctx, peer, dogmember.Message{Updates: []dogmember.Update{dogmember.MemberUpdate(sampleMember()), dogmember.MemberUpdate(bad)}})
	wantCode("malformed", connect.CodeInvalidArgument, err)
	if err == nil || !strings.Contains(err.Error(), "update 1: member: incarnation 0") {
		t.Errorf("malformed message: error %v does not name the fault", err)
	}
	if n := e.calls.Load(); n != 0 {
		t.Errorf("%d refused calls reached the handler", n)
	}
}

// TestBounds guards against calls that do not time out, at the server and at the
// client, and against an unlimited number of concurrent calls.
func TestBounds(t *testing.T) {
	e := &echo{block: make(chan struct{})}
	peer := serve(t, e, dogpeer.ServerOptions{MaxConcurrent: 1})
	c := newClient(t, dogpeer.ClientOptions{MaxConcurrent: 2})
	first := make(chan error, 1)
	go func() { first <- c.Notify(t.Context(), peer, dogmember.Message{}) }()
	for e.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.Notify(t.Context(), peer, dogmember.Message{}); connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("second call at the server: error %v, want resource exhausted", err)
	}
	close(e.block)
	if err := <-first; err != nil {
		t.Errorf("first call: %v", err)
	}
	slow := serve(t, &echo{block: make(chan struct{})}, dogpeer.ServerOptions{Timeout: 20 * time.Millisecond})
	if err := c.Notify(t.Context(), slow, dogmember.Message{}); err == nil {
		t.Error("call to a handler that hangs gave no error")
	}
	dead, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	hang := serve(t, &echo{block: make(chan struct{})}, dogpeer.ServerOptions{})
	if err := c.Notify(dead, hang, dogmember.Message{}); err == nil {
		t.Error("call past the deadline of its context gave no error")
	}
}

// FuzzMessages guards against messages on which the decoder panics, and against
// accepted ones that change when they are encoded and decoded again.
func FuzzMessages(f *testing.F) {
	seed, err := proto.Marshal(dogpeer.EncodeProbe("n1", sampleMessage()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	self := sampleMember()
	seed, err = proto.Marshal(dogpeer.EncodePull("rounds-1", dogpeer.PullRequest{Self: &self, Customers: []string{"x"}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		probe, pull, answer := &peerpb.ProbeRequest{}, &peerpb.PullRequest{}, &peerpb.PullResponse{}
		if proto.Unmarshal(data, probe) == nil {
			from, m, err := dogpeer.DecodeProbe(probe)
			if err == nil {
				_, again, err := dogpeer.DecodeProbe(dogpeer.EncodeProbe(from, m))
				if diff := cmp.Diff(m, again); err != nil || diff != "" {
					t.Errorf("probe changed: %v\n%s", err, diff)
				}
			} else if !errors.Is(err, dogpeer.ErrMalformed) {
				t.Errorf("error %v is not ErrMalformed", err)
			}
		}
		if proto.Unmarshal(data, pull) == nil {
			_, _, _ = dogpeer.DecodePull(pull)
		}
		if proto.Unmarshal(data, answer) == nil {
			_, _ = dogpeer.DecodePullResponse(answer)
		}
	})
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

// BenchmarkWire reports the bytes that a probe takes on the connection beyond its
// encoded messages, in both directions together and without TCP/IP headers.
func BenchmarkWire(b *testing.B) {
	_, h := dogpeer.NewHandler(&echo{}, dogpeer.ServerOptions{Key: testKey})
	srv := httptest.NewUnstartedServer(h)
	var wire atomic.Int64
	srv.Listener = countingListener{srv.Listener, &wire}
	srv.Start()
	defer srv.Close()
	c := newClient(b, dogpeer.ClientOptions{})
	var buf bytes.Buffer
	for b.Loop() {
		if _, err := c.Probe(b.Context(), srv.Listener.Addr().String(), sampleMessage()); err != nil {
			fmt.Fprintln(&buf, err)
		}
	}
	if buf.Len() > 0 {
		b.Fatal(buf.String())
	}
	n := c.Counts()
	b.ReportMetric(float64(wire.Load()-n.BytesSent-n.BytesRead)/float64(n.Calls), "overhead-B/op")
}
