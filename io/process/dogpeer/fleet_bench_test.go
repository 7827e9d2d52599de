package dogpeer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
)

// BenchmarkFleet reports the cost of control per node and the time until a
// change is known everywhere, for each size and phase. One iteration is one run
// through all phases in virtual time; run it with -benchtime 1x. The time per
// operation says nothing; the reported metrics do.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{6, 24, 96, 590} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for i := range b.N {
				r := &runner{f: newFleet(n, uint64(i+1)), b: b}
				r.all()
			}
		})
	}
}

// runner takes a fleet through the phases and reports each.
type runner struct {
	f          *fleet
	b          *testing.B
	generation int
	times      map[string][]time.Duration
	false      int
}

func (r *runner) all() {
	f := r.f
	r.phase("start", 60*time.Second, func() {
		f.store.set("contract/firm-1", contractText("firm-1", 1))
		r.generation = 1
		r.track("full", func(n *node) bool { return n.m.Status().Alive == len(f.nodes) })
		r.trackForce()
		for _, n := range f.nodes {
			n.start()
		}
	})
	f.run(60 * time.Second)
	r.phase("ordinary", 60*time.Second, func() { r.changes(2) })
	r.phase("outage", 60*time.Second, func() { f.store.setDown(true) })
	r.phase("outage-end", 60*time.Second, func() {
		f.store.setDown(false)
		r.changes(1)
	})
	r.phase("cut", 60*time.Second, func() {
		f.cut = func(x, y *node) bool { return x.dc < centres/2 != (y.dc < centres/2) }
		r.trackFailures(func(n *node, m dogmember.Member) bool { return f.cut(n, f.at[m.Peer]) })
	})
	r.phase("heal", 60*time.Second, func() {
		f.cut = nil
		r.track("full", func(n *node) bool { return n.m.Status().Alive == len(f.nodes) })
		r.trackFailures(func(*node, dogmember.Member) bool { return false })
		r.changes(1)
	})
	r.phase("sixth", 60*time.Second, func() {
		for _, n := range f.nodes {
			n.up = n.dc != centres-1
		}
		r.trackFailures(func(_ *node, m dogmember.Member) bool { return !f.at[m.Peer].up })
		r.changes(1)
	})
}

// phase runs a phase and reports it.
func (r *runner) phase(name string, d time.Duration, begin func()) {
	f := r.f
	r.times, r.false = map[string][]time.Duration{}, 0
	f.onChange, f.onFailed, f.onForce = nil, nil, nil
	calls := len(f.store.calls)
	for _, n := range f.nodes {
		n.bytes, n.cpu, n.changes = 0, 0, 0
	}
	begin()
	f.run(d)
	var bytes, worst int64
	var cpu time.Duration
	up, changes, most := 0, 0, 0
	for _, n := range f.nodes {
		if n.up {
			up++
			bytes += n.bytes
			worst = max(worst, n.bytes)
			cpu += n.cpu
			changes += n.changes
			most = max(most, n.changes)
		}
	}
	report := func(v float64, unit string) { r.b.ReportMetric(v, name+"-"+unit) }
	report(float64(bytes)/float64(up)/d.Seconds(), "B/s")
	report(float64(worst)/d.Seconds(), "B/s-max")
	report(float64(changes)/float64(up)/d.Seconds(), "views/s")
	report(float64(most)/d.Seconds(), "views/s-max")
	report(100*cpu.Seconds()/float64(up)/d.Seconds(), "%cpu")
	report(float64(len(f.store.calls)-calls)/d.Seconds(), "platform/s")
	for what, ts := range r.times {
		slices.Sort(ts)
		report(ts[len(ts)-1].Seconds(), what+"-max-s")
		report(ts[(len(ts)-1)*99/100].Seconds(), what+"-p99-s")
		report(float64(len(ts)), what+"-n")
	}
	report(float64(r.false), "false-failures")
}

// track records when each node first fulfils a condition.
func (r *runner) track(what string, cond func(n *node) bool) {
	begun, seen := r.f.now, map[*node]bool{}
	old := r.f.onChange
	r.f.onChange = func(n *node) {
		if old != nil {
			old(n)
		}
		if !seen[n] && cond(n) {
			seen[n] = true
			r.times[what] = append(r.times[what], r.f.now.Sub(begun))
		}
	}
}

// trackFailures records when each node comes to hold a member for failed, and
// counts those for which right says that they have not.
func (r *runner) trackFailures(right func(n *node, m dogmember.Member) bool) {
	begun := r.f.now
	r.f.onFailed = func(n *node, m dogmember.Member) {
		if !right(n, m) {
			r.false++
			return
		}
		r.times["failed"] = append(r.times["failed"], r.f.now.Sub(begun))
	}
}

func (r *runner) trackForce() {
	begun := r.f.now
	want := int64(r.generation)
	old := r.f.onForce
	r.f.onForce = func(n *node, g dogconfig.Generation) {
		if old != nil {
			old(n, g)
		}
		if g.Number == want {
			r.times["contract"] = append(r.times["contract"], r.f.now.Sub(begun))
		}
	}
}

// changes spreads count changes of the contract and of the state of a member
// over 40 s.
func (r *runner) changes(count int) {
	for i := range count {
		r.f.after(time.Duration(i)*40*time.Second/time.Duration(count)+time.Second, func() {
			r.generation++
			r.f.store.set("contract/firm-1", contractText("firm-1", r.generation))
			r.trackForce()
			n := r.f.nodes[1+i%4]
			old := n.m.Self()
			r.track("state", func(x *node) bool {
				m, _ := x.m.Member(old.Node)
				return m.Incarnation > old.Incarnation
			})
			n.event(dogmember.SelfChanged{State: dogwoodford.Ready, Slots: 45 + r.generation})
		})
	}
}
