package dogrange

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dogwoodford"
)

// benchFleet drives the nodes of one service against an object service that
// answers at once, and counts the calls.
type benchFleet struct {
	now           time.Time
	nodes         []*Ranges
	objects       map[string]dogwoodford.Object
	reads, writes int
}

func newBenchFleet(n int) *benchFleet {
	f := &benchFleet{now: time.UnixMilli(simEpoch), objects: map[string]dogwoodford.Object{}}
	var members []Member
	for i := range n {
		members = append(members, Member{
			Node: fmt.Sprint("n", i), Incarnation: 1, Service: "s", DataCentre: fmt.Sprint(i % 6),
			Peer: fmt.Sprint("10.0.0.", i, ":1"), State: dogwoodford.StateReady,
		})
	}
	for i, m := range members {
		rs := New(Config{Node: m.Node, Incarnation: 1, Service: "s", DataCentre: m.DataCentre, Peer: m.Peer},
			rand.New(rand.NewPCG(uint64(i), 1)))
		f.nodes = append(f.nodes, rs)
		f.event(rs, Members{Members: members})
	}
	return f
}

func (f *benchFleet) event(rs *Ranges, ev Event) {
	for _, a := range rs.OnEvent(f.now, ev) {
		switch a := a.(type) {
		case ReadObject:
			f.reads++
			r := ObjectRead{Op: a.Op, Object: f.objects[a.Name]}
			if r.Object.Version == 0 {
				r.Err = dogwoodford.ErrNotFound
			}
			f.event(rs, r)
		case WriteObject:
			f.writes++
			o := f.objects[a.Name]
			if o.Version != a.Expected {
				f.event(rs, ObjectWritten{Op: a.Op, Err: dogwoodford.ErrConflict})
				continue
			}
			f.objects[a.Name] = dogwoodford.Object{Name: a.Name, Version: o.Version + 1, Value: a.Value}
			f.event(rs, ObjectWritten{Op: a.Op, Version: o.Version + 1})
		case Gossip:
			for _, o := range f.nodes {
				if o != rs {
					f.event(o, a.OwnershipUpdate)
				}
			}
		}
	}
}

func (f *benchFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(250 * time.Millisecond) {
		for _, rs := range f.nodes {
			f.event(rs, Tick{})
		}
	}
}

// BenchmarkService measures, by the number of nodes, the cost of one second of all
// nodes of a service in the steady state, the rate of platform calls, and the
// reads of each node in the first second after all nodes start at once.
func BenchmarkService(b *testing.B) {
	for _, n := range []int{4, 20, 100} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newBenchFleet(n)
			f.run(time.Second)
			first := f.reads
			f.run(time.Minute)
			f.reads, f.writes = 0, 0
			b.ReportAllocs()
			ran := 0
			for b.Loop() {
				f.run(time.Second)
				ran++
			}
			b.StopTimer()
			f.run(time.Duration(max(0, 300-ran)) * time.Second) // Rates over a few seconds would be too noisy.
			b.ReportMetric(float64(first)/float64(n), "first-reads/node")
			b.ReportMetric(float64(f.reads)/float64(max(ran, 300)), "reads/s")
			b.ReportMetric(float64(f.writes)/float64(max(ran, 300)), "writes/s")
		})
	}
}

// BenchmarkRows measures, by the number of services, the memory that a node uses
// for the ranges of other services and the cost of a change to one row.
func BenchmarkRows(b *testing.B) {
	for _, services := range []int{4, 29, 290} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			rs := New(Config{Node: "n", Incarnation: 1, Service: "s"}, rand.New(rand.NewPCG(1, 1)))
			now := time.UnixMilli(simEpoch)
			update := func(service, number int, epoch int64) {
				v := Value{
					Epoch: epoch, Owner: fmt.Sprint("node-", number), OwnerIncarnation: 1, OwnerPeer: "10.0.0.1:7103",
					Witness: fmt.Sprint("node-", number+1), WitnessIncarnation: 1, Start: simEpoch + epoch, End: simEpoch + epoch + 6000,
				}
				rs.OnEvent(now, OwnershipUpdate{Service: fmt.Sprint("service-", service), Number: number, Value: v})
			}
			for s := range services {
				for n := range dogwoodford.KeyRanges {
					update(s, n, 1)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			if got := len(rs.Table().Services()); got != services {
				b.Fatalf("%d services known", got)
			}
			b.ReportAllocs()
			epoch := int64(1)
			for b.Loop() {
				epoch++
				update(0, 0, epoch)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(services*dogwoodford.KeyRanges), "B/range")
			runtime.KeepAlive(rs)
		})
	}
}
