package dogpace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPace(seed uint64) *Pace {
	return New(Options{Least: 1500 * time.Millisecond, Rand: rand.New(rand.NewPCG(seed, 1))})
}

// TestWait guards against a node that relies on others of which it hears
// nothing, and against small fleets that ask too rarely.
func TestWait(t *testing.T) {
	const least, most = 1500 * time.Millisecond, 10 * time.Second
	for _, tc := range []struct {
		name     string
		nodes    int
		heard    int // In the second before.
		low, top time.Duration
	}{
		{"alone", 1, 0, least, least},
		{"small fleet", 13, 100, least, least},
		{"large fleet", 89, 100, 4 * time.Second, 9 * time.Second},
		{"large fleet, quiet node", 89, 4, least, least},
		{"two years on", 590, 100, 5 * time.Second, most},
	} {
		p := newPace(1)
		p.Wait(start, tc.nodes)
		for range tc.heard {
			p.Heard()
		}
		got := p.Wait(start.Add(time.Second), tc.nodes)
		if got < tc.low || got > tc.top {
			t.Errorf("%s: wait %v, want %v to %v", tc.name, got, tc.low, tc.top)
		}
	}
}

// TestPause guards against new targets that small fleets find late, and against
// calls that grow with the square of a fleet that is stopped and started in
// turn.
func TestPause(t *testing.T) {
	for nodes, want := range map[int]time.Duration{
		0: time.Second, 13: time.Second, 89: 2225 * time.Millisecond, 300: 3 * time.Second, 590: 3 * time.Second,
	} {
		if got := Pause(nodes); got != want {
			t.Errorf("%d nodes: pause %v, want %v", nodes, got, want)
		}
	}
}

// TestFirstWait guards against a node that waits long before it has heard of
// others.
func TestFirstWait(t *testing.T) {
	p := newPace(1)
	for range 1000 {
		p.Heard()
	}
	if got := p.Wait(start, 89); got != 1500*time.Millisecond {
		t.Errorf("first wait %v, want 1.5 s", got)
	}
}

// TestFleet guards against nodes that start together and ask together: then a
// change that no watch heard of would stay unknown for a whole wait. Pattern:
// all nodes start at once, and all watches are deaf.
func TestFleet(t *testing.T) {
	for _, nodes := range []int{30, 89, 300, 590} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			asked := questions(nodes)
			if gap := longestGap(asked[200:]); gap > 10 {
				t.Errorf("%d tenths of a second without a question, want at most a second", gap)
			}
			calls := 0
			for _, n := range asked {
				calls += n
			}
			if perSecond := float64(calls) / (float64(len(asked)) / 10); perSecond > float64(nodes)/5 && perSecond > 20 {
				t.Errorf("%.0f calls a second of %d nodes", perSecond, nodes)
			}
		})
	}
}

// questions returns the number of questions of all nodes in each tenth of a
// second of a minute. All start at once, hear enough of each other, and no watch
// hears of a change.
func questions(nodes int) []int {
	const end, step = 60 * time.Second, 100 * time.Millisecond
	asked := make([]int, end/step)
	for i := range nodes {
		p := newPace(uint64(i))
		for at := time.Duration(0); at < end; {
			asked[at/step]++
			wait := p.Wait(start.Add(at), nodes)
			for range int(wait.Seconds()*leastHeard) + 1 {
				p.Heard()
			}
			at += wait
		}
	}
	return asked
}

// longestGap returns the length of the longest run of zeros.
func longestGap(asked []int) int {
	gap, longest := 0, 0
	for _, n := range asked {
		if gap++; n > 0 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

func BenchmarkWait(b *testing.B) {
	for _, nodes := range []int{13, 590} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			p := newPace(1)
			now := start
			for b.Loop() {
				now = now.Add(time.Second)
				p.Heard()
				p.Wait(now, nodes)
			}
		})
	}
}
