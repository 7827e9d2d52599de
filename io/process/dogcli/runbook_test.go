package dogcli

import (
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogstatus"
)

func readFile(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

const runbookFile = "../../../docs/runbook.md"

// TestRunbookReasons guards against a refusal reason without an entry in the
// runbook.
func TestRunbookReasons(t *testing.T) {
	var want, got []string
	for _, m := range regexp.MustCompile(`Reason\w+ +Reason = "([a-z-]+)"`).FindAllStringSubmatch(readFile(t, "../../../outcome.go"), -1) {
		want = append(want, m[1])
	}
	_, section, _ := strings.Cut(readFile(t, runbookFile), "\n## Refusals by reason\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| .+ \\| .+ \\|$").FindAllStringSubmatch(section, -1) {
		got = append(got, m[1])
	}
	if diff := cmp.Diff(want, got); diff != "" || len(want) < 10 {
		t.Errorf("outcome.go (-) and docs/runbook.md (+) differ:\n%s", diff)
	}
}

// TestRunbookEvents guards against events of level warning or error for which
// neither the runbook nor the list of events gives an action, and against events
// and metrics in the runbook that do not exist.
func TestRunbookEvents(t *testing.T) {
	text := readFile(t, runbookFile)
	known := map[string]bool{}
	for _, e := range doglog.Events() {
		number := fmt.Sprint(e.Number())
		known[number] = true
		row := regexp.MustCompile(`(?m)^\| ` + number + ` \|.*\| ([^|]*) \|$`).FindStringSubmatch(readFile(t, "../../../docs/events.md"))
		action := row != nil && !strings.HasPrefix(row[1], "Nothing")
		if e.Level() >= slog.LevelWarn && !action && !strings.Contains(text, number) {
			t.Errorf("event %v has an action neither in docs/runbook.md nor in docs/events.md", e)
		}
	}
	for _, number := range regexp.MustCompile(`\b1[0-7]\d\d\b`).FindAllString(text, -1) {
		if !known[number] {
			t.Errorf("docs/runbook.md names the event %s, which does not exist", number)
		}
	}
	metrics := map[string]bool{"process": true}
	for _, m := range dogmetric.Metrics() {
		metrics[m.Name()] = true
	}
	for _, m := range regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`|[ '](?:\\.([a-z_]+))[,' ]").FindAllStringSubmatch(text, -1) {
		if name := m[1] + m[2]; !metrics[name] && !slices.Contains(otherNames, name) {
			t.Errorf("docs/runbook.md names %s, which is neither a metric nor another known name", name)
		}
	}
}

// otherNames are the names with an underscore in the runbook that are not metrics
// but belong to contracts or to the status.
var otherNames = []string{"max_body", "resend_percent", "resend_burst", "last_answer", "data_centre"}

// TestRunbookCommands guards against commands in the runbook that the program
// does not accept. They run against an empty platform and one node.
func TestRunbookCommands(t *testing.T) {
	p := newFakePlatform()
	p.overwriteContract(t, "firm-1", contractText(t, 1, "20"))
	commands := runbookCommands(t)
	t.Chdir(t.TempDir())
	ns := fakeNodes{"a": func() dogstatus.Status {
		return dogstatus.Status{Node: "rounds-1",
			Contracts:   []dogstatus.Contract{{Customer: "firm-1", Generation: 2}},
			Quarantines: []dogstatus.Quarantine{{Digest: "00000000000000ff"}}}
	}}
	replace := strings.NewReplacer("$NODE", "a", "$DIGEST", "00000000000000ff")
	for _, line := range commands {
		args := strings.Fields(replace.Replace(line))
		t.Setenv("DOGWOODFORD_PLATFORM", "x")
		res := runCommand(t, p, ns, args...)
		if res.code != CodeOK && (res.code != CodeFailed || !strings.Contains(res.stderr, dogwoodford.ErrNotFound.Error())) {
			t.Errorf("%s: code %d: %s", line, res.code, res.stderr)
		}
	}
	if len(commands) < 15 {
		t.Errorf("found %d commands in the runbook, want at least 15", len(commands))
	}
}

// runbookCommands returns the arguments of the dogwoodford commands in the code
// blocks of the runbook.
func runbookCommands(t *testing.T) (out []string) {
	t.Helper()
	blocks := regexp.MustCompile("(?ms)^ *```\n(.*?)^ *```$").FindAllStringSubmatch(readFile(t, runbookFile), -1)
	for _, b := range blocks {
		for line := range strings.Lines(b[1]) {
			for _, m := range regexp.MustCompile(`\bdogwoodford ([a-z][^|)\n]*)`).FindAllStringSubmatch(line, -1) {
				out = append(out, m[1])
			}
		}
	}
	return out
}
