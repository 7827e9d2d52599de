package dogscript

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

// arrow parts a command from its result.
const arrow = "->"

// RunLines runs the scripts of one archive as subtests, each a file of it. A
// line holds a command and, after "->", its result; a command without a result
// has no arrow. For each script, start returns the function that executes a
// command, given as words, and returns its result.
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
