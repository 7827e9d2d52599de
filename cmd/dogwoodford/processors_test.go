package main

import (
	"runtime"
	"testing"
)

// TestLimitProcessors guards against a sidecar that spreads over more processors than its
// VM has, and against one that ignores what the operator sets.
func TestLimitProcessors(t *testing.T) {
	const before = 3
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(before))
	for _, tc := range []struct {
		env  string
		want int
	}{
		{env: "2", want: before}, // The runtime has applied it at the start of a process.
		{env: "", want: sidecarProcessors},
	} {
		limitProcessors(func(string) string { return tc.env })
		if got := runtime.GOMAXPROCS(0); got != tc.want {
			t.Errorf("GOMAXPROCS=%q: %d processors, want %d", tc.env, got, tc.want)
		}
	}
}
