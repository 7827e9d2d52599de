package dogfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDeployments guards against contracts in the repository that nodes would
// reject, and against shedding any class after round sheets and verdict look-ups.
// The sizes are those of section 1.1 of docs/design.md.
func TestDeployments(t *testing.T) {
	for _, d := range []struct {
		name, last string
		customers  []string
		slots      map[string]int
	}{
		{"consortium", "round-sheet", []string{"firm-1", "firm-2", "firm-3"},
			map[string]int{"rounds": 180, "billing": 180, "evidence": 180, "depot": 45}},
		{"factdesk", "verdict-lookup", []string{"team-desk", "team-mesh"},
			map[string]int{"archive": 700, "verdicts": 700, "evidence": 700, "dispatch": 120}},
	} {
		files, err := ReadFolder(filepath.Join("../../../contracts", d.name))
		if err != nil {
			t.Fatal(err)
		}
		var customers []string
		for _, f := range files {
			customers = append(customers, f.Contract.Customer())
			checkFile(t, f, d.last, d.slots)
		}
		if diff := cmp.Diff(d.customers, customers); diff != "" {
			t.Errorf("%s: customers: -want +got:\n%s", d.name, diff)
		}
	}
}

func checkFile(t *testing.T, f File, last string, wantSlots map[string]int) {
	c := f.Contract.Consequences(3)
	if diff := cmp.Diff([]string{last}, c.Shed[len(c.Shed)-1].Classes); diff != "" {
		t.Errorf("%s: shed last: -want +got:\n%s", f.Path, diff)
	}
	slots := map[string]int{}
	for _, n := range c.Capacity {
		slots[n.Service] = n.Slots
	}
	if diff := cmp.Diff(wantSlots, slots); diff != "" {
		t.Errorf("%s: slots: -want +got:\n%s", f.Path, diff)
	}
	if !f.Contract.Authorized(f.Contract.Customer() + "-sample-credential") {
		t.Errorf("%s: the sample credential from the comment is rejected", f.Path)
	}
	for _, cl := range f.Contract.Classes() {
		want := !strings.Contains(" collection invoice verdict-publication dispatch-notice ", " "+cl.Name()+" ")
		if cl.Idempotent() != want {
			t.Errorf("%s: class %s: idempotent %v, want %v", f.Path, cl.Name(), cl.Idempotent(), want)
		}
	}
}

// TestReadFolder guards against an error in one file that hides those in others.
func TestReadFolder(t *testing.T) {
	dir := t.TempDir()
	if _, err := ReadFolder(dir); !errors.Is(err, ErrEmpty) {
		t.Errorf("empty folder: %v", err)
	}
	good, err := os.ReadFile("../../../contracts/consortium/firm-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"firm-1.ini": string(good), "firm-2.ini": string(good), "firm-3.ini": "[contract]\n", "notes.txt": "x",
		"large.ini": strings.Repeat(";\n", 300<<10),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	files, err := ReadFolder(dir)
	if len(files) != 1 || !errors.Is(err, ErrName) {
		t.Errorf("%d files, error %v, want 1 and a wrong name", len(files), err)
	}
	for _, part := range []string{"firm-3.ini: [contract] customer: the key is missing", "large.ini: the file has"} {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("error %v does not contain %q", err, part)
		}
	}
	if _, err := Read(filepath.Join(dir, "absent.ini")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("absent file: %v", err)
	}
}
