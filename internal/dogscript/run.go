package dogscript

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "write the results into the scripts")

// Run runs each txtar archive in testdata as a subtest. For each, start returns
// the function that executes a command, given as words, and writes its results to
// out, one per line.
func Run(t *testing.T, start func(out *strings.Builder) func(t *testing.T, words []string)) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			var out strings.Builder
			runFile(t, path, &out, start(&out))
		})
	}
}

func runFile(t *testing.T, path string, out *strings.Builder, run func(t *testing.T, words []string)) {
	t.Helper()
	ar, err := txtar.ParseFile(path)
	if err != nil || len(ar.Files) == 0 {
		t.Fatalf("%s: %v, %d files", path, err, len(ar.Files))
	}
	for line := range strings.Lines(string(ar.Files[0].Data)) {
		out.WriteString("> " + line)
		run(t, strings.Fields(line))
	}
	if *update {
		ar.Files = append(ar.Files[:1], txtar.File{Name: "want", Data: []byte(out.String())})
		if err := os.WriteFile(path, txtar.Format(ar), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if len(ar.Files) != 2 {
		t.Fatalf("%s: %d files, want script and want", path, len(ar.Files))
	}
	if diff := cmp.Diff(string(ar.Files[1].Data), out.String()); diff != "" {
		t.Errorf("results differ (-want +got):\n%s", diff)
	}
}
