package dogmember_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
)

// benchMembership returns a membership that knows n nodes, itself included.
func benchMembership(n int, now time.Time) *dogmember.Membership {
	member := func(i int) dogmember.Member {
		return dogmember.Member{
			Node: fmt.Sprintf("rounds-%03d", i), Incarnation: uint64(now.UnixMilli()), Started: uint64(now.UnixMilli()),
			Service: fmt.Sprint("service-", i%29), DataCentre: fmt.Sprint("dc-", i%6),
			Peer: fmt.Sprintf("10.0.%d.%d:7103", i/250, i%250+1), State: dogwoodford.StateReady, Slots: 45,
		}
	}
	m := dogmember.New(now, dogmember.Options{
		Self: member(0), Rand: rand.New(rand.NewPCG(1, 1)), Size: func(dogmember.Update) int { return 80 },
	})
	var all []dogmember.Update
	for i := 1; i < n; i++ {
		all = append(all, dogmember.MemberUpdate(member(i)))
	}
	m.OnEvent(now, dogmember.PullAnswered{Peer: "10.0.0.2:7103", Updates: all})
	return m
}

// BenchmarkSecond measures one second of virtual time (ten ticks and one answered
// probe) and the memory per member, by the number of members.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{6, 24, 96, 590} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			now := time.UnixMilli(1_700_000_000_000)
			m := benchMembership(n, now)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					tickAndAnswer(m, now)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/member")
			if got := m.Status().Alive; got != n {
				b.Fatalf("%d members present, want %d", got, n)
			}
		})
	}
}

func tickAndAnswer(m *dogmember.Membership, now time.Time) {
	for _, a := range m.OnEvent(now, dogmember.Tick{}) {
		if p, ok := a.(dogmember.Probe); ok {
			m.OnEvent(now, dogmember.ProbeAnswered{ID: p.ID})
		}
	}
}

// BenchmarkStep measures the handling of a probe from a peer and the calls of
// Members and Targets, by the number of members.
func BenchmarkStep(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, n := range []int{6, 24, 96, 590} {
		m := benchMembership(n, now)
		for _, v := range []struct {
			name string
			do   func()
		}{
			{"ProbeArrived", func() { m.OnEvent(now, dogmember.ProbeArrived{From: "rounds-001"}) }},
			{"Members", func() { m.Members() }},
			{"Targets", func() { m.Targets(now) }},
		} {
			b.Run(fmt.Sprintf("%s/members=%d", v.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					v.do()
				}
			})
		}
	}
}
