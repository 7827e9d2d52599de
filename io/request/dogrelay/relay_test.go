package dogrelay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"dogwoodford"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/internal/dogscript"
	"dogwoodford/io/connection/dogpipeline"
)

func post(t *testing.T, n *testNode, kind, id, body string) (int, http.Header, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "POST", n.entry.URL+"/"+kind+"/x?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(testHeaders.Attempt, id)
	req.Header.Set(testHeaders.Caller, "forged")
	resp, err := testClient.RoundTrip(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

// TestOutcomes guards against non-idempotent requests that run twice, requests
// that ran but are answered "not run", and truncated responses that look
// complete. Each line of testdata/outcomes.txtar has the kind of the request,
// the scripts of the targets, the status, how often each target was reached, and
// the reason if there is one.
func TestOutcomes(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/outcomes.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			var got strings.Builder
			for line := range strings.Lines(string(f.Data)) {
				w := strings.Fields(line)
				kind, scripts := w[0], strings.Split(w[1], ",")
				fmt.Fprintf(&got, "%s %s -> %s\n", kind, w[1], outcome(t, kind, scripts))
			}
			if diff := cmp.Diff(string(f.Data), got.String()); diff != "" {
				t.Errorf("mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func outcome(t *testing.T, kind string, scripts []string) string {
	const timeout = 600 * time.Millisecond
	entry := newTestNode(t, "entry", "billing", "refuse", timeout)
	var guards []*testNode
	for _, s := range scripts {
		g := newTestNode(t, "guard", "rounds", s, timeout)
		if s == "draining" {
			g.reason = dogwoodford.ReasonDraining
		}
		guards = append(guards, g)
	}
	entry.addGuards(guards...)
	status, h, body, err := post(t, entry, kind, "a1", "payload")
	if err != nil {
		return "error"
	}
	var reached []string
	for _, g := range guards {
		reached = append(reached, fmt.Sprint(g.target.count()))
	}
	out := fmt.Sprintf("%d %s", status, strings.Join(reached, ","))
	if r := h.Get(dogcall.HeaderReason); r != "" {
		out += " " + r
	}
	if status == http.StatusOK && body != "body" {
		out += " body " + body
	}
	if status == http.StatusServiceUnavailable && h.Get("Retry-After") == "" {
		out += " without Retry-After"
	}
	return out
}

// TestCutResponses guards against a response that a target breaks off anywhere, in its
// head or its body, that reaches the caller as a success.
func TestCutResponses(t *testing.T) {
	whole := wholeResponse("a1")
	for n := range len(whole) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			for _, kind := range []string{"idempotent", "non-idempotent"} {
				got := outcome(t, kind, []string{fmt.Sprint("cut-", n)})
				if !strings.HasPrefix(got, "502 1 ") {
					t.Errorf("%s, cut after %q: %s; want 502", kind, whole[:n], got)
				}
			}
		})
	}
}

// TestRequestsAhead guards against a request that must not run twice and runs although
// the response to an earlier request of its connection may still break off the
// connection: callers send it again then.
func TestRequestsAhead(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "hang", time.Second)
	entry.addGuards(guard)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &dogpipeline.Server{Handler: entry.relay.Entry()}
	defer srv.Close()
	go func() { _ = srv.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for i, kind := range []string{"idempotent", "idempotent", "non-idempotent"} {
		fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", kind, testHeaders.Attempt, i)
	}
	eventually(time.Second, func() bool { return guard.target.count() >= 2 })
	c.Close()
	time.Sleep(100 * time.Millisecond)
	guard.target.mu.Lock()
	defer guard.target.mu.Unlock()
	var got []string
	for _, r := range guard.target.requests {
		got = append(got, r.Header.Get(testHeaders.Attempt))
	}
	slices.Sort(got)
	if diff := cmp.Diff([]string{"0", "1"}, got); diff != "" {
		t.Errorf("requests at the target (-want +got):\n%s", diff)
	}
}

// get sends a request of a kind without a body, see send.
func get(t *testing.T, n *testNode, kind string) (int, []byte, error) {
	t.Helper()
	return send(t, n, kind, nil)
}

// send sends a request of a kind to n through a dogpipeline server. It returns the status, and
// the body or the reason why there is none. It reads the answer also if the server does not
// read the whole request, unlike net/http.
func send(t *testing.T, n *testNode, kind string, content []byte) (int, []byte, error) {
	t.Helper()
	addr := listen(t, n.relay.Entry())
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	method := "POST"
	if len(content) == 0 {
		method = "GET"
	}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/"+kind+"/x", bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(testHeaders.Attempt, "a1")
	go req.Write(c)
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if reason := resp.Header.Get(dogcall.HeaderReason); reason != "" {
		body = []byte(reason)
	}
	return resp.StatusCode, body, err
}

// TestDownloads guards against long responses that are changed on the way, or cut because
// their request must not run twice, and against ones that break off after the nodes have
// passed on their first part and look complete to the caller, or are sent again behind that
// part.
func TestDownloads(t *testing.T) {
	for script, whole := range map[string]bool{"large": true, "large-chunked": true, "large-cut": false, "large-chunked-cut": false} {
		for _, kind := range []string{"download", "non-idempotent"} {
			entry := newTestNode(t, "entry", "billing", "refuse", 5*time.Second)
			guard, other := newTestNode(t, "guard", "rounds", script, 5*time.Second), newTestNode(t, "other", "rounds", "large", 5*time.Second)
			entry.addGuards(guard, other)
			status, body, err := get(t, entry, kind)
			if status != http.StatusOK || whole != (err == nil) {
				t.Errorf("%s %s: status %d, error %v", kind, script, status, err)
			}
			if whole && !bytes.Equal(body, largeBody) || !bytes.HasPrefix(largeBody, body) {
				t.Errorf("%s %s: %d bytes that are not those of the target", kind, script, len(body))
			}
			if n := other.target.count(); n != 0 {
				t.Errorf("%s %s: sent again after its first part was passed on", kind, script)
			}
		}
	}
}

// TestChildCalls guards against child calls that do not inherit the importance of
// their parent, and against refusing them because of overload downstream, which
// would waste the work already done for the parent.
func TestChildCalls(t *testing.T) {
	n := newTestNode(t, "node", "rounds", "ok", time.Second)
	n.overloaded = true
	n.targets = []dogwoodford.Target{{Node: "node", Service: "rounds", State: dogwoodford.StateReady}}
	parent := &call{id: "a1", attempt: 2, lineage: lineage{root: "a1", class: "sheet", priority: 0}}
	n.relay.running.add(parent)
	if status, _, _, err := post(t, n, "idempotent", "b1", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("request of a caller: status %d, error %v; want 503", status, err)
	}
	if status, _, _, err := post(t, n, "idempotent", "a1.c1", ""); err != nil || status != http.StatusOK {
		t.Errorf("call: status %d, error %v; want 200", status, err)
	}
	if n.inducedRetries != 1 {
		t.Errorf("%d induced retries counted, want 1", n.inducedRetries)
	}
	c := &call{id: "a1.c1"}
	route, _ := table(t, time.Second).Lookup("h", "/idempotent/x")
	want := lineage{root: "a1", class: "sheet", priority: 0, hop: 1, retried: true}
	got := lineageOf(c, route, nil, n.relay.running.parent(c.id))
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(lineage{})); diff != "" {
		t.Errorf("lineage of the call (-want +got):\n%s", diff)
	}
}

