package dognode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCataloguesInUse guards against metrics that always show 0 and events that
// are never logged: each variable of the two tables is used by code outside of
// its package.
func TestCataloguesInUse(t *testing.T) {
	used := selectors(t, "../../..")
	for table, pkg := range map[string]string{
		"../dogmetric/metrics.go": "dogmetric", "../doglog/events.go": "doglog",
	} {
		var unused []string
		names := variables(t, table)
		for _, name := range names {
			if !used[pkg+"."+name] {
				unused = append(unused, name)
			}
		}
		if diff := cmp.Diff([]string(nil), unused); diff != "" || len(names) < 40 {
			t.Errorf("%s: %d entries, of which nothing uses:\n%s", table, len(names), diff)
		}
	}
}

// variables returns the package variables that a file declares.
func variables(t *testing.T, file string) (names []string) {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.VAR {
			continue
		}
		for _, s := range g.Specs {
			for _, id := range s.(*ast.ValueSpec).Names {
				names = append(names, id.Name)
			}
		}
	}
	return names
}

// selectors returns all expressions of the form package.Name in code that is
// neither a test nor generated.
func selectors(t *testing.T, root string) map[string]bool {
	out := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case e.IsDir() && slices.Contains([]string{"testdata", "tools", "bin", ".git"}, e.Name()):
			return filepath.SkipDir
		case e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go"):
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if id, ok := s.X.(*ast.Ident); ok {
					out[id.Name+"."+s.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
