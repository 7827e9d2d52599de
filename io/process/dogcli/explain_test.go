package dogcli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dogwoodford/io/process/dogexplain"
)

// explainingNode answers questions as a node, and records the last one.
type explainingNode struct {
	answer dogexplain.Answer
	asked  dogexplain.Query
}

// RoundTrip implements http.RoundTripper.
func (n *explainingNode) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	if r.Method != http.MethodPost || r.URL.String() != "http://a"+dogexplain.Path {
		http.NotFound(w, r)
		return w.Result(), nil
	}
	dogexplain.Handler(func(q dogexplain.Query) dogexplain.Answer {
		n.asked = q
		return n.answer
	}).ServeHTTP(w, r)
	return w.Result(), nil
}

func (n *explainingNode) run(t *testing.T, args ...string) commandResult {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Main(t.Context(), append([]string{"dogwoodford", "explain"}, args...), Options{
		Stdout: &stdout, Stderr: &stderr, Client: &http.Client{Transport: n},
	})
	return commandResult{code, stdout.String(), stderr.String()}
}

func newExplainingNode() *explainingNode {
	return &explainingNode{answer: dogexplain.Answer{
		Node: "rounds-1", DataCentre: "here", Config: dogexplain.Config{Version: 7, SinceMs: 9000, AgeMs: 400, Trusted: true},
		Route:     &dogexplain.Route{Name: "main", Host: "h", Prefix: "/", Kind: "idempotent", TimeoutMs: 5000, Attempts: 2, Priority: 3},
		Workspace: &dogexplain.Workspace{Name: "north", Priority: 1},
		Quota:     &dogexplain.Quota{RatePerS: 5, Burst: 2, Lender: "rounds-2", Decision: "refused"},
		Refusal:   &dogexplain.Refusal{Status: 429, Reason: "quota", Detail: "the workspace has used up its quota", RetryAfterMs: 1200},
		Services: []dogexplain.Service{{Name: "rounds", Weight: 3, Percent: 100, Refuses: "none", Candidates: []dogexplain.Candidate{
			{Node: "rounds-1", State: "ready", DataCentre: "here", Local: true, Weight: 1, Cost: 0.02, Load: &dogexplain.Load{InFlight: 2, Limit: 10, ServiceMs: 20}},
			{Node: "rounds-2", State: "draining", DataCentre: "there", LeftOut: "not ready"},
		}}},
	}}
}

// TestExplain guards against output that lacks a part of the answer, or differs with --json.
func TestExplain(t *testing.T) {
	n := newExplainingNode()
	res := n.run(t, "--node", "a", "--host", "h")
	text := strings.Join(strings.Fields(res.stdout), " ")
	for _, want := range []string{
		"version 7, in force here for 9s, known as the newest 400ms ago, keys trusted true",
		"main (h/): idempotent, timeout 5s, attempts 2, priority 3, public false", "north, priority 1",
		"5/s, burst 2, lender rounds-2, tokens here 0: refused", "429 quota: the workspace has used up its quota, Retry-After about 1.2s",
		"service rounds: weight 3 (100%)", "rounds-1 ready here local 2 0 10 0 20.0 ms 0 1.00 0.02", "rounds-2 draining there other", "not ready",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("output lacks %q:\n%s", want, res.stdout)
		}
	}
	if res.code != CodeOK || res.stderr != "" {
		t.Errorf("code %d: %s", res.code, res.stderr)
	}
	res = n.run(t, "--node", "a", "--host", "h", "--json")
	var got dogexplain.Answer
	if err := json.Unmarshal([]byte(res.stdout), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(n.answer, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestExplainKey guards against a key that is not sent, and against one in the output.
func TestExplainKey(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte("secret-file\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(keyVariable, "secret-variable")
	for _, tc := range []struct {
		key  string
		args []string
	}{
		{"secret-file", []string{"--key-file", file}},
		{"secret-variable", nil},
	} {
		n := newExplainingNode()
		res := n.run(t, append(tc.args, "--node", "a", "--host", "h", "--path", "/x", "--method", "POST", "--left", "2s")...)
		want := dogexplain.Query{Method: "POST", Host: "h", Path: "/x", Key: tc.key, LeftMs: 2000}
		if diff := cmp.Diff(want, n.asked); diff != "" {
			t.Errorf("query (-want +got):\n%s", diff)
		}
		if strings.Contains(res.stdout+res.stderr, "secret") {
			t.Errorf("output shows the key: %s%s", res.stdout, res.stderr)
		}
	}
}

// TestExplainErrors guards against exit codes that scripts cannot rely on.
func TestExplainErrors(t *testing.T) {
	n := newExplainingNode()
	for _, tc := range []struct {
		code int
		args string
	}{
		{CodeUsage, "--node a"},
		{CodeUsage, "--host h"},
		{CodeUsage, "--node a --host h more"},
		{CodeFailed, "--node a --host h --key-file /nonexistent/key"},
		{CodeUnavailable, "--node b --host h"},
	} {
		if res := n.run(t, strings.Fields(tc.args)...); res.code != tc.code || res.stdout != "" {
			t.Errorf("%s: code %d, want %d: %s%s", tc.args, res.code, tc.code, res.stdout, res.stderr)
		}
	}
}