// TestTrees guards against an entry that starts requests although it was told that their
// calls fail, against counting other failures as those of calls, and against refusing
// child calls, whose trees have begun.
func TestTrees(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "500", time.Second)
	entry.addGuards(guard)
	if status, _, _, err := post(t, entry, "non-idempotent", "a1", ""); err != nil || status != http.StatusInternalServerError {
		t.Fatalf("status %d, error %v; want 500", status, err)
	}
	if diff := cmp.Diff(dogtree.Runs{Total: 1}, guard.runs); diff != "" {
		t.Errorf("runs after a failure of the target itself (-want +got):\n%s", diff)
	}
	guard.runs.Failed = 1
	if _, _, _, err := post(t, entry, "non-idempotent", "a2", ""); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]dogtree.Runs{"node-0": {Total: 2, Failed: 1}}, entry.reported); diff != "" {
		t.Errorf("reported runs (-want +got):\n%s", diff)
	}
	entry.refuseTrees = true
	status, h, _, err := post(t, entry, "non-idempotent", "a3", "")
	if err != nil || status != http.StatusServiceUnavailable || h.Get("Retry-After") != "1.000" {
		t.Errorf("refused tree: status %d, Retry-After %q, error %v; want 503 and 1.000", status, h.Get("Retry-After"), err)
	}
	entry.relay.running.add(&call{id: "a4"})
	if status, _, _, err := post(t, entry, "non-idempotent", "a4.c1", ""); err != nil || status != http.StatusInternalServerError {
		t.Errorf("child call: status %d, error %v; want 500", status, err)
	}
	if n := guard.target.count(); n != 3 {
		t.Errorf("%d requests ran, want 3", n)
	}
}

