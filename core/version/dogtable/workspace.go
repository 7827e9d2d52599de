package dogtable

import (
	"crypto/sha256"
	"fmt"
	"iter"
	"maps"
	"math"
)

// WorkspaceSpec is the definition of a Workspace.
type WorkspaceSpec struct {
	Name string
	Keys []string // Keys of its callers, each of one workspace only.
	// KeyHashes are further keys, known by their hashes.
	KeyHashes []KeyHash
	// Priority replaces the priority of routes for requests of the workspace; nil
	// leaves it as it is.
	Priority *int
	Rate     float64 // Requests per second over all nodes; 0 means no limit.
	Burst    float64 // Requests beyond the rate that may come at once.
}

// Workspace is a tenant: a group of callers that share keys, a priority and a quota. It is
// immutable.
type Workspace struct {
	name        string
	priority    int
	hasPriority bool
	rate        float64
	burst       float64
}

// Name returns the name of the workspace.
func (w *Workspace) Name() string { return w.name }

// Priority returns the priority of its requests on a route with the given priority.
func (w *Workspace) Priority(route int) int {
	if w.hasPriority {
		return w.priority
	}
	return route
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool { return w.rate > 0 }

// Rate returns the number of requests per second that the quota permits.
func (w *Workspace) Rate() float64 { return w.rate }

// Burst returns the number of requests beyond the rate that may come at once.
func (w *Workspace) Burst() float64 { return w.burst }

// KeyHash identifies a key. Lookups compare hashes, so that their time tells nothing of
// the keys, and a table holds no key in clear.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// addWorkspaces checks the definitions of workspaces and adds them to t. Errors name the
// workspace, but not the key.
func (t *Table) addWorkspaces(specs []WorkspaceSpec) error {
	t.workspaces = make(map[string]*Workspace, len(specs))
	t.keys = make(map[KeyHash]*Workspace)
	for _, spec := range specs {
		if err := spec.check(); err != nil {
			return fmt.Errorf("workspace %q: %w", spec.Name, err)
		}
		if _, ok := t.workspaces[spec.Name]; ok {
			return fmt.Errorf("workspace %q: defined twice: %w", spec.Name, ErrTable)
		}
		w := &Workspace{name: spec.Name, rate: spec.Rate, burst: spec.Burst}
		if spec.Priority != nil {
			w.priority, w.hasPriority = *spec.Priority, true
		}
		t.workspaces[spec.Name] = w
		for i, hash := range spec.hashes() {
			if other, ok := t.keys[hash]; ok && other != w {
				return fmt.Errorf("workspace %q: key %d is also one of workspace %q: %w", spec.Name, i, other.name, ErrTable)
			}
			t.keys[hash] = w
		}
	}
	return nil
}

// hashes returns the hashes of all keys.
func (s WorkspaceSpec) hashes() []KeyHash {
	out := make([]KeyHash, 0, len(s.Keys)+len(s.KeyHashes))
	for _, key := range s.Keys {
		out = append(out, HashKey(key))
	}
	return append(out, s.KeyHashes...)
}

func (s WorkspaceSpec) check() error {
	if s.Name == "" {
		return fmt.Errorf("no name: %w", ErrTable)
	}
	if !validHeaderValue(s.Name) {
		return fmt.Errorf("name has characters that a header cannot carry: %w", ErrTable)
	}
	if s.Priority != nil && *s.Priority < 0 {
		return fmt.Errorf("priority %d: %w", *s.Priority, ErrTable)
	}
	for name, v := range map[string]float64{"rate": s.Rate, "burst": s.Burst} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%s %v: %w", name, v, ErrTable)
		}
	}
	for i, key := range s.Keys {
		if key == "" || !validHeaderValue(key) {
			return fmt.Errorf("key %d is empty or has characters that a header cannot carry: %w", i, ErrTable)
		}
	}
	return nil
}

// validHeaderValue reports whether text arrives unchanged as the value of a header.
func validHeaderValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return text == "" || text[0] != ' ' && text[0] != '\t' && text[len(text)-1] != ' ' && text[len(text)-1] != '\t'
}

// HasWorkspaces reports whether callers need a key on routes that are not public.
func (t *Table) HasWorkspaces() bool { return len(t.workspaces) > 0 }

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[HashKey(key)]
	return w, ok
}

// WorkspaceNamed returns the workspace with the given name.
func (t *Table) WorkspaceNamed(name string) (*Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Workspaces returns all workspaces.
func (t *Table) Workspaces() iter.Seq[*Workspace] { return maps.Values(t.workspaces) }
