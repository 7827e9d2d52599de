package dogcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford/io/process/dogstatus"
)

// TestExitCodes guards against exit codes and output that differ from the
// documented ones.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.ini")
	if err := os.WriteFile(bad, []byte("[contract]\ncustomer = X\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := contractFile(t, 2, "20")
	changed := contractFile(t, 3, "21")
	p := newFakePlatform()
	p.overwriteContract(t, "firm-1", contractText(t, 2, "20"))
	statusA := func() dogstatus.Status {
		return dogstatus.Status{Node: "rounds-1", State: "ready", Problems: []string{"the clock is off"},
			Contracts: []dogstatus.Contract{{Customer: "firm-1", Generation: 1}},
			Members:   []dogstatus.Member{{Node: "rounds-2", State: "ready", Admin: "b"}, {Node: "x", State: "failed", Admin: "z"}}}
	}
	ns := fakeNodes{"a": statusA, "b": func() dogstatus.Status { return dogstatus.Status{Node: "rounds-2"} }}
	for _, tc := range []struct {
		args   string
		code   int
		output string // Substring of the standard output and error output.
	}{
		{"", CodeOK, "contract"},
		{"odd", CodeUsage, `unknown command "odd"`},
		{"contract odd", CodeUsage, `unknown command "odd"`},
		{"contract apply", CodeUsage, "FILE"},
		{"contract apply --odd x", CodeUsage, "odd"},
		{"contract apply " + good, CodeUsage, "--platform"},
		{"node", CodeUsage, "settings"},
		{"node --settings " + bad, CodeInvalid, "[node]: the section is missing"},
		{"settings check " + bad, CodeInvalid, "[contract]: the section is unknown"},
		{"settings check " + bad + ".absent", CodeFailed, "no such file"},
		{"contract check " + good, CodeOK, "last  7"},
		{"contract check ../../../contracts/consortium ../../../contracts/factdesk", CodeOK, "team-mesh"},
		{"contract check " + bad + " " + bad, CodeInvalid, "[contract] generation: the key is missing"},
		{"contract diff --platform x " + good, CodeOK, "no differences"},
		{"contract diff " + good + " " + changed, CodeOK, "~ [contract] resend_burst = 20 -> 21"},
		{"contract diff --exit-code " + good + " " + changed, CodeConflict, "2"},
		{"contract pull --platform x firm-1", CodeOK, "generation = 2"},
		{"contract pull --platform x firm-9", CodeFailed, "not found"},
		{"contract pull --platform x ../firm", CodeUsage, "not the name"},
		{"contract status --platform x", CodeOK, "firm-1"},
		{"contract status --platform x firm-9", CodeFailed, "no contract of firm-9"},
		{"contract status --platform x --node a", CodeNotInForce, "firm-1 generation 2"},
		{"contract status --platform x --wait", CodeUsage, "--node"},
		{"status", CodeUsage, "--node"},
		{"status --node a", CodeOK, "rounds-1: the clock is off"},
		{"status --node a --all", CodeOK, "rounds-2"},
		{"status --node a --node c", CodeUnavailable, "no answer"},
		{"completion bash", CodeOK, "complete"},
	} {
		res := runCommand(t, p, ns, strings.Fields(tc.args)...)
		if res.code != tc.code || !strings.Contains(res.stdout+res.stderr, tc.output) {
			t.Errorf("%s: code %d, want %d; output lacks %q:\n%s%s", tc.args, res.code, tc.code, tc.output, res.stdout, res.stderr)
		}
		if tc.code == CodeOK != (res.stderr == "") {
			t.Errorf("%s: code %d with error output %q", tc.args, res.code, res.stderr)
		}
		if f := strings.Fields(tc.args); len(f) > 2 && tc.code != CodeUsage && f[0] != "node" {
			res := runCommand(t, p, ns, append(f, "--json")...)
			var v any
			if err := json.Unmarshal([]byte(res.stdout), &v); err != nil || res.code != tc.code || res.stderr != "" {
				t.Errorf("%s --json: code %d, %v in %s%s", tc.args, res.code, err, res.stdout, res.stderr)
			}
		}
	}
}

// TestJSONProblems guards against problems of files that are missing from the JSON
// error report.
func TestJSONProblems(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a.ini", "b.ini"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("[contract]\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	res := runCommand(t, nil, nil, "contract", "check", "--json", dir)
	var got errorReport
	if err := json.Unmarshal([]byte(res.stdout), &got); err != nil {
		t.Fatal(err)
	}
	files := map[string]int{}
	for _, p := range got.Problems {
		files[filepath.Base(p.File)]++
	}
	if diff := cmp.Diff(map[string]int{"a.ini": 7, "b.ini": 7}, files); got.Code != CodeInvalid || diff != "" {
		t.Errorf("code %d; problems by file: -want +got:\n%s", got.Code, diff)
	}
}

// TestStatusWait guards against contract status --wait returning before the
// generation is in force at every node, or not returning.
func TestStatusWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.overwriteContract(t, "firm-1", contractText(t, 2, "20"))
		p.overwriteContract(t, "firm-2", bytes.Replace(contractText(t, 2, "20"), []byte("= firm-1"), []byte("= firm-2"), 1))
		start := time.Now()
		after := func(d time.Duration) func() dogstatus.Status {
			return func() dogstatus.Status {
				g := int64(1)
				if time.Since(start) >= d {
					g = 3 // A later generation counts as well.
				}
				return dogstatus.Status{Node: "n", Contracts: []dogstatus.Contract{
					{Customer: "firm-1", Generation: g}, {Customer: "firm-2", Generation: 2}}}
			}
		}
		ns := fakeNodes{"a": after(0), "b": after(4 * time.Second), "never": after(time.Hour)}
		waitArgs := []string{"contract", "status", "--platform", "x", "--wait", "--timeout", "9s", "--node", "a"}
		if res := runCommand(t, p, ns, append(waitArgs, "--node", "b")...); res.code != CodeOK || time.Since(start) != 4*time.Second {
			t.Errorf("code %d after %v, want 0 after 4 s: %s", res.code, time.Since(start), res.stderr)
		}
		start = time.Now()
		if res := runCommand(t, p, ns, append(waitArgs, "--node", "never")...); res.code != CodeNotInForce || time.Since(start) != 9*time.Second {
			t.Errorf("code %d after %v, want %d after 9 s", res.code, time.Since(start), CodeNotInForce)
		}
	})
}

