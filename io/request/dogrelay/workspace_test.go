package dogrelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/internal/dogscript"
)

// fakeKeys implements Keys and Quotas.
type fakeKeys struct {
	trusted bool
	tokens  int

	version int64         // Version that Trusted was asked for.
	age     time.Duration // Age of version 2 in answers to other nodes.
	now     time.Duration
	told    func()   // If set, called when an answer tells the age.
	vouched []string // Versions and moments that other nodes have vouched for.
}

func (f *fakeKeys) Trusted(version int64) bool {
	f.version = version
	return f.trusted
}

func (f *fakeKeys) Age() (int64, time.Duration, bool) {
	if f.told != nil {
		f.told()
	}
	return 2, f.age, f.age > 0
}

func (f *fakeKeys) Now() time.Duration { return f.now }

func (f *fakeKeys) Vouched(version int64, moment time.Duration) {
	f.vouched = append(f.vouched, fmt.Sprint(version, " ", moment))
}

func (f *fakeKeys) Take(context.Context, *dogtable.Workspace) (time.Duration, bool) {
	f.tokens--
	return 250 * time.Millisecond, f.tokens >= 0
}

func (f *fakeKeys) Return(*dogtable.Workspace) { f.tokens++ }

// workspaceTable returns a table with the workspaces north, which has a quota and priority
// 0, and south, and with a public route.
func workspaceTable(t *testing.T) *dogtable.Table {
	urgent := 0
	backends := []dogtable.Backend{{Service: "rounds", Weight: 1}}
	route := dogtable.RouteSpec{Name: "closed", Host: "h", Prefix: "/closed/", Kind: dogtable.Idempotent, Timeout: time.Second, Attempts: 1, Priority: 3, Backends: backends}
	public := route
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	table, err := dogtable.New(dogtable.Spec{
		Version: 2, Routes: []dogtable.RouteSpec{route, public}, Services: []dogtable.Service{{Name: "rounds"}},
		Workspaces: []dogtable.WorkspaceSpec{
			{Name: "north", Keys: []string{"n1", "n2"}, Rate: 1, Burst: 1, Priority: &urgent}, {Name: "south", Keys: []string{"s1"}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestWorkspaces guards against requests that run for another workspace than that of their
// key, against keys that reach a target, and against refusals that blame the caller for
// what the node does not know. Each line names the path, then headers of the request, or
// "stale", "spent", "refuse" or "local" for keys that are not trusted, a quota that is used
// up, a target that does not run requests, and one beside the entry. The result is the status with the reason, or with the
// workspace and priority that the target and its guard saw; "leaked" tells that the key
// was sent along.
func TestWorkspaces(t *testing.T) {
	dogscript.RunLines(t, "testdata/workspaces.txtar", func() func(*testing.T, []string) string { return sendWithKey })
}

func sendWithKey(t *testing.T, words []string) string {
	script, local, keys := "ok", false, &fakeKeys{trusted: true, tokens: 1}
	req, err := http.NewRequestWithContext(t.Context(), "GET", "/"+words[0]+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "stale":
			keys.trusted = false
		case "spent":
			keys.tokens = 0
		case "refuse":
			script = "refuse"
		case "local":
			local = true
		default:
			req.Header.Add(name, value)
		}
	}
	req.Header.Set(testHeaders.Attempt, "a1")
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", script, time.Second)
	if local {
		entry = guard
		entry.targets = []dogwoodford.Target{{Node: "guard", Service: "rounds", State: dogwoodford.StateReady}}
	} else {
		entry.addGuards(guard)
	}
	for _, n := range []*testNode{entry, guard} {
		n.relay.cfg.Tables.Offer(workspaceTable(t))
		n.relay.cfg.Keys, n.relay.cfg.Quotas = keys, keys
	}
	req.URL.Scheme, req.URL.Host, req.Host = "http", entry.entry.Listener.Addr().String(), "h"
	resp, err := testClient.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d %s retry=%s tokens=%d", resp.StatusCode, resp.Header.Get("Dogwoodford-Reason"), resp.Header.Get("Retry-After"), keys.tokens)
	}
	guard.target.mu.Lock()
	defer guard.target.mu.Unlock()
	seen := guard.target.requests[0].Header
	out := fmt.Sprintf("200 %q", seen[testHeaders.Workspace])
	if len(seen[testHeaders.Key]) > 0 {
		out += " leaked"
	}
	return out
}

// TestKeyFromOlderEntry guards against a key that reaches a target because the entry does
// not have the configuration with workspaces yet, whereas the guard has it.
func TestKeyFromOlderEntry(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "ok", time.Second)
	entry.addGuards(guard)
	guard.relay.cfg.Tables.Offer(workspaceTable(t))
	req, err := http.NewRequestWithContext(t.Context(), "GET", entry.entry.URL+"/idempotent/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(testHeaders.Attempt, "a1")
	req.Header.Set(testHeaders.Key, "n1")
	resp, err := testClient.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, want 200", resp.StatusCode)
	}
	guard.target.mu.Lock()
	defer guard.target.mu.Unlock()
	if got := guard.target.requests[0].Header[testHeaders.Key]; len(got) > 0 {
		t.Error("the target received the key")
	}
}

// TestWorkspaceOfChildCalls guards against child calls, which carry no key, that lose the
// workspace or the priority of the request above them.
func TestWorkspaceOfChildCalls(t *testing.T) {
	n := newTestNode(t, "node", "rounds", "ok", time.Second)
	n.relay.cfg.Tables.Offer(workspaceTable(t))
	n.relay.cfg.Keys = &fakeKeys{}
	n.targets = []dogwoodford.Target{{Node: "node", Service: "rounds", State: dogwoodford.StateReady, Peer: n.guard.Listener.Addr().String()}}
	n.relay.running.add(&call{id: "a1", lineage: lineage{root: "a1", class: "closed", workspace: "north"}})
	status, _, _, err := post(t, n, "closed", "a1.c1", "")
	if err != nil || status != http.StatusOK {
		t.Fatalf("call: status %d, error %v; want 200", status, err)
	}
	n.target.mu.Lock()
	defer n.target.mu.Unlock()
	if got := n.target.requests[0].Header.Get(testHeaders.Workspace); got != "north" {
		t.Errorf("the call belongs to workspace %q, want north", got)
	}
}

// fakeShares gives all requests the same rank.
type fakeShares int

func (f fakeShares) Rank(string, int, float64) int { return int(f) }

// TestRankOfWorkspaces guards against a rank that is lost on the way to the guard or in
// child calls, where the request would compete with a random one.
func TestRankOfWorkspaces(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	entry.relay.cfg.Shares = fakeShares(100)
	table := workspaceTable(t)
	w, _ := table.WorkspaceNamed("north")
	route, _ := table.Lookup("h", "/closed/x")
	c := &call{id: "a1", source: &http.Request{}, body: &body{}}
	c.lineage = lineageOf(c, route, w, nil)
	entry.relay.rank(c, w)
	out := make(http.Header)
	entry.relay.formatCall(out, c, time.Now())
	got, err := entry.relay.parseCall(&http.Request{Header: out}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	got.body = &body{}
	child := lineageOf(&call{id: "a1.c1"}, route, nil, &run{lineage: got.lineage})
	want := dogwoodford.Priority(dogwoodford.MaxImportance*dogwoodford.RankCount + 100)
	if p := got.request().Priority(); p != want || child.fairRank != 101 {
		t.Errorf("priority %d at the guard, rank %d of a child call; want %d and 101", p, child.fairRank, want)
	}
}
