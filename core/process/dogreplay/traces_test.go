//go:build !race

package dogreplay

import (
	"path/filepath"
	"testing"
)

// The tests in this file replay whole traces. A replay has one goroutine, so the
// race detector finds nothing in it and makes it several times slower. The
// Makefile runs these tests without it.

// Guards against a policy that misses the objectives of docs/design.md, 1.2. All
// traces run at full length.
func TestTracesOurs(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	if err != nil || len(files) != 16 {
		t.Fatalf("%d traces, want 16 (%v)", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			replay(t, parseFile(t, file), Ours, "")
		})
	}
}

// Guards against traces that prove nothing because the baselines reach the goodput
// as well. The brief forms of four traces run to the end of the fault; the command
// dogreplay runs all of them at full length, which takes minutes.
func TestTracesBaselines(t *testing.T) {
	for _, name := range []string{"consortium-slow", "consortium-drain", "consortium-both", "factdesk-slow"} {
		for _, p := range []Policy{None, Fixed} {
			t.Run(name+"/"+p.String(), func(t *testing.T) {
				t.Parallel()
				tr := parseFile(t, "testdata/traces/"+name+".trace")
				brief(tr)
				tr.length = briefStart + briefFault
				replay(t, tr, p, "goodput")
			})
		}
	}
}