// TestLeaving guards against a stopping node that accepts requests which it can no
// longer answer, or refuses child calls of requests in progress.
func TestLeaving(t *testing.T) {
	n := newTestNode(t, "node", "rounds", "ok", time.Second)
	n.leaving, n.callTime = true, time.Second
	n.targets = []dogwoodford.Target{{Node: "node", Service: "rounds", State: dogwoodford.StateReady}}
	n.relay.running.add(&call{id: "a1"})
	status, h, _, err := post(t, n, "idempotent", "b1", "")
	if err != nil || status != http.StatusServiceUnavailable || n.target.count() != 0 {
		t.Errorf("request of a caller: status %d, error %v, %d runs; want 503 and none", status, err, n.target.count())
	}
	if h.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After")
	}
	if status, _, _, err := post(t, n, "idempotent", "a1.c1", ""); err != nil || status != http.StatusOK {
		t.Errorf("call: status %d, error %v; want 200", status, err)
	}
	n.callTime = 900 * time.Millisecond
	status, _, _, err = post(t, n, "idempotent", "a1.c2", "")
	if err != nil || status != http.StatusServiceUnavailable || n.target.count() != 1 {
		t.Errorf("call that lasts too long: status %d, error %v, %d runs; want 503 and none", status, err, n.target.count()-1)
	}
}

// TestAbandon guards against requests that are cut off without a response, or answered
// "not run", when a node stops before they end. Each case has an own target and a remote
// one.
func TestAbandon(t *testing.T) {
	for _, kind := range []string{"idempotent", "non-idempotent"} {
		entry := newTestNode(t, "entry", "rounds", "hang", 10*time.Second)
		guard := newTestNode(t, "guard", "rounds", "hang", 10*time.Second)
		for _, targets := range [][]dogwoodford.Target{
			{{Node: "entry", Service: "rounds", State: dogwoodford.StateReady}},
			{{Node: "guard", Service: "rounds", Peer: guard.guard.Listener.Addr().String(), State: dogwoodford.StateReady}},
		} {
			entry.targets = targets
			runs := entry.target.count() + guard.target.count()
			entry.relay.abandoned, entry.relay.abandon = context.WithCancel(t.Context())
			start := time.Now()
			go func() {
				for entry.target.count()+guard.target.count() == runs && time.Since(start) < time.Second {
					time.Sleep(time.Millisecond)
				}
				entry.relay.Abandon()
			}()
			status, _, _, err := post(t, entry, kind, "a1", "payload")
			if err != nil || status != http.StatusBadGateway || time.Since(start) > time.Second {
				t.Errorf("%s at %s: status %d, error %v after %v; want 502 at once", kind, targets[0].Node, status, err, time.Since(start))
			}
		}
	}
}

// TestSilentNodes guards against a request that is given up although its target is at
// work on it, because the node beside that target was short of processor time for a
// moment, and against one that waits for a node that has failed. Each line of the data
// has the scripts of the targets, the retries that the budget permits, whether the first
// node, which is found to be silent after 50 ms, stays so, and the outcome.
func TestSilentNodes(t *testing.T) {
	dogscript.RunLines(t, "testdata/silent.txtar", func() func(*testing.T, []string) string { return sendToSilent })
}

