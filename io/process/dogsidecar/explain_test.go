package dogsidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogquota"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/internal/dogscript"
	"dogwoodford/io/process/dogexplain"
)

// explainedNode is a node that is asked where requests would go.
type explainedNode struct {
	*node
	logged  bytes.Buffer
	version int64 // Of the last entry.
}

// Keys of the workspaces north, with a quota, and south, without.
const (
	northKey = "secret-north"
	southKey = "secret-south"
)

// newExplainedNode returns a node in the data centre here, without a configuration.
func newExplainedNode(t *testing.T) *explainedNode {
	t.Helper()
	s := testSettings()
	s.DataCentre = "here"
	s.Messages, s.QuotaWindow, s.QuotaOverage, s.QuotaSlack = "127.0.0.1:0", 5*time.Second, 0.1, 20
	s.KeyLifetime = time.Minute
	n := &explainedNode{}
	n.node = newNode(s, keyDialect{}, newFakeStore(), &n.logged)
	t.Cleanup(n.log.close)
	return n
}

// configure puts a configuration with three routes and two workspaces in force.
func (n *explainedNode) configure(t *testing.T) {
	t.Helper()
	priority := 1
	route := func(name, host string, public bool, backends ...dogtable.Backend) dogtable.RouteSpec {
		return dogtable.RouteSpec{
			Name: name, Host: host, Prefix: "/", Kind: dogtable.Idempotent, Timeout: 5 * time.Second, Attempts: 2,
			Priority: 3, Public: public, Backends: backends,
		}
	}
	table, err := dogtable.New(dogtable.Spec{
		Version: 7, Services: []dogtable.Service{{Name: "rounds"}, {Name: "absent"}},
		Workspaces: []dogtable.WorkspaceSpec{
			{Name: "north", Keys: []string{northKey}, Priority: &priority, Rate: 5, Burst: 2},
			{Name: "south", Keys: []string{southKey}},
		},
		Routes: []dogtable.RouteSpec{
			route("main", "h", false, dogtable.Backend{Service: "rounds", Weight: 3}, dogtable.Backend{Service: "absent", Weight: 1}),
			route("open", "public", true, dogtable.Backend{Service: "rounds", Weight: 1}),
			route("nowhere", "absent", true, dogtable.Backend{Service: "absent", Weight: 1}),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.keys.adopt(7)
	n.configs.tables.Offer(table)
}

// run executes a command of testdata/explain.txtar:
//
//	config                        a configuration is put in force
//	fresh                         the configuration is known to be the newest
//	entry NODE STATE CENTRE       a node of the service rounds
//	down NODE                     a node cannot be reached
//	load NODE IN-FLIGHT LIMIT MS  the last report of a node, with its service time
//	refuse NODE                   the guard of a node refuses all that is below its cutoff
//	quota                         the quota of north is used up
//	ask HOST [KEY]                what would become of a request
//	send HOST [KEY]               the refusal of a request that is sent
func (n *explainedNode) run(t *testing.T, words []string) string {
	t.Helper()
	switch words[0] {
	case "config":
		n.configure(t)
	case "fresh":
		n.keys.observe(7, bootClock())
	case "entry":
		state := map[string]dogwoodford.State{"ready": dogwoodford.StateReady, "draining": dogwoodford.StateDraining}[words[2]]
		n.version++
		n.state.put(dogfleet.Entry{Node: words[1], Service: "rounds", DataCentre: words[3], State: state, Slots: 10}, rev(n.version))
	case "down":
		n.state.MarkUnreachable(words[1], false)
	case "load":
		inFlight, limit, ms := number(t, words[2]), number(t, words[3]), number(t, words[4])
		n.balancer.RecordDispatchEnd(words[1], 0, false, &dogwoodford.Load{
			InFlight: inFlight, Limit: limit, ServiceTime: time.Duration(ms) * time.Millisecond,
		})
	case "refuse":
		for _, class := range []string{"main", "open"} {
			r := dogwoodford.NewRequest(dogwoodford.RequestSpec{Service: "rounds", Class: class})
			n.pressure.AddReport(r, words[1], dogwoodford.MaxPriority, 0)
		}
	case "quota":
		n.useUpQuota(t)
	case "ask":
		return n.ask(t, words[1:])
	case "send":
		return n.send(words[1:])
	default:
		t.Fatalf("unknown command %q", words)
	}
	return ""
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// useUpQuota replaces the quotas by those of a lender without tokens.
func (n *explainedNode) useUpQuota(t *testing.T) {
	t.Helper()
	now := time.Now()
	w := dogquota.Workspace{ID: dogquota.WorkspaceID("north"), Limit: dogquota.Limit{Rate: 5, Burst: 2}}
	q := dogquota.NewNode(now.Add(-time.Minute), dogquota.Options{
		Name: n.settings.Node, Rand: rand.New(rand.NewPCG(1, 1)), Bound: dogquota.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	})
	q.SetLimits(map[uint64]dogquota.Limit{w.ID: w.Limit})
	q.SetView(now.Add(-time.Minute), dogquota.View{Complete: true})
	for range 1000 {
		d := q.Take(now, w)
		if d.Verdict == dogquota.Wait {
			q.Flush(now)
			d = q.Resume(now, w.ID)
		}
		if d.Verdict == dogquota.Refused && d.RetryAfter > time.Second {
			n.quotas.node = q
			return
		}
	}
	t.Fatal("the quota is never used up")
}

// post asks the node's metrics listener about a request.
func (n *explainedNode) post(t *testing.T, host, key string) (dogexplain.Answer, string) {
	t.Helper()
	body, err := json.Marshal(dogexplain.Query{Method: http.MethodGet, Host: host, Path: "/x", Key: key})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	n.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, dogexplain.Path, bytes.NewReader(body)))
	var a dogexplain.Answer
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v: %s", w.Code, err, w.Body)
	}
	return a, w.Body.String()
}

// send sends a request to the entry and returns its refusal.
func (n *explainedNode) send(words []string) string {
	r := httptest.NewRequest(http.MethodGet, "http://"+words[0]+"/x", nil)
	if len(words) > 1 {
		r.Header.Set(n.dialect.Headers().Key, words[1])
	}
	w := httptest.NewRecorder()
	n.relay.Entry().ServeHTTP(w, r)
	return fmt.Sprintf("%d %s hint %t", w.Code, w.Header().Get("Dogwoodford-Reason"), w.Header().Get("Retry-After") != "")
}

// ask returns the parts of an answer that do not depend on the clock.
func (n *explainedNode) ask(t *testing.T, words []string) string {
	t.Helper()
	key := ""
	if len(words) > 1 {
		key = words[1]
	}
	a, _ := n.post(t, words[0], key)
	var out []string
	if a.Route != nil {
		out = append(out, "route "+a.Route.Name)
	}
	if a.Workspace != nil {
		out = append(out, fmt.Sprintf("%s priority %d", a.Workspace.Name, a.Workspace.Priority))
	}
	if a.Quota != nil {
		out = append(out, fmt.Sprintf("quota %s lender %s", a.Quota.Decision, a.Quota.Lender))
	}
	if a.Refusal != nil {
		out = append(out, fmt.Sprintf("refused %d %s hint %t", a.Refusal.Status, a.Refusal.Reason, a.Refusal.RetryAfterMs > 0))
	}
	for _, s := range a.Services {
		out = append(out, fmt.Sprintf("%s %d%% refuses %s", s.Name, s.Percent, s.Refuses))
		for _, c := range s.Candidates {
			out = append(out, strings.TrimSpace(c.Node+" "+c.LeftOut))
		}
	}
	return strings.Join(out, "; ")
}

// TestExplainScripts guards against explanations that differ from what the entry does; each
// file of the archive is one case.
func TestExplainScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/explain.txtar", func() func(*testing.T, []string) string {
		var n *explainedNode
		return func(t *testing.T, words []string) string {
			t.Helper()
			if n == nil {
				n = newExplainedNode(t)
			}
			return n.run(t, words)
		}
	})
}

