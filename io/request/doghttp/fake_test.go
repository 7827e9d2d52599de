package doghttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/request/doggate"
)

const peerKey = "0123456789abcdef"

// control implements the control state, pressure, records, suspects and events
// of all nodes of a test, and holds the state of their routers and admissions.
type control struct {
	mu          sync.Mutex
	targets     []dogwoodford.Target
	flags       map[string]bool
	records     map[dogwoodford.Key]KeyDecision
	wrongOwners int // Number of owners that are asked before one that holds the range.
	events      []Event
	panics      string   // What panics at its next call: router or pressure.
	ends        []string // How requests ended at the target, as reported to Suspects and Admission.
	released    chan struct{}
}

func (c *control) hasFlag(flag string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flags[flag]
}

func (c *control) panicOnce(in string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.panics == in {
		c.panics = ""
		panic(in)
	}
}

func (c *control) Snapshot() Snapshot { return c }
func (c *control) Configured() bool   { return !c.hasFlag("no-config") }
func (c *control) ClosedReason() dogwoodford.Reason {
	if c.hasFlag("draining") {
		return dogwoodford.ReasonDraining
	}
	return dogwoodford.ReasonNone
}

func (c *control) Contract(customer string) (Contract, bool) {
	return contract{}, customer == "firm-1"
}
func (c *control) Targets(string) []dogwoodford.Target { return c.targets }
func (c *control) Owner(_ string, _ dogwoodford.Key, tried []string) (Owner, bool) {
	for _, t := range c.targets {
		if !slices.Contains(tried, t.Node) {
			return Owner{Node: t.Node, Peer: t.Peer}, !c.hasFlag("no-owner")
		}
	}
	return Owner{}, false
}
func (c *control) Quarantined(uint64) (time.Duration, bool) {
	return time.Minute, c.hasFlag("quarantine")
}
func (c *control) Refuse(time.Time, dogwoodford.Request) (time.Duration, bool) {
	return time.Second, c.hasFlag("cutoff")
}
func (c *control) AddReport(time.Time, dogwoodford.Request, string, dogcall.Report) {
	c.panicOnce("pressure")
}
func (c *control) DownstreamCutoff(time.Time, dogwoodford.Request) dogwoodford.Priority { return 0 }
func (c *control) Event(_ context.Context, e Event, _ string, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

func (c *control) Enter(time.Time, string, uint64) dogwoodford.Verdict {
	return dogwoodford.RunVerdict()
}

func (c *control) Leave(_ string, e End) {
	c.recordEnd([]string{"not-run", "completed", "broken"}[e])
}

func (c *control) recordEnd(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, end)
}

// takeEnds returns the ends recorded since the last call.
func (c *control) takeEnds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.ends
	c.ends = nil
	return out
}

