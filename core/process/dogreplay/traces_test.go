//go:build !race

package dogreplay

import (
	"path/filepath"
	"testing"
)

// The tests of this file replay whole traces. The replay has one goroutine, so
// the race detector finds nothing in it and makes it several times slower; the
// Makefile runs them without it.

// Guards against a policy that no longer meets the objectives of design section
// 1.2. All traces run at full length.
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

// Guards against traces that prove nothing because the baselines hold as well.
// Brief forms of four traces run to the end of the cause; cmd/dogreplay runs
// all of them at full length, which takes minutes.
func TestTracesBaselines(t *testing.T) {
	for _, name := range []string{"consortium-slow", "consortium-drain", "consortium-both", "factdesk-slow"} {
		for _, p := range []Policy{None, Fixed} {
			t.Run(name+"/"+p.String(), func(t *testing.T) {
				t.Parallel()
				tr := parseFile(t, "testdata/traces/"+name+".trace")
				brief(tr)
				tr.length = briefStart + briefCause
				replay(t, tr, p, "goodput")
			})
		}
	}
}
