package dogroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

func newSamplingRouter(sample int) *Router {
	return New(Options{DataCentre: "dc0", Sample: sample, Rand: rand.New(rand.NewPCG(1, 1))})
}

func fleet(size, dataCentres int) []dogwoodford.Target {
	var list []dogwoodford.Target
	for i := range size {
		list = append(list, target(fmt.Sprint("n", i), fmt.Sprint("dc", i%dataCentres)))
	}
	return list
}

// TestSampleSpreads guards against targets that are sampled never or too often.
// Pattern: many targets of one service, all alike and idle.
func TestSampleSpreads(t *testing.T) {
	const picks = 100
	rt, targets := newSamplingRouter(4), fleet(60, 1)
	got := countPicks(t, rt, start, request(0), targets, picks*len(targets))
	for _, tg := range targets {
		if n := got[tg.Node]; n < picks/2 || n > 2*picks {
			t.Errorf("%s was picked %d times, want about %d", tg.Node, n, picks)
		}
	}
}

// TestSampleChoosesLessUsed guards against choosing full targets from a sample
// while others are idle. Pattern: half of the targets are full.
func TestSampleChoosesLessUsed(t *testing.T) {
	rt, targets := newSamplingRouter(8), fleet(40, 1)
	for i := range 20 {
		rt.RecordDispatchEnd(start, targets[i].Node, time.Millisecond, false, &dogwoodford.Load{InFlight: 10, Limit: 10})
	}
	full := 0
	for name, n := range countPicks(t, rt, start, request(0), targets, 2000) {
		for i := range 20 {
			if targets[i].Node == name {
				full += n
			}
		}
	}
	// Two targets of the sample are compared; both are full in a quarter of the
	// cases.
	if full > 2000*3/10 {
		t.Errorf("%d of 2000 requests went to full targets", full)
	}
}

// TestSampleFallsBack guards against a refusal although a target outside the
// sample is free, and against using the index of an older list.
func TestSampleFallsBack(t *testing.T) {
	rt, targets := newSamplingRouter(2), fleet(20, 4)
	var tried []string
	for range targets {
		got, reason := rt.Pick(start, request(0), targets, tried)
		if reason != dogwoodford.ReasonNone {
			t.Fatalf("after %d targets: %q", len(tried), reason)
		}
		tried = append(tried, got.Node)
	}
	if _, reason := rt.Pick(start, request(0), targets, tried); reason != dogwoodford.ReasonNoTarget {
		t.Errorf("all tried: %q, want no-target", reason)
	}
	next := []dogwoodford.Target{target("new", "dc0")}
	if got := countPicks(t, rt, start, request(0), next, 10); got["new"] != 10 {
		t.Errorf("picks %v of a new list, want only its target", got)
	}
}