func (c *control) Begin(_ time.Time, a KeyAttempt) KeyDecision {
	k := a.Key
	if c.wrongOwners > 0 { // This owner does not hold the range.
		c.wrongOwners--
		return KeyDecision{Outcome: dogwoodford.OutcomeNotRun, Reason: dogwoodford.ReasonRange}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b, seen := c.records[k]
	if seen && b.Outcome != dogwoodford.OutcomeNotRun {
		return b
	}
	c.records[k] = KeyDecision{Seen: true, Reason: dogwoodford.ReasonDuplicate}
	return KeyDecision{Run: true, Seen: seen, Epoch: 1}
}

func (c *control) Finish(k dogwoodford.Key, o dogwoodford.Outcome, kept *KeptAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[k] = KeyDecision{Seen: true, Outcome: o, Reason: dogwoodford.ReasonDuplicate, Answer: kept}
}

type contract struct{}

func (contract) Authorized(s string) bool { return s == "s3cret" }
func (contract) ResendBudget() (int, int) { return 10, 20 }
func (contract) Class(_, method, path string) (dogcall.Limits, bool) {
	l := dogcall.Limits{Class: "c", Importance: 5, Idempotent: method == "GET", Deadline: time.Minute, Retries: 3, MaxBody: 4 << 20}
	switch {
	case path == "/once":
		l.Retries = 0
	case path == "/slow":
		l.Deadline = 20 * time.Millisecond
	}
	return l, method != "DELETE"
}

// router chooses the first target that was not tried.
type router struct{ c *control }

func (r router) Pick(_ time.Time, _ dogwoodford.Request, targets []dogwoodford.Target, tried []string) (dogwoodford.Target, dogwoodford.Reason) {
	r.c.panicOnce("router")
	for _, t := range targets {
		if !strings.Contains(strings.Join(tried, " "), t.Node) {
			return t, dogwoodford.ReasonNone
		}
	}
	return dogwoodford.Target{}, dogwoodford.ReasonNoTarget
}
func (router) RecordDispatch(time.Time, string)                                            {}
func (router) RecordDispatchEnd(time.Time, string, time.Duration, bool, *dogwoodford.Load) {}
func (router) RecordCompletion(uint64)                                                     {}

// admission runs up to limit requests at once and queues the others.
type admission struct {
	limit, running int
	queue          []string
	c              *control
}

func (a *admission) Offer(_ time.Time, r dogwoodford.Request) (dogwoodford.Verdict, []dogwoodford.Dequeued) {
	if a.running < a.limit {
		a.running++
		return dogwoodford.RunVerdict(), nil
	}
	a.queue = append(a.queue, r.ID())
	return dogwoodford.WaitVerdict(), nil
}

func (a *admission) Done(_ time.Time, _ string, s dogwoodford.Sample) []dogwoodford.Dequeued {
	if s.Cancelled {
		a.c.recordEnd("cancelled")
	}
	select {
	case a.c.released <- struct{}{}:
	default: // Only scripts with an "ends" line receive it.
	}
	a.running--
	return a.Expire(time.Time{})
}

func (a *admission) Cancel(_ time.Time, id string) bool {
	for i, q := range a.queue {
		if q == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (a *admission) Expire(time.Time) []dogwoodford.Dequeued {
	if a.running >= a.limit || len(a.queue) == 0 {
		return nil
	}
	id := a.queue[0]
	a.queue = a.queue[1:]
	a.running++
	return []dogwoodford.Dequeued{{ID: id, Verdict: dogwoodford.RunVerdict()}}
}
func (a *admission) SetSlots(n int)             { a.limit = n }
func (a *admission) SetRate(time.Time, float64) {}

func (a *admission) Restart(time.Time, dogwoodford.Start) {}

func (a *admission) Ramping() bool { return false }
func (a *admission) Load(time.Time) dogwoodford.Load {
	return dogwoodford.Load{InFlight: a.running, Queued: len(a.queue), Limit: a.limit}
}

// mesh is an entry node of the service front and two nodes of the service
// rounds.
type mesh struct {
	*control
	entry string // URL.
	exits []string
	nodes []*Handlers // Of the service rounds.
}

// panicLog fails the test if net/http panics on a connection outside of a
// handler; net/http only logs such a panic.
type panicLog struct{ t testing.TB }

func (l panicLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("panic serving")) {
		l.t.Errorf("%s", p)
	}
	return len(p), nil
}

func newMesh(t testing.TB, target string) *mesh {
	c := &control{released: make(chan struct{}, 1), flags: map[string]bool{}, records: map[dogwoodford.Key]KeyDecision{}}
	m := &mesh{control: c}
	listen := func(h http.Handler) string {
		s := httptest.NewUnstartedServer(h)
		s.Config.ErrorLog = log.New(panicLog{t}, "", 0)
		s.Start()
		t.Cleanup(s.Close)
		return s.URL
	}
	node := func(name, service string) *Handlers {
		peers, targets := dogconn.NewPeer(dogconn.Options{}), dogconn.NewTarget(dogconn.Options{MaxConns: 100})
		t.Cleanup(func() { peers.Close(); targets.Close() })
		return New(Config{
			Name: name, Service: service, TargetAddress: target, PeerKey: peerKey,
			Control: c, Pressure: c, Records: c, Events: c, Peers: peers, Target: targets,
			Suspects: c, Gate: doggate.NewGate(&admission{limit: 100, c: c}), Router: doggate.NewBalancer(router{c}),
		})
	}
	for _, name := range []string{"rounds-1", "rounds-2"} {
		h := node(name, "rounds")
		peer := strings.TrimPrefix(listen(h.Peer()), "http://")
		c.targets = append(c.targets, dogwoodford.Target{Node: name, Service: "rounds", Peer: peer})
		m.nodes, m.exits = append(m.nodes, h), append(m.exits, listen(h.Exit()))
	}
	m.entry = listen(node("front-1", "front").Entry())
	return m
}

func newRequest(t testing.TB, method, url string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(dogcall.HeaderCustomer, "firm-1")
	r.Header.Set(dogcall.HeaderAuthorization, "Bearer s3cret")
	return r
}

// scriptedTarget runs a script, one action for each request that it reads.
type scriptedTarget struct {
	addr   string
	mu     sync.Mutex
	script []string
	runs   int
	read   chan struct{} // Receives a value for each request with the action "late".
}

var scriptedAnswers = map[string]string{
	"ok":              "200 OK\r\nContent-Length: 2\r\n\r\nok",
	"twice":           "200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo",
	"shed":            "503 Busy\r\nDogwoodford-Outcome: not-run\r\nContent-Length: 4\r\n\r\nshed",
	"busy":            "503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
	"trailer":         "200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n",
	"trailer-missing": "200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"header-cut":      "200 OK\r\nContent-Le",
	"short":           "200 OK\r\nContent-Length: 10\r\n\r\npart",
	"chunk-cut":       "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	"long-cut":        "200 OK\r\nContent-Length: 100000\r\n\r\npart",
	"no-content":      "204 No Content\r\n\r\n",
	"not-modified":    "304 Not Modified\r\nContent-Length: 9\r\n\r\n",
	"head":            "200 OK\r\nContent-Length: 9\r\n\r\n",
	"empty-chunks":    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"unframed":        "200 OK\r\n\r\nperhaps all",
}

func newScriptedTarget(t *testing.T) *scriptedTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &scriptedTarget{addr: ln.Addr().String(), read: make(chan struct{}, 10)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *scriptedTarget) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		f.mu.Lock()
		f.runs++
		action := "ok"
		if len(f.script) > 0 {
			action, f.script = f.script[0], f.script[1:]
		}
		f.mu.Unlock()
		switch action {
		case "reset":
			c.(*net.TCPConn).SetLinger(0)
			return
		case "close":
			return
		case "late":
			f.read <- struct{}{}
			br.ReadByte() // Returns when the guard closes the connection.
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		io.WriteString(c, "HTTP/1.1 "+scriptedAnswers[action])
		if strings.HasSuffix(action, "-cut") || action == "short" || action == "unframed" {
			return
		}
	}
}

func now() time.Time { return time.Now() }
