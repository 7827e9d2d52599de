package dogcli

import (
	"encoding/json"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"golang.org/x/tools/txtar"

	"dogwoodford"
	"dogwoodford/io/process/dogstatus"
)

// TestScripts runs the scripts in testdata; each says which failure it guards
// against. The files "object NAME" are what the platform holds, the files
// "node ADDRESS" the status of nodes, "metrics ADDRESS" their metrics. The clock starts at 2000-01-01 00:00 UTC
// and is paused. Lines of the file "script":
//
//	lose N effect|none   the next N writes are not answered and do or do not take effect
//	down                 the platform answers no read
//	run CODE ARGUMENTS   runs a command, which ends with CODE
//	out TEXT             the output of the last command, both streams, holds TEXT
//	json TEXT            the last command with --json: compact output holds TEXT
//	object NAME VALUE    the platform holds VALUE
//	released DIGESTS     the releases that nodes took so far, address:digest
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { runScript(t, a) })
		})
	}
}

type script struct {
	*testing.T
	p    *fakePlatform
	ns   nodes
	last result
	args []string
}

func runScript(t *testing.T, a *txtar.Archive) {
	s := &script{T: t, p: newFakePlatform(), ns: nodes{}}
	var lines string
	for _, f := range a.Files {
		kind, name, _ := strings.Cut(f.Name, " ")
		switch kind {
		case "object":
			if _, err := s.p.write(name, 0, []byte(strings.TrimSpace(string(f.Data)))); err != nil {
				t.Fatal(err)
			}
		case "node":
			var st dogstatus.Status
			if err := json.Unmarshal(f.Data, &st); err != nil {
				t.Fatal(err)
			}
			s.ns[name] = func() dogstatus.Status { return st }
		case "metrics":
			text := string(f.Data)
			s.ns[metrics+name] = func() dogstatus.Status { return dogstatus.Status{Problems: []string{text}} }
		case "script":
			lines = string(f.Data)
		default:
			t.Fatalf("file %q", f.Name)
		}
	}
	for line := range strings.Lines(lines) {
		if line = strings.TrimSpace(line); line != "" {
			s.line(line)
		}
	}
}

func (s *script) line(line string) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "lose":
		n, effect, _ := strings.Cut(rest, " ")
		count, err := strconv.Atoi(n)
		if err != nil {
			s.Fatal(err)
		}
		s.p.puts, s.p.put = 0, lose(count, effect == "effect", nil)
	case "down":
		s.p.get = func() error { return dogwoodford.ErrUnavailable }
	case "run":
		code, args, _ := strings.Cut(rest, " ")
		s.args = strings.Fields(args)
		s.last = run(s.T, s.p, s.ns, s.args...)
		if strconv.Itoa(s.last.code) != code {
			s.Errorf("%s: code %d\n%s%s", line, s.last.code, s.last.stdout, s.last.stderr)
		}
	case "out":
		if out := s.last.stdout + s.last.stderr; !strings.Contains(strings.Join(strings.Fields(out), " "), rest) {
			s.Errorf("%v: output lacks %q:\n%s", s.args, rest, out)
		}
	case "json":
		s.json(rest)
	case "object":
		name, want, _ := strings.Cut(rest, " ")
		if got := string(s.p.objects[name].Value); got != want {
			s.Errorf("after %v: %s holds %s, want %s", s.args, name, got, want)
		}
	case "released":
		if got := strings.Join(releases(s.ns), " "); got != rest {
			s.Errorf("after %v: released %q, want %q", s.args, got, rest)
		}
	default:
		s.Fatalf("line %q", line)
	}
}

func (s *script) json(want string) {
	res := run(s.T, s.p, s.ns, append(s.args, "--json")...)
	var v any
	if err := json.Unmarshal([]byte(res.stdout), &v); err != nil || res.stderr != "" {
		s.Errorf("%v --json: %v in %s%s", s.args, err, res.stdout, res.stderr)
		return
	}
	got, err := json.Marshal(v)
	if err != nil || !strings.Contains(string(got), want) {
		s.Errorf("%v --json: %s lacks %s", s.args, got, want)
	}
}
