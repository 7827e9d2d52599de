package dogrange

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"
)

var seedCount = flag.Uint64("seeds", 2000, "schedules that TestNoKeyRunsTwice tries")

// forEachSeed runs f for all seeds below n on a few goroutines.
func forEachSeed(n uint64, f func(seed uint64)) {
	var next atomic.Uint64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < n; seed = next.Add(1) - 1 {
				f(seed)
			}
		})
	}
	wg.Wait()
}

// TestNoKeyRunsTwice guards against schedules of failures in which a key runs
// twice, a refused attempt runs, or windows overlap.
func TestNoKeyRunsTwice(t *testing.T) {
	seeds := *seedCount
	var runs, refused atomic.Int64
	forEachSeed(seeds, func(seed uint64) {
		s := simulate(seed, nil, brokenRules{}, "")
		if s.violation != "" {
			t.Errorf("seed %d: %s", seed, s.violation)
		}
		runs.Add(int64(s.runs))
		refused.Add(int64(s.refused))
	})
	t.Logf("%d seeds: %d keys ran, %d attempts were told \"not run\"", seeds, runs.Load(), refused.Load())
	if runs.Load() < int64(seeds)*100 {
		t.Errorf("only %d keys ran: the schedules leave too little traffic to show anything", runs.Load())
	}
}

// TestRangesRecover guards against a range whose keys are still refused after the
// faults have ended, although its owner, its witness or a process on the owner's
// address is running.
func TestRangesRecover(t *testing.T) {
	const faultsEnd, until = 30_000, 90_000
	var lost, moved atomic.Int64
	forEachSeed(600, func(seed uint64) {
		s := newSim(seed, nil, brokenRules{}, "")
		s.runUntil(faultsEnd, until)
		v, _ := ParseValue(s.objs[ObjectName("s", 0)].Value)
		stuck, alive := true, false
		for _, n := range s.nodes {
			for _, issuer := range s.nodes {
				// Clocks differ, so a key issued by one node may fall into the next window.
				stuck = stuck && !(n.up && n.table.MayRun(s.clock(n), s.key(0, s.clock(issuer))).OK())
			}
			alive = alive || n.up && (n.peer == v.OwnerPeer || n.name() == v.Witness && uint64(n.inc) == v.WitnessIncarnation)
		}
		switch {
		case stuck && alive:
			t.Errorf("seed %d: range is refused at the end: %+v", seed, v)
		case stuck:
			lost.Add(1)
		}
		moved.Add(v.Epoch - 1)
	})
	t.Logf("%d changes of epoch; owner and witness both lost for good in %d of 600 schedules", moved.Load(), lost.Load())
}

// TestEachRuleIsNeeded guards against a simulation that cannot find faults, and
// shows that each rule is needed: with one rule broken, some schedule violates a
// check.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, tt := range []struct {
		rule   string
		broken brokenRules
		skip   string
	}{
		{rule: "failover starts below the recorded end", broken: brokenRules{startBelowEnd: true}},
		{rule: "promise forgotten at failover", broken: brokenRules{forgetPromise: true}},
		{rule: "promise while a failover write is in doubt", broken: brokenRules{promiseInDoubt: true}},
		{rule: "restarted witness takes over", broken: brokenRules{anyIncarnation: true}},
		{rule: "restarted owner starts at the recorded end", broken: brokenRules{restartAtEnd: true}},
		{rule: "handover leaves the window of the old owner", broken: brokenRules{noCap: true}},
		{rule: "unanswered handover counts as not written", broken: brokenRules{unansweredIsFailure: true}},
		{rule: "cap without dogrecord", skip: "cap"},
		{rule: "transfer without closing the epoch", skip: "close"},
		{rule: "transfer without the horizon of the sender", skip: "horizon"},
		{rule: "transfer without the records", skip: "import"},
	} {
		t.Run(tt.rule, func(t *testing.T) {
			t.Parallel()
			const most = 4000
			for seed := range uint64(most) {
				if s := simulate(seed, nil, tt.broken, tt.skip); s.violation != "" {
					t.Logf("found with seed %d: %s", seed, s.violation)
					return
				}
			}
			t.Errorf("no violation in %d seeds", most)
		})
	}
}

// FuzzSchedule guards against violations in schedules that random seeds do not
// produce.
func FuzzSchedule(f *testing.F) {
	f.Fuzz(func(t *testing.T, seed uint64, schedule []byte) {
		if s := simulate(seed, schedule, brokenRules{}, ""); s.violation != "" {
			t.Error(s.violation)
		}
	})
}
