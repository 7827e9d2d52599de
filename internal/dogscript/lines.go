package dogscript

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

// arrow separates a command from its result.
const arrow = "->"

// RunLines runs each file of the txtar archive at path as a subtest. A line holds
// a command and, after "->", its result; a command without a result has no arrow.
// For each file, start returns the function that executes a command, given as
// words, and returns its result. The flag -update has no effect.
func RunLines(t *testing.T, path string, start func() func(t *testing.T, words []string) string) {
	t.Helper()
	ar, err := txtar.ParseFile(path)
	if err != nil || len(ar.Files) == 0 {
		t.Fatalf("%s: %v, no scripts", path, err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) {
			run := start()
			var got strings.Builder
			for line := range strings.Lines(string(f.Data)) {
				command, _, _ := strings.Cut(strings.TrimSpace(line), arrow)
				command = strings.TrimSpace(command)
				got.WriteString(command)
				if result := run(t, strings.Fields(command)); result != "" {
					got.WriteString(" " + arrow + " " + result)
				}
				got.WriteString("\n")
			}
			if diff := cmp.Diff(string(f.Data), got.String()); diff != "" {
				t.Errorf("results differ (-want +got):\n%s", diff)
			}
		})
	}
}