// explainCommands lead to a node whose answers have all parts.
func explainCommands() []string {
	return []string{
		"config", "fresh", "entry rounds-1 ready here", "entry rounds-2 ready there", "entry rounds-3 draining here",
		"load rounds-1 2 10 20", "refuse rounds-1", "quota",
	}
}

// TestExplainCountsNothing guards against questions that change counts, take turns of the
// weighted services or are logged.
func TestExplainCountsNothing(t *testing.T) {
	n := newExplainedNode(t)
	for _, c := range explainCommands() {
		n.run(t, strings.Fields(c))
	}
	counts := func() string {
		w := httptest.NewRecorder()
		n.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		var values map[string]any
		if err := json.Unmarshal(w.Body.Bytes(), &values); err != nil {
			t.Fatal(err)
		}
		delete(values, "process")
		return fmt.Sprint(values)
	}
	route, _ := n.configs.tables.Table().Lookup("h", "/x")
	before := counts()
	var services []string
	for range 8 {
		for range 7 {
			n.post(t, "h", northKey)
		}
		services = append(services, n.configs.split.Choose(route))
	}
	if diff := cmp.Diff(before, counts()); diff != "" {
		t.Errorf("metrics (-before +after):\n%s", diff)
	}
	rounds := strings.Count(strings.Join(services, " "), "rounds")
	if rounds != 6 {
		t.Errorf("%d of 8 requests at the service of weight 3 of 4: %v", rounds, services)
	}
	n.log.close()
	if strings.Contains(n.logged.String(), "secret") {
		t.Errorf("the log shows a key: %s", &n.logged)
	}
}

// TestExplainShowsNoKey guards against answers that hold a key.
func TestExplainShowsNoKey(t *testing.T) {
	n := newExplainedNode(t)
	for _, c := range explainCommands() {
		n.run(t, strings.Fields(c))
	}
	for _, key := range []string{northKey, southKey, "secret-unknown"} {
		if _, body := n.post(t, "h", key); strings.Contains(body, "secret") {
			t.Errorf("the answer shows a key: %s", body)
		}
	}
}

// TestExplainIsBounded guards against answers that grow with the fleet, and against long or
// malformed questions that are read.
func TestExplainIsBounded(t *testing.T) {
	n := newExplainedNode(t)
	n.configure(t)
	for i := range 600 {
		n.run(t, []string{"entry", fmt.Sprint("rounds-", i), "ready", "here"})
	}
	a, body := n.post(t, "public", "")
	if s := a.Services[0]; len(s.Candidates) != maxExplainedCandidates || s.Omitted != 600-maxExplainedCandidates || len(body) > 32<<10 {
		t.Errorf("%d candidates, %d omitted, %d bytes", len(s.Candidates), s.Omitted, len(body))
	}
	for _, body := range []string{"x", `{"host":"` + strings.Repeat("h", 20<<10) + `"}`} {
		w := httptest.NewRecorder()
		n.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, dogexplain.Path, strings.NewReader(body)))
		if w.Code != http.StatusBadRequest {
			t.Errorf("status %d of a bad question, want 400", w.Code)
		}
	}
}
