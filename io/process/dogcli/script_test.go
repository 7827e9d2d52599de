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

// TestScripts runs the scripts in testdata. The comment at the head of each script
// says which failure it guards against. A file "object NAME" is an object in the
// platform, "node ADDRESS" the status of a node and "metrics ADDRESS" its metrics.
// The clock starts at 2000-01-01 00:00 UTC and advances only while commands wait.
// Lines of the file "script":
//
//	lose N effect|none   the next N writes are not answered and do or do not take effect
//	down                 the platform answers no read
//	run CODE ARGUMENTS   runs a command and expects the exit code CODE
//	out TEXT             expects TEXT in the output of the last command on either stream,
//	                     with runs of white space as one space
//	json TEXT            runs the last command again with --json and expects TEXT in the
//	                     compacted output
//	object NAME VALUE    expects VALUE as the content of an object of the platform
//	released DIGESTS     expects the releases that nodes have accepted, as address:digest
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
	platform *fakePlatform
	nodes    fakeNodes
	last     commandResult
	args     []string
}

func runScript(t *testing.T, a *txtar.Archive) {
	s := &script{T: t, platform: newFakePlatform(), nodes: fakeNodes{}}
	var lines string
	for _, f := range a.Files {
		kind, name, _ := strings.Cut(f.Name, " ")
		switch kind {
		case "object":
			if _, err := s.platform.write(name, 0, []byte(strings.TrimSpace(string(f.Data)))); err != nil {
				t.Fatal(err)
			}
		case "node":
			var st dogstatus.Status
			if err := json.Unmarshal(f.Data, &st); err != nil {
				t.Fatal(err)
			}
			s.nodes[name] = func() dogstatus.Status { return st }
		case "metrics":
			text := string(f.Data)
			s.nodes[metricsPrefix+name] = func() dogstatus.Status { return dogstatus.Status{Problems: []string{text}} }
		case "script":
			lines = string(f.Data)
		default:
			t.Fatalf("file %q is of an unknown kind", f.Name)
		}
	}
	for line := range strings.Lines(lines) {
		if line = strings.TrimSpace(line); line != "" {
			s.runLine(line)
		}
	}
}

func (s *script) runLine(line string) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "lose":
		n, effect, _ := strings.Cut(rest, " ")
		count, err := strconv.Atoi(n)
		if err != nil {
			s.Fatal(err)
		}
		s.platform.putCount, s.platform.onPut = 0, loseAnswers(count, effect == "effect", nil)
	case "down":
		s.platform.onGet = func() error { return dogwoodford.ErrUnavailable }
	case "run":
		code, args, _ := strings.Cut(rest, " ")
		s.args = strings.Fields(args)
		s.last = runCommand(s.T, s.platform, s.nodes, s.args...)
		if strconv.Itoa(s.last.code) != code {
			s.Errorf("%s: code %d\n%s%s", line, s.last.code, s.last.stdout, s.last.stderr)
		}
	case "out":
		if out := s.last.stdout + s.last.stderr; !strings.Contains(strings.Join(strings.Fields(out), " "), rest) {
			s.Errorf("%v: output lacks %q:\n%s", s.args, rest, out)
		}
	case "json":
		s.checkJSON(rest)
	case "object":
		name, want, _ := strings.Cut(rest, " ")
		if got := string(s.platform.objects[name].Value); got != want {
			s.Errorf("after %v: %s holds %s, want %s", s.args, name, got, want)
		}
	case "released":
		if got := strings.Join(releases(s.nodes), " "); got != rest {
			s.Errorf("after %v: released %q, want %q", s.args, got, rest)
		}
	default:
		s.Fatalf("line %q begins with an unknown verb", line)
	}
}

func (s *script) checkJSON(want string) {
	res := runCommand(s.T, s.platform, s.nodes, append(s.args, "--json")...)
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
