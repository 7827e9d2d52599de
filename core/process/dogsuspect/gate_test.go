package dogsuspect

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestDeathWithManyRequests guards against a report that leaves out the request that
// started last, and so probably caused the death, because its digest is large.
func TestDeathWithManyRequests(t *testing.T) {
	g := NewGate()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for d := uint64(1); d <= 2*MaxDigests; d++ {
		g.Start(now, nil, fmt.Sprint(d), d)
	}
	got := g.RecordDeath()
	if len(got) != MaxDigests || !slices.IsSorted(got) || !slices.Contains(got, 2*MaxDigests) {
		t.Errorf("death with digests 1 to %d: %d digests %v, want %d that contain the last", 2*MaxDigests, len(got), got, MaxDigests)
	}
}
