package dogquota

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Uint64("seeds", 12, "number of random scenarios of each test")

func pick[T any](f *fleet, choices ...T) T { return choices[f.rand.IntN(len(choices))] }

// TestRandomFaults guards against more requests of a workspace than its bound in any
// sliding window, whatever the load and the faults: kills of single nodes, of the lender
// and of all nodes, a partition, changes of the limit, and faults of messages.
func TestRandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(seed, []int{1, 2, 13, 67, 91}[seed%5], Limit{
				Rate: []float64{1, 16, 100, 500}[seed%4], Burst: []float64{0, 5, 50, 500}[seed/4%4],
			})
			f.loss = pick(f, 0, 0.02, 0.2)
			f.duplicate, f.late = f.loss, f.loss
			for range 6 {
				f.randomStep()
			}
			if ran, bound := f.most(); float64(ran) > bound {
				t.Errorf("%d requests ran in a window, want at most %.0f", ran, bound)
			}
		})
	}
}

// randomStep causes a random fault, and simulates a random load for up to 8 s.
func (f *fleet) randomStep() {
	switch l := f.limits[0].limit; f.rand.IntN(7) {
	case 0:
		victim := f.rand.IntN(len(f.nodes))
		f.killWhere(time.Second, func(n *fleetNode) bool { return n.number == victim })
	case 1:
		f.killWhere(2*time.Second, func(n *fleetNode) bool { return n.node.ranking(f.workspace).First == n.name })
	case 2:
		f.killWhere(time.Second, func(*fleetNode) bool { return true })
	case 3:
		f.partition(len(f.nodes)/3, 4*time.Second)
	case 4:
		f.setLimit(Limit{Rate: l.Rate * pick(f, 0.1, 1, 2), Burst: l.Burst})
	case 5:
		for _, n := range f.nodes {
			if n.up && n.node.ranking(f.workspace).First == n.name {
				n.node.Settle(f.now, SettleTime)
			}
		}
	}
	d := f.between(500*time.Millisecond, 8*time.Second)
	f.load(f.limits[0].limit.Rate*pick(f, 0.3, 0.6, 1, 3.6, 5), d, func() int { return f.rand.IntN(len(f.nodes)) })
	f.advance(d)
}

// TestRandomCalmLoad guards against refusals below the limit: at 60% of it, after the
// start of the fleet, no request is refused without faults, and no more than one in 200
// while a hundredth of the messages is lost.
func TestRandomCalmLoad(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rate := []float64{16, 100, 500}[seed%3]
			f := newFleet(seed, []int{1, 13, 91}[seed/3%3], Limit{Rate: rate, Burst: rate})
			most := 0
			if seed%2 == 1 {
				f.loss, most = 0.01, 1+int(0.6*rate*20)/200
			}
			anywhere := func() int { return f.rand.IntN(len(f.nodes)) }
			f.load(0.3*rate, 10*time.Second, anywhere)
			f.advance(10 * time.Second)
			refused := f.refused
			f.load(0.6*rate, 20*time.Second, anywhere)
			f.advance(20 * time.Second)
			if refused = f.refused - refused; refused > most {
				t.Errorf("%d requests were refused below the limit, want at most %d", refused, most)
			}
		})
	}
}