// TestDocumentedReasons guards against refusal reasons that are missing from
// docs/callers.md.
func TestDocumentedReasons(t *testing.T) {
	find := func(file, pattern string) (out []string) {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(data), -1) {
			out = append(out, m[1])
		}
		return out
	}
	want := find("../../../outcome.go", `Reason\w+ +Reason = "([a-z-]+)"`)
	_, table, _ := strings.Cut(strings.Join(find("../../../docs/callers.md", `(?s)(## Reasons.*?)\n## `), ""), "|---|")
	var got []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllStringSubmatch(table, -1) {
		got = append(got, m[1])
	}
	if diff := cmp.Diff(want, got); diff != "" || len(want) < 10 {
		t.Errorf("outcome.go (-) and docs/callers.md (+) differ:\n%s", diff)
	}
}

// TestDocumentedCodes guards against a table of exit codes that differs from
// the code.
func TestDocumentedCodes(t *testing.T) {
	data, err := os.ReadFile("../../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, m := range regexp.MustCompile(`(?m)^\| (\d) \| ([a-z-]+) \|`).FindAllStringSubmatch(string(data), -1) {
		got = append(got, m[1]+" "+m[2])
	}
	var want []string
	for code, name := range []string{
		CodeOK: "ok", CodeFailed: "failed", CodeUsage: "usage", CodeInvalid: "invalid", CodeConflict: "conflict",
		CodeUnavailable: "unavailable", CodeUncertain: "uncertain", CodeNotInForce: "not-in-force",
	} {
		want = append(want, fmt.Sprintf("%d %s", code, name))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("code (-) and docs/operators.md (+) differ:\n%s", diff)
	}
}
