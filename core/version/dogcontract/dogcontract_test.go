package dogcontract

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"dogwoodford/core/version/dogini"
)

// archive returns the files of a txtar archive in testdata, by name.
func archive(t testing.TB, name string) map[string]string {
	t.Helper()
	a, err := txtar.ParseFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	files := make(map[string]string)
	for _, f := range a.Files {
		files[f.Name] = string(f.Data)
	}
	return files
}

func mustParse(t testing.TB, text string) *Contract {
	t.Helper()
	c, err := Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestParse guards against invalid contracts that are accepted, and against
// problems that are reported without file, section or key, or one at a time.
// Each case edits base.ini.
func TestParse(t *testing.T) {
	files := archive(t, "parse.txtar")
	base := files["base.ini"]
	mustParse(t, base)
	for name, edit := range files {
		if name == "base.ini" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			text, want := applyEdit(t, base, edit)
			_, err := Parse("f.ini", []byte(text))
			got := ""
			var ps dogini.Problems
			if errors.As(err, &ps) {
				got = ps.Error()
			}
			if diff := cmp.Diff(strings.TrimSpace(want), got); diff != "" {
				t.Errorf("problems: -want +got:\n%s", diff)
			}
		})
	}
}

// applyEdit applies an edit of parse.txtar to text and returns the result and the
// wanted problems. "- line" removes a line, "+ [section] | line" adds one at the
// head of a section, "+ line" adds one at the end, "= text" is a wanted problem.
func applyEdit(t *testing.T, text, edit string) (string, string) {
	var old, want string
	for line := range strings.Lines(edit) {
		mark, rest, _ := strings.Cut(strings.TrimRight(line, "\n"), " ")
		switch mark {
		case "-":
			if strings.Count(text, rest+"\n") < 1 {
				t.Fatalf("the base has no line %q", rest)
			}
			old = rest
			text = strings.Replace(text, rest+"\n", "", 1)
		case "+":
			// Without a section, the line goes to the end of the text.
			section, key, found := strings.Cut(rest, " | ")
			if !found {
				text += rest + "\n"
				break
			}
			text = strings.Replace(text, section+"\n", section+"\n"+key+"\n", 1)
		case "=":
			want += rest + "\n"
		default:
			t.Fatalf("line %q after %q", line, old)
		}
	}
	return text, want
}

// TestMatch guards against requests that do not get the class with the longest
// matching prefix, for instance a non-idempotent request treated as idempotent.
func TestMatch(t *testing.T) {
	files := archive(t, "match.txtar")
	c := mustParse(t, files["contract.ini"])
	for line := range strings.Lines(files["requests"]) {
		f := strings.Fields(line)
		got := "-"
		if cl, ok := c.Match(f[0], f[1], f[2]); ok {
			got = cl.Name()
		}
		if got != f[3] {
			t.Errorf("Match(%s, %s, %s) = %s, want %s", f[0], f[1], f[2], got, f[3])
		}
	}
}

// TestAuthorized guards against refusing the old or the new credential during a
// rotation, and against accepting wrong ones.
func TestAuthorized(t *testing.T) {
	base := archive(t, "parse.txtar")["base.ini"]
	digest := func(s string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(s))) }
	c := mustParse(t, strings.Replace(base, "credential = ", "credential = "+digest("new")+", ", 1))
	for credential, want := range map[string]bool{"secret": true, "new": true, "": false, "Secret": false, digest("new"): false} {
		if got := c.Authorized(credential); got != want {
			t.Errorf("Authorized(%q) = %v, want %v", credential, got, want)
		}
	}
}

