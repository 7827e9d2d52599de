package dogrelay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/process/dogbudget"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/doggate"
)

var testHeaders = Headers{
	Attempt: "X-Attempt", Deadline: "X-Left", Seal: "X-Seal", ExpectInstance: "X-Expect",
	NotExecuted: "X-Not-Run", Caller: "X-Caller", Rate: "X-Rate", Leaving: "X-Leaving", Key: "X-Key", Workspace: "X-Workspace",
}

// testClient sends the requests of tests. It is not http.DefaultTransport, whose idle
// connections every httptest.Server closes when it ends, also one that was dialled for a
// request of another test.
var testClient = &http.Transport{}

// fakeTarget answers every request as its script specifies.
type fakeTarget struct {
	addr   string
	ln     net.Listener
	script string
	raw    []rawResponse // If set, the responses in place of the script; the last one is repeated.
	early  bool          // Responses are sent before the body of the request is read.
	hold   chan struct{} // If set, endless sealed bodies begin when it is closed.

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	begun    int // Requests whose head was read.
}

// rawResponse is the bytes of a response.
type rawResponse struct {
	bytes string
	end   func(*net.TCPConn) // If set, the connection is closed after it has returned.
}

func newFakeTarget(t testing.TB, script string) *fakeTarget {
	if script == "refuse" {
		return &fakeTarget{addr: refusingAddress(t), script: script}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{addr: ln.Addr().String(), ln: ln, script: script}
	t.Cleanup(func() { ln.Close() })
	go f.accept()
	return f
}

// refusingAddress returns an address that refuses connections. A socket holds it, as
// another listener could get the port of one that was closed.
func refusingAddress(t testing.TB) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("the socket is bound to %T", bound)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.Port)
}

func (f *fakeTarget) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.serve(c)
	}
}

func (f *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.begun++
		f.mu.Unlock()
		if f.early {
			f.answer(c, r.Header.Get(testHeaders.Attempt))
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.requests, f.bodies = append(f.requests, r), append(f.bodies, string(data))
		f.mu.Unlock()
		if !f.answer(c, r.Header.Get(testHeaders.Attempt)) {
			return
		}
	}
}

