package dogsuspect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogsuspect"
)

// TestTwoTargetsPerDigest guards against content that kills more than two targets
// while the reports of the first deaths are still being disseminated. Many nodes
// keep sending the same content concurrently, and routing places it on two
// targets; other traffic, both unique and popular, runs at the same time.
func TestTwoTargetsPerDigest(t *testing.T) {
	most, third := 0, 0
	for seed := range uint64(driverSeeds) {
		d := newDriver(seed)
		d.run(75 * time.Second)
		killed := map[int]bool{}
		for _, n := range d.deaths {
			killed[n] = true
		}
		most = max(most, len(killed))
		if len(d.deaths) > 2 {
			third++
		}
		if len(killed) > 2 {
			t.Errorf("seed %d: targets %v died", seed, d.deaths)
		}
		for _, s := range d.nodes {
			for _, e := range s.suspects.View().Entries() {
				if e.Standing == dogsuspect.Quarantined && e.Digest != culprit {
					t.Errorf("seed %d: harmless digest %d is quarantined", seed, e.Digest)
				}
			}
		}
	}
	t.Logf("most targets killed by one digest: %d; runs with a third death: %d of %d", most, third, driverSeeds)
}

const (
	culprit     = 1 // Digest that kills the target that runs it.
	driverNodes = 8
	driverSeeds = 20
	popular     = 5 // Number of digests, from 2 up, that many requests share and that count as completed before.
)

type driverNode struct {
	suspects *dogsuspect.Suspects
	gate     *dogsuspect.Gate
	down     bool
	downAt   time.Time
	epoch    int // Incremented at each death, so that requests in progress are dropped.
}

type step struct {
	at  time.Time
	seq int
	do  func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}

type driver struct {
	rnd    *rand.Rand
	now    time.Time
	steps  steps
	seq    int
	nodes  []*driverNode
	deaths []int // Targets killed by the culprit, in order.
}

func newDriver(seed uint64) *driver {
	d := &driver{rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e6, 0)}
	for range driverNodes {
		d.nodes = append(d.nodes, &driverNode{
			suspects: dogsuspect.New(dogsuspect.Options{}), gate: dogsuspect.NewGate(),
		})
	}
	return d
}

func (d *driver) after(w time.Duration, do func()) {
	d.seq++
	heap.Push(&d.steps, step{at: d.now.Add(w), seq: d.seq, do: do})
}

func (d *driver) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rnd.Int64N(int64(high-low)))
}

func (d *driver) run(total time.Duration) {
	end := d.now.Add(total)
	for i := range 5 {
		d.every(d.between(20*time.Millisecond, 200*time.Millisecond), func() { d.send(culprit) })
		d.every(100*time.Millisecond, func() { d.send(uint64(2 + i%popular)) })
		d.every(60*time.Millisecond, func() { d.send(d.rnd.Uint64() | 1<<32) })
	}
	for d.steps.Len() > 0 {
		s := heap.Pop(&d.steps).(step)
		if s.at.After(end) {
			return
		}
		d.now = s.at
		s.do()
	}
}

func (d *driver) every(w time.Duration, do func()) {
	d.after(d.between(0, w), func() {
		do()
		d.every(w, do)
	})
}

// send routes a request: popular content to any target, other content to one of
// the two targets that the digest selects among those present in the last 30 s.
func (d *driver) send(digest uint64) {
	order := make([]int, 0, driverNodes)
	for i, n := range d.nodes {
		if !n.down || d.now.Sub(n.downAt) < 30*time.Second {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return int(weight(digest, b)) - int(weight(digest, a)) })
	if digest == culprit || digest > 1+popular {
		order = order[:min(2, len(order))]
	}
	to := order[d.rnd.IntN(len(order))]
	if n := d.nodes[to]; !n.down {
		d.start(to, n, digest)
	}
}

func weight(digest uint64, node int) uint32 {
	x := (digest + 1) * (uint64(node)*2 + 3) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	return uint32((x * 0xbf58476d1ce4e5b9) >> 33)
}

func (d *driver) start(to int, n *driverNode, digest uint64) {
	d.seq++
	id := fmt.Sprint(d.seq)
	if n.gate.Start(d.now, n.suspects.View(), id, digest).Action() != dogwoodford.Run {
		return
	}
	epoch := n.epoch
	d.after(d.between(10*time.Millisecond, 400*time.Millisecond), func() {
		if n.epoch != epoch {
			return
		}
		if digest == culprit {
			d.die(to, n)
			return
		}
		if g, cleared := n.gate.Done(d.now, n.suspects.View(), id, true); cleared {
			d.spread(n, n.suspects.OnEvent(d.now, dogsuspect.Completed{Digest: g}))
		}
	})
}

// die kills a target, which restarts after 5 s to 60 s.
func (d *driver) die(to int, n *driverNode) {
	d.deaths = append(d.deaths, to)
	n.down, n.downAt = true, d.now
	n.epoch++
	id := fmt.Sprintf("%d/%d", to, n.epoch)
	d.spread(n, n.suspects.OnEvent(d.now, dogsuspect.TargetDied{ID: id, Service: "rounds", Digests: n.gate.RecordDeath()}))
	d.after(d.between(5*time.Second, time.Minute), func() { n.down = false })
}

// spread delivers reports to each other node within 3 s.
func (d *driver) spread(from *driverNode, acts []dogsuspect.Action) {
	for _, a := range acts {
		sp, ok := a.(dogsuspect.PublishReport)
		if !ok {
			continue
		}
		for _, n := range d.nodes {
			if n != from {
				d.after(d.between(time.Millisecond, 3*time.Second), func() {
					n.suspects.OnEvent(d.now, dogsuspect.ReportArrived(sp))
				})
			}
		}
	}
}
