package dogmember_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
)

// A node learns of another node and probes it within the next second.
func Example() {
	now := time.UnixMilli(1_700_000_000_000)
	m := dogmember.New(now, dogmember.Options{
		Self: record("rounds-1", 1_700_000_000_000, dogwoodford.StateStarting),
		Rand: rand.New(rand.NewPCG(1, 1)),
		Size: func(dogmember.Update) int { return 60 },
	})
	other := record("rounds-2", 1_600_000_000_000, dogwoodford.StateReady)
	m.OnEvent(now, dogmember.NotifyArrived{
		From: "rounds-2", Message: dogmember.Message{Updates: []dogmember.Update{dogmember.MemberUpdate(other)}},
	})
	for range 11 {
		now = now.Add(100 * time.Millisecond)
		for _, act := range m.OnEvent(now, dogmember.Tick{}) {
			if p, ok := act.(dogmember.Probe); ok {
				fmt.Println("probe", p.Node, "at", p.Peer)
			}
		}
	}
	// Output:
	// probe rounds-2 at rounds-2:1
}
