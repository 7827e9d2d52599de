package dogoutcome

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// Guards against classifying a call that may have run as not run, and the
// reverse, and against rules without a test line.
func TestClassify(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/outcome.txtar")
	if err != nil {
		t.Fatal(err)
	}
	stages := map[string]Stage{}
	for s := NotDispatched; s <= Truncated; s++ {
		stages[s.String()] = s
	}
	seen := map[string]bool{}
	for line := range strings.Lines(string(ar.Files[0].Data)) {
		var stage, from, claim, child, want string
		var f Facts
		if _, err := fmt.Sscan(line, &stage, &from, &f.Status, &claim, &child, &want); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		f.Stage, f.FromPeer, f.ClaimedOutcome, f.ChildDispatched = stages[stage], from == "peer", strings.Trim(claim, "-"), child == "yes"
		if got := Classify(f).String(); got != want {
			t.Errorf("%s got %s", strings.TrimSpace(line), got)
		}
		for _, r := range Rules() {
			if r.Match(f) {
				seen[r.Name] = true
				break
			}
		}
	}
	for _, r := range Rules() {
		if !seen[r.Name] {
			t.Errorf("no line for rule %q", r.Name)
		}
	}
}

func ExampleClassify() {
	fmt.Println(Classify(Facts{Stage: DialFailed}), Classify(Facts{Stage: Written}))
	// Output: not-run unknown
}
