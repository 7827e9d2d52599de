package dogrange

import (
	"fmt"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogrecord"
)

// probe offers keys of all ranges to the first node that is up and counts those
// that no owner would run.
type probe struct {
	s                   *sim
	offered             [dogwoodford.KeyRanges]int
	refused             [dogwoodford.KeyRanges]int
	first, last         int64 // Times of the first and the last refusal.
	minted, mintRefused int   // Keys issued by the entry itself, and those refused.
	late, lateRefused   int   // Keys issued 1.5 s earlier, and those refused.
}

func (g *probe) offer() {
	s := g.s
	var e *simNode
	for _, n := range s.nodes {
		if e == nil && n.up {
			e = n
		}
	}
	for n := range dogwoodford.KeyRanges {
		key := s.key(n, s.clock(e))
		g.offered[n]++
		if !g.accepted(e, key) {
			g.refused[n]++
			if g.last = s.t; g.first == 0 {
				g.first = s.t
			}
		}
	}
	old := dogwoodford.MakeKey(s.clock(e).Add(-1500*time.Millisecond), s.rnd.Uint64(), s.rnd.Uint64())
	if g.late++; !g.accepted(e, old) {
		g.lateRefused++
	}
	key, reason := e.table.Mint(s.clock(e), "s", s.rnd.Uint64)
	if g.minted++; reason != dogwoodford.ReasonNone || !g.accepted(e, key) {
		g.mintRefused++
	}
}

func (g *probe) accepted(e *simNode, key dogwoodford.Key) bool {
	var tried []string
	for range 2 {
		h, reason := e.table.Lookup("s", key, tried)
		if reason != dogwoodford.ReasonNone {
			return false
		}
		o := g.s.byName(h.Node)
		if grant := o.table.MayRun(g.s.clock(o), key); grant.OK() && g.s.reachable(e, o) {
			d := o.recs.Begin(g.s.clock(o), dogrecord.Attempt{Key: key, Number: grant.Number, Epoch: grant.Epoch, Attempt: 1})
			if d.Run() {
				o.recs.Finish(key, dogrecord.Result{Outcome: dogwoodford.OutcomeRan})
				return true
			}
		}
		tried = append(tried, h.Node)
	}
	return false
}

func (g *probe) report(t *testing.T, what string) {
	t.Helper()
	offered, refused, hit := 0, 0, 0
	for n := range g.offered {
		offered, refused = offered+g.offered[n], refused+g.refused[n]
		if g.refused[n] > 0 {
			hit++
		}
	}
	t.Logf("%s: %d of %d keys refused (%.1f%%), in %d of %d ranges, from %d to %d ms; of the keys issued by the entry %d of %d; of keys that arrive late %d of %d",
		what, refused, offered, 100*float64(refused)/float64(offered), hit, dogwoodford.KeyRanges, g.first, g.last, g.mintRefused, g.minted, g.lateRefused, g.late)
}

// steady runs a service without faults, injects the given one at 15 s, and offers
// one key of each range every 10 ms from 14 s to 40 s.
func steady(seed uint64, fault func(*sim)) *probe {
	s := newSim(seed, nil, brokenRules{}, "")
	s.steady = true
	for i := range s.nodes {
		s.nodes[i] = &simNode{id: i}
		s.start(s.nodes[i], fmt.Sprint("p", i))
	}
	g := &probe{s: s}
	for ; s.t < 40_000; s.t++ {
		s.step()
		if s.t == 14_000 {
			s.reads, s.writes = 0, 0
		}
		if s.t == 15_000 {
			fault(s)
		}
		if s.t >= 14_000 && s.t%10 == 0 {
			g.offer()
		}
	}
	return g
}

func (s *sim) owner(number int) *simNode {
	return s.byName(s.nodes[0].table.Row("s", number).Owner)
}

func (s *sim) kill(n *simNode) { n.up, n.downSince = false, s.t }

// TestFigures guards against refusals beyond the bounds stated in
// docs/at-most-once.md. All times are simulated.
func TestFigures(t *testing.T) {
	baseline := steady(1, func(*sim) {})
	baseline.report(t, "no fault")
	t.Logf("platform: %.2f writes/s, %.2f reads/s for the service", float64(baseline.s.writes)/26, float64(baseline.s.reads)/26)
	if baseline.last != 0 {
		t.Errorf("keys are refused without a fault")
	}
	if rate := float64(baseline.s.writes) / 26; rate > 4.5 {
		t.Errorf("%.2f platform writes/s for the service, want about 4", rate)
	}
	for seed := range uint64(5) {
		g := steady(seed, func(s *sim) { s.kill(s.owner(int(seed))) })
		g.report(t, "owner lost at 15000 ms")
		if g.last > 15_000+9000 {
			t.Errorf("ranges of a lost owner are refused until %d ms", g.last)
		}
	}
	moved := steady(1, func(s *sim) {
		for _, n := range s.nodes {
			s.schedule(n, 1, func() { s.event(n, HandOver{Number: 0}) })
		}
	})
	moved.report(t, "planned handover of one range at 15000 ms")
	drained := steady(1, func(s *sim) { n := s.owner(0); s.schedule(n, 1, func() { s.event(n, Drain{}) }) })
	drained.report(t, "drain of an owner at 15000 ms")
	down := steady(1, func(s *sim) { s.downUntil = s.t + 22_000 })
	down.report(t, "platform down from 15000 to 37000 ms")
	for what, g := range map[string]*probe{"handover": moved, "drain": drained, "outage": down} {
		if g.last != 0 {
			t.Errorf("%s: keys are refused from %d to %d ms", what, g.first, g.last)
		}
	}
	both := steady(1, func(s *sim) { s.downUntil = s.t + 22_000; s.after(5000, func() { s.kill(s.owner(0)) }) })
	both.report(t, "platform down from 15000 to 37000 ms, owner lost at 20000 ms")
}
