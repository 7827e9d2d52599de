package dogsettings

import (
	"errors"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"dogwoodford/core/version/dogini"
)

// TestParse guards against settings that differ from the file, and against a check
// that reports only the first of several problems.
func TestParse(t *testing.T) {
	a, err := txtar.ParseFile("testdata/settings.txtar")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, f := range a.Files {
		files[f.Name] = string(f.Data)
	}
	full := Settings{
		Node:     Node{Name: "rounds-1", Service: "rounds", DataCentre: "midrand"},
		Listen:   Listen{Entry: "127.0.0.1:7101", Exit: "127.0.0.1:7102", Peer: "127.0.0.1:7103", Admin: "127.0.0.1:7104"},
		Target:   Target{Address: "127.0.0.1:7105", Slots: 45, Connections: 360, HealthPath: "/healthz", LoadPath: "/loadz"},
		Platform: Platform{Address: "127.0.0.1:7000"},
		Peer:     Peer{Key: "0123456789abcdef", Seeds: []string{"127.0.0.1:7203", "127.0.0.1:7303"}},
		Trace:    Trace{Exporter: ExporterOTLP, Endpoint: "127.0.0.1:4318"},
		Log:      Log{Level: slog.LevelDebug, Format: FormatText},
	}
	minimal := full
	minimal.Target.HealthPath, minimal.Target.LoadPath = "/health", "/load"
	minimal.Peer.Seeds = nil
	minimal.Trace = Trace{Exporter: ExporterNone}
	minimal.Log = Log{Level: slog.LevelInfo, Format: FormatJSON}
	for name, want := range map[string]Settings{"full.ini": full, "minimal.ini": minimal} {
		got, err := Parse(name, []byte(files[name]))
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("%s: error %v; -want +got:\n%s", name, err, diff)
		}
	}
	for name, edit := range files {
		if strings.HasSuffix(name, ".ini") {
			continue
		}
		text, want := applyEdit(t, files["full.ini"], edit)
		_, err := Parse("f.ini", []byte(text))
		var ps dogini.Problems
		errors.As(err, &ps)
		if diff := cmp.Diff(strings.TrimSpace(want), ps.Error()); diff != "" {
			t.Errorf("%s: -want +got:\n%s", name, diff)
		}
	}
	if _, err := Load("testdata/absent.ini"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("absent file: %v", err)
	}
}

func applyEdit(t *testing.T, text, edit string) (edited, want string) {
	old := ""
	for line := range strings.Lines(edit) {
		mark, rest, _ := strings.Cut(strings.TrimRight(line, "\n"), " ")
		switch mark {
		case "-":
			if old = rest; !strings.Contains(text, old+"\n") {
				t.Fatalf("full.ini has no line %q", old)
			}
		case "+":
			text = strings.Replace(text, old+"\n", rest+"\n", 1)
		case "=":
			want += rest + "\n"
		}
	}
	return text, want
}
