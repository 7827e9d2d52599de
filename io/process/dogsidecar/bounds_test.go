package dogsidecar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogpipeline"
)

// TestMaxConns guards against connections that take more descriptors or memory than a node
// has, and against a bound where the settings name none.
func TestMaxConns(t *testing.T) {
	for _, c := range []struct {
		settings Settings
		divisor  int
		want     int
	}{
		{Settings{}, callerConnsDivisor, 0},
		{Settings{MaxFiles: 4100}, callerConnsDivisor, 951},
		{Settings{MaxFiles: 4100}, peerConnsDivisor, 1902},
		{Settings{MaxFiles: 10}, peerConnsDivisor, 1},
		{Settings{MemoryBytes: 184 << 20}, callerConnsDivisor, 1472},
		{Settings{MaxFiles: 8192, MemoryBytes: 184 << 20}, peerConnsDivisor, 1472},
		{Settings{MaxFiles: 4100, MemoryBytes: 536 << 20}, callerConnsDivisor, 951},
	} {
		if got := c.settings.maxConns(c.divisor); got != c.want {
			t.Errorf("%d descriptors and %d bytes: %d connections, want %d", c.settings.MaxFiles, c.settings.MemoryBytes, got, c.want)
		}
	}
}

// TestClientLimits guards against limits on clients that are stricter than the
// configuration, or do not follow it.
func TestClientLimits(t *testing.T) {
	n := &node{configs: &configs{tables: new(dogtable.Holder)}}
	want := dogpipeline.Limits{HeadTimeout: 10 * time.Second, StallTimeout: 30 * time.Second}
	if diff := cmp.Diff(want, n.clientLimits()); diff != "" {
		t.Errorf("without a configuration (-want +got):\n%s", diff)
	}
	table, err := dogtable.New(dogtable.Spec{Version: 1, Limits: dogtable.Limits{
		HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}})
	if err != nil {
		t.Fatal(err)
	}
	n.configs.tables.Offer(table)
	want = dogpipeline.Limits{HeadBytes: 32 << 10, HeadTimeout: 6 * time.Second, StallTimeout: 15 * time.Second}
	if diff := cmp.Diff(want, n.clientLimits()); diff != "" {
		t.Errorf("with a configuration (-want +got):\n%s", diff)
	}
}