// sendToSilent sends a request whose first node is silent.
func sendToSilent(t *testing.T, w []string) string {
	t.Helper()
	entry := newTestNode(t, "entry", "billing", "refuse", 1800*time.Millisecond)
	var guards []*testNode
	for _, s := range strings.Split(w[0], ",") {
		guards = append(guards, newTestNode(t, "guard", "rounds", s, time.Second))
	}
	entry.addGuards(guards...)
	entry.budget, entry.dead = int(w[1][0]-'0'), w[2] == "dead"
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	entry.silence = map[string]context.Context{"node-0": ctx}
	start := time.Now()
	status, _, _, err := post(t, entry, "idempotent", "a1", "payload")
	if err != nil {
		t.Fatal(err)
	}
	out := fmt.Sprint(status)
	for _, g := range guards {
		out += fmt.Sprintf(" %d", g.target.count())
	}
	return out + " " + phase(time.Since(start))
}

// phase returns when a response of TestSilentNodes came: as soon as a target had answered,
// when the silent node was given up, or at the deadline.
func phase(d time.Duration) string {
	switch {
	case d < giveUpDelay:
		return "answered"
	case d < 1800*time.Millisecond:
		return "given-up"
	}
	return "deadline"
}

// TestMaxInProgress guards against a node that is killed because it uses too much
// memory, and against an entry that refuses child calls of requests in progress.
func TestMaxInProgress(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "ok", time.Second)
	entry.addGuards(guard)
	for _, tc := range []struct {
		name         string
		entry, guard int64 // In progress besides the request.
		id           string
		want         int
	}{
		{"room", 0, 1, "b1", http.StatusOK},
		{"guard full", 0, 2, "b2", http.StatusServiceUnavailable},
		{"entry full", 2, 0, "b3", http.StatusServiceUnavailable},
		{"call at a full entry", 2, 0, "a1.b4", http.StatusOK},
	} {
		entry.relay.running.add(&call{id: "a1"})
		entry.relay.cfg.MaxInProgress, guard.relay.cfg.MaxInProgress = 2, 2
		entry.relay.inProgress.Store(tc.entry)
		guard.relay.inProgress.Store(tc.guard)
		status, h, _, err := post(t, entry, "idempotent", tc.id, "")
		if err != nil || status != tc.want {
			t.Errorf("%s: status %d, error %v; want %d", tc.name, status, err, tc.want)
		}
		if status != http.StatusOK && h.Get("Retry-After") == "" {
			t.Errorf("%s: the refusal has no Retry-After", tc.name)
		}
	}
	if n := guard.target.count(); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
}

// TestLongBodies guards against bodies over the limit of the configuration that are sent on
// because their length is not declared.
func TestLongBodies(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "ok", time.Second)
	entry.addGuards(guard)
	table, err := dogtable.New(dogtable.Spec{
		Version: 2, Limits: dogtable.Limits{BodyBytes: 1000}, Services: []dogtable.Service{{Name: "rounds"}},
		Routes: []dogtable.RouteSpec{{
			Name: "r", Host: "h", Prefix: "/idempotent/", Kind: dogtable.Idempotent, Timeout: time.Second, Attempts: 2,
			Backends: []dogtable.Backend{{Service: "rounds", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	entry.relay.cfg.Tables.Offer(table)
	for _, tc := range []struct {
		length, want int
	}{{1000, http.StatusOK}, {1001, http.StatusRequestEntityTooLarge}} {
		// A reader of a type that net/http does not know has no declared length.
		body := struct{ io.Reader }{strings.NewReader(strings.Repeat("x", tc.length))}
		req, err := http.NewRequestWithContext(t.Context(), "POST", entry.entry.URL+"/idempotent/x", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set(testHeaders.Attempt, fmt.Sprint("long-", tc.length))
		resp, err := testClient.RoundTrip(req)
		if err != nil {
			t.Errorf("%d bytes: %v", tc.length, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != tc.want {
			t.Errorf("%d bytes: status %d, want %d", tc.length, resp.StatusCode, tc.want)
		}
	}
	if n := guard.target.count(); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}

// TestGuardOfAnotherService guards against running a request at the wrong service
// after the address of a guard was reused by a node of another service.
func TestGuardOfAnotherService(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	other := newTestNode(t, "guard", "depot", "ok", time.Second)
	entry.addGuards(other)
	status, _, _, err := post(t, entry, "idempotent", "a1", "")
	if err != nil || status != http.StatusServiceUnavailable || other.target.count() != 0 {
		t.Errorf("status %d, error %v, %d requests at the other service", status, err, other.target.count())
	}
}