// answer writes the scripted response and reports whether the connection stays
// open.
func (f *fakeTarget) answer(c net.Conn, id string) bool {
	head := func(status, id, more string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s", status, testHeaders.Attempt, id, more)
	}
	const seal = "X-Seal: s\r\n"
	const whole = "Content-Length: 4\r\n\r\nbody"
	if bytes, ok := strings.CutPrefix(f.script, "cut-"); ok {
		n, err := strconv.Atoi(bytes)
		if err == nil {
			_, err = io.WriteString(c, wholeResponse(id)[:n])
		}
		return err != nil
	}
	if strings.HasPrefix(f.script, "large") {
		return f.answerLarge(c, id)
	}
	if len(f.raw) > 0 {
		f.mu.Lock()
		r := f.raw[min(f.begun, len(f.raw))-1]
		f.mu.Unlock()
		_, err := io.WriteString(c, r.bytes)
		if r.end != nil {
			r.end(c.(*net.TCPConn))
		}
		return err == nil && r.end == nil
	}
	if status, ok := strings.CutPrefix(f.script, "ran-"); ok {
		head(status+" Status", id, seal+whole)
		return true
	}
	switch f.script {
	case "ok":
		head("200 OK", id, seal+whole)
	case "limited":
		head("200 OK", id, "X-Rate: 10.5\r\n"+seal+whole)
	case "leaving":
		head("200 OK", id, "X-Leaving: 1\r\n"+seal+whole)
	case "unframed":
		head("200 OK", id, seal+"\r\nbody")
		return false
	case "extra":
		head("200 OK", id, seal+whole+"HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
	case "500":
		head("500 Internal Server Error", id, seal+whole)
	case "shed":
		head("503 Service Unavailable", id, "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case "other":
		head("421 Misdirected Request", id, "Content-Length: 0\r\n\r\n")
	case "other-again": // An earlier refusal once more, in place of the response.
		head("421 Misdirected Request", "earlier", "Content-Length: 0\r\n\r\n")
	case "shed-again":
		head("503 Service Unavailable", "earlier", "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case "endless-head":
		return endless(c, "HTTP/1.1 200 OK\r\n", "X-Filler: "+strings.Repeat("x", 1000)+"\r\n")
	case "endless-line":
		return endless(c, "HTTP/1.1 200 ", strings.Repeat("x", 1000))
	case "endless-informational":
		return endless(c, "", "HTTP/1.1 103 Early Hints\r\n\r\n")
	case "endless-garbage":
		return endless(c, "", strings.Repeat("x", 1000))
	case "endless-body":
		return endless(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+id+"\r\n\r\n", strings.Repeat("x", 1000))
	case "endless-sealed":
		if f.hold != nil {
			<-f.hold
		}
		return endless(c, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Attempt: "+id+"\r\n\r\n", strings.Repeat("x", 10000))
	case "truncate":
		head("200 OK", id, seal+"Content-Length: 9\r\n\r\nbody")
		return false
	case "wrong-id":
		head("200 OK", "other", seal+whole)
	case "no-seal":
		head("200 OK", id, whole)
	case "garbage":
		fmt.Fprint(c, "not an answer\r\n\r\n")
		return false
	case "reset":
		return false
	case "slow":
		time.Sleep(300 * time.Millisecond)
		head("200 OK", id, seal+whole)
	case "hang":
		time.Sleep(2 * time.Second)
		return false
	}
	return true
}

// largeBody is longer than what nodes buffer.
var largeBody = bytes.Repeat([]byte("0123456789abcdef"), 3*maxBufferedBytes/16)

// answerLarge writes a response with largeBody, with a declared length or in chunks, whole
// or broken off in the last third.
func (f *fakeTarget) answerLarge(c net.Conn, id string) bool {
	body, cut := largeBody, strings.HasSuffix(f.script, "-cut")
	if cut {
		body = body[:5*len(body)/6]
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Seal: s\r\n%s: %s\r\n", testHeaders.Attempt, id)
	if !strings.HasPrefix(f.script, "large-chunked") {
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", len(largeBody))
		_, err := c.Write(body)
		return err == nil && !cut
	}
	fmt.Fprintf(c, "Transfer-Encoding: chunked\r\n\r\n")
	for chunk := range slices.Chunk(body, 10000) {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return false
		}
	}
	if !cut {
		fmt.Fprint(c, "0\r\n\r\n")
	}
	return !cut
}

// wholeResponse returns a successful response to the request with this ID.
func wholeResponse(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Attempt: " + id + "\r\nContent-Length: 4\r\n\r\nbody"
}

// endless writes start, and then more again and again until the connection is closed.
func endless(c net.Conn, start, more string) bool {
	_, err := io.WriteString(c, start)
	piece := []byte(more) // io.WriteString would allocate it for each write.
	for err == nil {
		_, err = c.Write(piece)
	}
	return false
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// fakeDeps implements all interfaces that a node under test depends on.
type fakeDeps struct {
	mu             sync.Mutex
	targets        []dogwoodford.Target
	reason         dogwoodford.Reason // Why the local target is not available.
	budget         int
	overloaded     bool                       // Admit refuses because of overload downstream.
	silence        map[string]context.Context // Done when a node is found to be silent.
	dead           bool                       // Silent nodes stay so.
	runs           dogtree.Runs               // Recorded at the local target.
	reported       map[string]dogtree.Runs    // Reported to the entry, by node.
	refuseTrees    bool
	treeRequests   []dogtree.Request // Passed to MayStart.
	leaving        bool
	lag            time.Duration // How late the process is with its work.
	callTime       time.Duration // Time that child calls may last at most while leaving.
	inducedRetries int
	failedTargets  []string
	unreachable    []string // Nodes recorded as unreachable.
	brokenRequests []string // IDs of requests whose connection broke.
	quarantined    dogcrash.Content
	tests          int    // Requests with quarantined content that the guard may let pass.
	tester         string // Node that decides on quarantined content, if any.
	completed      []dogcrash.Content
}

func (w *fakeDeps) Targets() []dogwoodford.Target { return w.targets }
func (w *fakeDeps) NodeCount() int                { return len(w.targets) }
func (w *fakeDeps) MarkReachable(string)          {}
func (w *fakeDeps) ConfigSeen(int64, string)      {}
func (w *fakeDeps) RecordAnswer(string)           {}
func (w *fakeDeps) Leaving() bool                 { return w.leaving }
func (w *fakeDeps) AcceptsCall(timeout time.Duration) bool {
	return !w.leaving || timeout <= w.callTime
}
func (w *fakeDeps) MarkLeaving(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reason = dogwoodford.ReasonDraining
}
func (w *fakeDeps) RecordFirst(string) {}

func (w *fakeDeps) RequestSent(string)        {}
func (w *fakeDeps) RequestEnded(string, bool) {}

// NodeContext implements Fleet.
func (w *fakeDeps) NodeContext(node string) context.Context {
	if ctx, ok := w.silence[node]; ok {
		return ctx
	}
	return context.Background()
}

// Silent implements Fleet.
func (w *fakeDeps) Silent(string) bool { return w.dead }

func (w *fakeDeps) MarkUnreachable(node string, _ bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = append(w.unreachable, node)
}

func (w *fakeDeps) Current() (dogtarget.Target, dogwoodford.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return dogtarget.Target{ID: "i-1", Slots: 4}, w.reason
}

func (w *fakeDeps) MarkFailed(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedTargets, w.reason = append(w.failedTargets, id), dogwoodford.ReasonNoTarget
}

func (w *fakeDeps) DispatchStarted(string, dogcrash.Content) {}

func (w *fakeDeps) DispatchEnded(id string, unanswered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if unanswered {
		w.brokenRequests = append(w.brokenRequests, id)
	}
}

func (w *fakeDeps) RecordCompletion(c dogcrash.Content) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed = append(w.completed, c)
}

func (w *fakeDeps) HasCompleted(c dogcrash.Content) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.completed, c)
}

func (w *fakeDeps) QuarantineRemaining(c dogcrash.Content) time.Duration {
	if w.quarantined.Shared != 0 && w.quarantined == c {
		return time.Minute
	}
	return 0
}

func (w *fakeDeps) QuarantineTester(dogcrash.Content, string) (string, bool) {
	return w.tester, w.tester != ""
}

func (w *fakeDeps) TestQuarantined(dogcrash.Content) bool {
	w.tests--
	return w.tests >= 0
}

func (w *fakeDeps) RecordInducedRetry(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inducedRetries++
}

func (w *fakeDeps) Allow(dogbudget.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget--
	return w.budget >= 0
}

func (w *fakeDeps) Admit(dogwoodford.Request) dogwoodford.Verdict {
	if w.overloaded {
		return dogwoodford.RefuseVerdict(dogwoodford.ReasonOverload, time.Second)
	}
	return dogwoodford.RunVerdict()
}

func (w *fakeDeps) AddReport(dogwoodford.Request, string, dogwoodford.Priority, dogwoodford.Priority) {
}

// RecordRun implements Trees.
func (w *fakeDeps) RecordRun(_ string, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs.Total++
	if failed {
		w.runs.Failed++
	}
}

// Runs implements Trees.
func (w *fakeDeps) Runs(string) dogtree.Runs {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

// AddRuns implements Trees.
func (w *fakeDeps) AddRuns(_, node string, r dogtree.Runs) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reported == nil {
		w.reported = make(map[string]dogtree.Runs)
	}
	w.reported[node] = r
}

// MayStart implements Trees.
func (w *fakeDeps) MayStart(r dogtree.Request) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.treeRequests = append(w.treeRequests, r)
	return time.Second, !w.refuseTrees
}

func (w *fakeDeps) DownstreamCutoff(dogwoodford.Request, dogwoodford.Priority) dogwoodford.Priority {
	return 0
}

func (w *fakeDeps) Event(context.Context, doglog.Event, ...slog.Attr) {}

// inOrder is a router that chooses targets in the order of the list.
type inOrder struct{}

func (inOrder) Pick(_ time.Time, r dogwoodford.Request, targets []dogwoodford.Target, tried []string) (dogwoodford.Target, dogwoodford.Reason) {
	for _, t := range targets {
		if t.Service == r.Service() && !slices.Contains(tried, t.Node) {
			return t, dogwoodford.ReasonNone
		}
	}
	return dogwoodford.Target{}, dogwoodford.ReasonNoTarget
}
func (inOrder) RecordDispatch(time.Time, string)                                            {}
func (inOrder) RecordDispatchEnd(time.Time, string, time.Duration, bool, *dogwoodford.Load) {}
func (inOrder) RecordCompletion(uint64)                                                     {}

// testNode is a node with its listeners and its target.
type testNode struct {
	*fakeDeps
	relay  *Handlers
	target *fakeTarget
	entry  *httptest.Server
	guard  *httptest.Server
}

// table returns a table with one route for each kind, named after it, to the
// service "rounds".
func table(t testing.TB, timeout time.Duration) *dogtable.Table {
	var routes []dogtable.RouteSpec
	for _, k := range []dogtable.Kind{dogtable.Idempotent, dogtable.NonIdempotent, dogtable.Upload, dogtable.Download} {
		routes = append(routes, dogtable.RouteSpec{
			Name: k.String(), Host: "h", Prefix: "/" + k.String() + "/", Kind: k, Timeout: timeout, Attempts: 2,
			Priority: 3, Backends: []dogtable.Backend{{Service: "rounds", Weight: 1}},
		})
	}
	routes = append(routes, dogtable.RouteSpec{Name: "unreadable", Host: "h", Prefix: "/idempotent/unreadable/", Unreadable: true})
	tb, err := dogtable.New(dogtable.Spec{Version: 1, Routes: routes, Services: []dogtable.Service{{Name: "rounds"}}})
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

func newTestNode(t testing.TB, name, service, script string, timeout time.Duration) *testNode {
	n := &testNode{fakeDeps: &fakeDeps{budget: 100}, target: newFakeTarget(t, script)}
	var tables dogtable.Holder
	tables.Offer(table(t, timeout))
	rnd := rand.New(rand.NewPCG(1, 2))
	n.relay = New(Config{
		Headers: testHeaders, Node: name, Service: service, DataCentre: "dc", Peer: "127.0.0.1:1",
		TargetAddress: n.target.addr, Tables: &tables, Split: dogtable.NewSplit(rand.New(rand.NewPCG(3, 4))), Fleet: n, Local: n, Budget: n, Crashes: n,
		Pressure: n, Trees: n, Gate: doggate.NewGate(dogadmit.New(dogadmit.Options{Slots: 4, Rand: rnd})),
		Router: doggate.NewBalancer(inOrder{}), Peers: dogconn.NewPeer(dogconn.Options{}),
		Target: dogconn.NewTarget(dogconn.Options{}), Log: n, Metrics: dogmetric.NewSet(),
		Lag: func() time.Duration { return n.lag },
	})
	n.entry, n.guard = httptest.NewServer(n.relay.Entry()), httptest.NewServer(n.relay.Guard())
	t.Cleanup(n.entry.Close)
	t.Cleanup(n.guard.Close)
	return n
}

// addGuards adds the guards of others to the targets of n.
func (n *testNode) addGuards(others ...*testNode) {
	for i, o := range others {
		n.targets = append(n.targets, dogwoodford.Target{
			Node: fmt.Sprint("node-", i), Service: "rounds", Peer: o.guard.Listener.Addr().String(),
			State: dogwoodford.StateReady,
		})
	}
}
