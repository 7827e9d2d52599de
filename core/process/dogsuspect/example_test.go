package dogsuspect_test

import (
	"fmt"
	"time"

	"dogwoodford/core/process/dogsuspect"
)

// A request that was in progress at the death of two targets, with no other
// suspect in progress at the second, is refused at every target.
func Example() {
	now := time.Unix(1e6, 0)
	s := dogsuspect.New(dogsuspect.Options{})
	g := dogsuspect.NewGate()

	g.Start(now, s.View(), "call-1", 7)
	g.Start(now, s.View(), "call-2", 8)
	s.OnEvent(now, dogsuspect.TargetDied{ID: "rounds-1/1/1", Service: "rounds", Digests: g.RecordDeath()})
	fmt.Println(s.View().Lookup(now, 7).Standing)

	// Another node reports the next death.
	now = now.Add(time.Second)
	s.OnEvent(now, dogsuspect.ReportArrived{Report: dogsuspect.Report{
		Digests: []uint64{7}, Service: "rounds", At: now, Death: "rounds-2/1/1",
	}})
	v := g.Start(now, s.View(), "call-3", 7)
	fmt.Println(s.View().Lookup(now, 7).Standing, v.Reason(), v.RetryAfter())
	// Output:
	// suspected
	// quarantined quarantined 15m0s
}