// TestDiff guards against differences that are not shown to the operator.
func TestDiff(t *testing.T) {
	files := archive(t, "diff.txtar")
	before, after := mustParse(t, files["before.ini"]), mustParse(t, files["after.ini"])
	var got string
	for _, ch := range Diff(before, after) {
		got += ch.String() + "\n"
	}
	if diff := cmp.Diff(files["want"], got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	if d := Diff(before, before); len(d) != 0 {
		t.Errorf("a contract differs from itself: %v", d)
	}
	if n, total := len(Diff(nil, before)), len(before.flatten()); n != total {
		t.Errorf("%d changes from nothing, want %d", n, total)
	}
}

// TestSetGeneration guards against losing comments, or changing another line that
// looks like a generation, when a contract is applied.
func TestSetGeneration(t *testing.T) {
	base := archive(t, "parse.txtar")["base.ini"]
	got, err := SetGeneration([]byte(base), 12)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Replace(base, "generation = 3 ", "generation = 12 ", 1)
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	for _, bad := range []string{"", base + "[contract]\ngeneration = 4\n", strings.Replace(base, "generation = 3", "generation = `3`", 1)} {
		if _, err := SetGeneration([]byte(bad), 12); err == nil {
			t.Errorf("SetGeneration accepts\n%s", bad)
		}
	}
	if _, err := SetGeneration([]byte(base), 0); !errors.Is(err, ErrGeneration) {
		t.Errorf("generation 0: %v", err)
	}
}

// TestConsequences guards against showing operators a wrong shedding order or a
// bound that is too low.
func TestConsequences(t *testing.T) {
	got := mustParse(t, archive(t, "parse.txtar")["base.ini"]).Consequences(3)
	want := Consequences{
		Depth: 3,
		Shed:  []ShedStep{{3, []string{"invoice"}}, {7, []string{"sheet", "status"}}},
		Attempts: []AttemptBound{
			{"sheet", 9, 3, 27}, {"status", 3, 1, 1}, {"invoice", 6, 2, 8},
		},
		Capacity: []ServiceCapacity{
			{"rounds", 180, 135, 1440, map[string]float64{"sheet": 90, "status": 180}},
			{"billing", 60, 0, 450, map[string]float64{"invoice": 6}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// FuzzParse guards against panics on any text, against a Match that differs from
// a linear search, and against a SetGeneration that returns a text without the
// new generation.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"parse.txtar", "match.txtar", "diff.txtar"} {
		for _, text := range archive(f, name) {
			f.Add([]byte(text), "/sheets/1")
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, path string) {
		c, err := Parse("f.ini", data)
		if err != nil {
			return
		}
		compareMatch(t, c, path)
		if len(Diff(c, c)) != 0 {
			t.Error("a contract differs from itself")
		}
		if out, err := SetGeneration(data, 77); err == nil {
			if c2 := mustParse(t, string(out)); c2.Generation() != 77 {
				t.Errorf("generation %d, want 77", c2.Generation())
			}
		}
	})
}

func compareMatch(t *testing.T, c *Contract, path string) {
	for _, s := range c.services {
		for _, m := range methods {
			got, _ := c.Match(s.name, m, path)
			if want := matchLinear(c, s.name, m, path); got != want {
				t.Errorf("Match(%s, %s, %q) = %v, want %v", s.name, m, path, got, want)
			}
		}
	}
}

// matchLinear is the reference implementation of Match, a linear search through
// all classes.
func matchLinear(c *Contract, service, method, path string) *Class {
	var best *Class
	if !canonical(path) {
		return nil
	}
	for i := range c.classes {
		cl := &c.classes[i]
		if cl.service == service && strings.Contains(","+strings.Join(cl.methods, ",")+",", ","+method+",") &&
			strings.HasPrefix(path, cl.path) && (best == nil || len(cl.path) > len(best.path)) {
			best = cl
		}
	}
	return best
}

// BenchmarkMatch measures Match, which runs for each request, by the number of
// classes of one service.
func BenchmarkMatch(b *testing.B) {
	head, err := os.ReadFile("testdata/bench.ini")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{5, 50, 500} {
		text := string(head)
		for i := range n {
			text += fmt.Sprintf("[class c%d]\nservice = rounds\nmethod = GET\npath = /area%d/sheets/\nimportance = 7\n"+
				"idempotent = yes\ndeadline = 2s\nretries = 2\nmax_body = 64KiB\n", i, i)
		}
		c := mustParse(b, text)
		path := fmt.Sprintf("/area%d/sheets/2026-12-04/route/17", n/2)
		b.Run(fmt.Sprintf("classes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := c.Match("rounds", "GET", path); !ok {
					b.Fatal("no class")
				}
			}
		})
	}
}

// BenchmarkAuthorized measures the credential check, which runs for each request.
func BenchmarkAuthorized(b *testing.B) {
	c := mustParse(b, archive(b, "parse.txtar")["base.ini"])
	for b.Loop() {
		if !c.Authorized("secret") {
			b.Fatal("refused")
		}
	}
}
