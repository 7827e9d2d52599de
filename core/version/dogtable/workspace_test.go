package dogtable

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func workspaces(specs ...WorkspaceSpec) Spec {
	s := spec(1)
	s.Workspaces = specs
	return s
}

// TestWorkspaceKeys guards against a key that opens another workspace than its own, or
// none.
func TestWorkspaceKeys(t *testing.T) {
	urgent := 0
	table, err := New(workspaces(
		WorkspaceSpec{Name: "north", Keys: []string{"n1", "n2"}, Priority: &urgent, Rate: 5, Burst: 2},
		WorkspaceSpec{Name: "south", Keys: []string{"s1"}},
		WorkspaceSpec{Name: "revoked"},
	))
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"n1": "north", "n2": "north", "s1": "south", "": "", "n": "", "n1 ": ""} {
		name := ""
		if w, ok := table.Workspace(key); ok {
			name = w.Name()
		}
		if name != want {
			t.Errorf("key %q belongs to %q, want %q", key, name, want)
		}
	}
	north, _ := table.WorkspaceNamed("north")
	south, _ := table.WorkspaceNamed("south")
	if north.Priority(3) != 0 || south.Priority(3) != 3 || !north.Limited() || south.Limited() {
		t.Errorf("priorities %d and %d on a route of priority 3, limited %t and %t; want 0 and 3, true and false",
			north.Priority(3), south.Priority(3), north.Limited(), south.Limited())
	}
}

// TestInvalidWorkspaces guards against configurations in which a key belongs to two
// workspaces or a quota has no meaning, and against keys in error messages.
func TestInvalidWorkspaces(t *testing.T) {
	negative := -1
	for name, s := range map[string]Spec{
		"no name":           workspaces(WorkspaceSpec{Keys: []string{"secret"}}),
		"line break":        workspaces(WorkspaceSpec{Name: "a\r\nb"}),
		"two of a name":     workspaces(WorkspaceSpec{Name: "a"}, WorkspaceSpec{Name: "a"}),
		"shared key":        workspaces(WorkspaceSpec{Name: "a", Keys: []string{"secret"}}, WorkspaceSpec{Name: "b", Keys: []string{"secret"}}),
		"empty key":         workspaces(WorkspaceSpec{Name: "a", Keys: []string{""}}),
		"control character": workspaces(WorkspaceSpec{Name: "a", Keys: []string{"secret\x01"}}),
		"negative rate":     workspaces(WorkspaceSpec{Name: "a", Rate: -1}),
		"infinite burst":    workspaces(WorkspaceSpec{Name: "a", Burst: math.Inf(1)}),
		"negative priority": workspaces(WorkspaceSpec{Name: "a", Priority: &negative}),
	} {
		_, err := New(s)
		if !errors.Is(err, ErrTable) {
			t.Errorf("%s: error %v, want ErrTable", name, err)
		} else if strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error shows a key: %v", name, err)
		}
	}
}
