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

// BenchmarkFleet reports the cost of the control logic per node and the time until
// all nodes know of a change, for each fleet size and phase. One iteration runs
// all phases in virtual time; use -benchtime 1x. Only the reported metrics are
// meaningful, not the time per operation.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{6, 24, 96, 590} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for i := range b.N {
				r := &runner{f: newFleet(n, uint64(i+1)), b: b}
				r.runPhases()
			}
		})
	}
}

// runner runs a fleet through the phases and reports the metrics of each.
type runner struct {
	f             *fleet
	b             *testing.B
	generation    int
	latencies     map[string][]time.Duration
	falseFailures int
}

func (r *runner) runPhases() {
	f := r.f
	r.runPhase("start", 60*time.Second, func() {
		f.store.set("contract/firm-1", contractText("firm-1", 1))
		r.generation = 1
		r.track("full", func(n *node) bool { return n.membership.Status().Alive == len(f.nodes) })
		r.trackInForce()
		for _, n := range f.nodes {
			n.start()
		}
	})
	f.run(60 * time.Second)
	r.runPhase("ordinary", 60*time.Second, func() { r.scheduleChanges(2) })
	r.runPhase("outage", 60*time.Second, func() { f.store.setDown(true) })
	r.runPhase("outage-end", 60*time.Second, func() {
		f.store.setDown(false)
		r.scheduleChanges(1)
	})
	r.runPhase("cut", 60*time.Second, func() {
		f.partitioned = func(x, y *node) bool { return x.dc < dataCentres/2 != (y.dc < dataCentres/2) }
		r.trackFailures(func(n *node, m dogmember.Member) bool { return f.partitioned(n, f.nodesByPeer[m.Peer]) })
	})
	r.runPhase("heal", 60*time.Second, func() {
		f.partitioned = nil
		r.track("full", func(n *node) bool { return n.membership.Status().Alive == len(f.nodes) })
		r.trackFailures(func(*node, dogmember.Member) bool { return false })
		r.scheduleChanges(1)
	})
	r.runPhase("sixth", 60*time.Second, func() {
		for _, n := range f.nodes {
			n.up = n.dc != dataCentres-1
		}
		r.trackFailures(func(_ *node, m dogmember.Member) bool { return !f.nodesByPeer[m.Peer].up })
		r.scheduleChanges(1)
	})
}

// runPhase runs a phase and reports its metrics.
func (r *runner) runPhase(name string, d time.Duration, begin func()) {
	f := r.f
	r.latencies, r.falseFailures = map[string][]time.Duration{}, 0
	f.onChange, f.onFailed, f.onInForce = nil, nil, nil
	calls := len(f.store.calls)
	for _, n := range f.nodes {
		n.bytes, n.cpu, n.viewChanges = 0, 0, 0
	}
	begin()
	f.run(d)
	var bytes, maxBytes int64
	var cpu time.Duration
	up, changes, maxChanges := 0, 0, 0
	for _, n := range f.nodes {
		if n.up {
			up++
			bytes += n.bytes
			maxBytes = max(maxBytes, n.bytes)
			cpu += n.cpu
			changes += n.viewChanges
			maxChanges = max(maxChanges, n.viewChanges)
		}
	}
	report := func(v float64, unit string) { r.b.ReportMetric(v, name+"-"+unit) }
	report(float64(bytes)/float64(up)/d.Seconds(), "B/s")
	report(float64(maxBytes)/d.Seconds(), "B/s-max")
	report(float64(changes)/float64(up)/d.Seconds(), "views/s")
	report(float64(maxChanges)/d.Seconds(), "views/s-max")
	report(100*cpu.Seconds()/float64(up)/d.Seconds(), "%cpu")
	report(float64(len(f.store.calls)-calls)/d.Seconds(), "platform/s")
	for what, ts := range r.latencies {
		slices.Sort(ts)
		report(ts[len(ts)-1].Seconds(), what+"-max-s")
		report(ts[(len(ts)-1)*99/100].Seconds(), what+"-p99-s")
		report(float64(len(ts)), what+"-n")
	}
	report(float64(r.falseFailures), "false-failures")
}

// track records under the name what how long each node takes until it first meets
// the condition.
func (r *runner) track(what string, cond func(n *node) bool) {
	begun, seen := r.f.now, map[*node]bool{}
	old := r.f.onChange
	r.f.onChange = func(n *node) {
		if old != nil {
			old(n)
		}
		if !seen[n] && cond(n) {
			seen[n] = true
			r.latencies[what] = append(r.latencies[what], r.f.now.Sub(begun))
		}
	}
}

// trackFailures records how long each node takes to declare a member failed.
// Failures for which unreachable returns false are counted as false.
func (r *runner) trackFailures(unreachable func(n *node, m dogmember.Member) bool) {
	begun := r.f.now
	r.f.onFailed = func(n *node, m dogmember.Member) {
		if !unreachable(n, m) {
			r.falseFailures++
			return
		}
		r.latencies["failed"] = append(r.latencies["failed"], r.f.now.Sub(begun))
	}
}

func (r *runner) trackInForce() {
	begun := r.f.now
	want := int64(r.generation)
	old := r.f.onInForce
	r.f.onInForce = func(n *node, g dogconfig.Generation) {
		if old != nil {
			old(n, g)
		}
		if g.Number == want {
			r.latencies["contract"] = append(r.latencies["contract"], r.f.now.Sub(begun))
		}
	}
}

// scheduleChanges spreads count changes of the contract and of the state of a
// member over 40 s.
func (r *runner) scheduleChanges(count int) {
	for i := range count {
		r.f.after(time.Duration(i)*40*time.Second/time.Duration(count)+time.Second, func() {
			r.generation++
			r.f.store.set("contract/firm-1", contractText("firm-1", r.generation))
			r.trackInForce()
			n := r.f.nodes[1+i%4]
			old := n.membership.Self()
			r.track("state", func(x *node) bool {
				m, _ := x.membership.Member(old.Node)
				return m.Incarnation > old.Incarnation
			})
			n.memberEvent(dogmember.SelfChanged{State: dogwoodford.StateReady, Slots: 45 + r.generation})
		})
	}
}
