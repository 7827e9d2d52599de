package dogshare

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/internal/dogscript"
)

// TestScripts guards against a workspace that takes the room of others by sending more, and
// against room that stays unused. A line "workspace" has a name, a weight and a rate of
// requests a second at this node; "serve" lets the node rank 60 s of their requests,
// refuses the lowest ranks so that the given share of all requests is served, and returns
// the share that each workspace is served of its own requests, in percent.
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/shares.txtar", func() func(*testing.T, []string) string {
		s := &script{}
		return s.run
	})
}

type script struct {
	names   []string
	weights []Weight
	rates   []float64
}

func (s *script) run(t *testing.T, words []string) string {
	if words[0] == "workspace" {
		s.names = append(s.names, words[1])
		s.weights = append(s.weights, Weight{Name: words[1], Weight: number(t, words[2])})
		s.rates = append(s.rates, number(t, words[3]))
		return ""
	}
	return s.serve(number(t, words[1]))
}

func number(t *testing.T, word string) float64 {
	f, err := strconv.ParseFloat(word, 64)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// serve returns the share of its requests that each workspace is served if a share of all
// is, rounded to five percent.
func (s *script) serve(share float64) string {
	shares := New()
	shares.SetWeights(s.weights)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	sent, served := make([]float64, len(s.names)), make([]float64, len(s.names))
	const steps = 60_000
	for step := range steps {
		now = now.Add(time.Millisecond)
		for i, name := range s.names {
			if rnd.Float64() >= s.rates[i]/1000 {
				continue
			}
			rank := shares.Rank(now, name, 3, rnd.Float64())
			if step < steps/4 {
				continue // The counts have not settled.
			}
			sent[i]++
			if float64(rank) >= (1-share)*dogwoodford.RankCount {
				served[i]++
			}
		}
	}
	var out []string
	for i, name := range s.names {
		out = append(out, fmt.Sprintf("%s %d%%", name, 5*int(20*served[i]/sent[i]+0.5)))
	}
	return strings.Join(out, ", ")
}

// TestUnknownWorkspace guards against requests without a weight that lose their random
// rank.
func TestUnknownWorkspace(t *testing.T) {
	if rank := New().Rank(time.Unix(1, 0), "x", 0, 0.5); rank != dogwoodford.RankCount/2 {
		t.Errorf("rank %d, want %d", rank, dogwoodford.RankCount/2)
	}
}

// TestBoundedState guards against counts of workspaces that the configuration no longer
// has, or that send nothing any more.
func TestBoundedState(t *testing.T) {
	s := New()
	now := time.Unix(1000, 0)
	var weights []Weight
	for i := range 100 {
		weights = append(weights, Weight{Name: fmt.Sprint(i)})
	}
	s.SetWeights(weights)
	for _, w := range weights {
		s.Rank(now, w.Name, 0, 0.5)
	}
	s.SetWeights(weights[:50])
	if n := len(s.levels[0].counts); n != 50 {
		t.Errorf("%d workspaces are counted, want the 50 of the configuration", n)
	}
	s.Rank(now.Add(time.Minute), "0", 0, 0.5)
	if n := len(s.levels[0].counts); n != 1 {
		t.Errorf("%d workspaces are counted after a minute, want the one that sends", n)
	}
}

// BenchmarkRank measures one decision with 88 and 10,000 workspaces, of which 88 send.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{88, 10_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := New()
			var weights []Weight
			for i := range n {
				weights = append(weights, Weight{Name: fmt.Sprint(i), Weight: 1})
			}
			s.SetWeights(weights)
			now := time.Unix(1000, 0)
			i := 0
			for b.Loop() {
				i++
				now = now.Add(5 * time.Millisecond)
				s.Rank(now, weights[i%88].Name, 3, 0.5)
			}
		})
	}
}
