package dogroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

func newSampling(sample int) *Router {
	return New(Options{DataCentre: "dc0", Sample: sample, Rand: rand.New(rand.NewPCG(1, 1))})
}

func fleet(size, dataCentres int) []dogwoodford.Target {
	var list []dogwoodford.Target
	for i := range size {
		list = append(list, target(fmt.Sprint("n", i), fmt.Sprint("dc", i%dataCentres)))
	}
	return list
}

// TestSampleSpreads guards against targets that a sample never or too often
// contains. Pattern: many targets of one service, all alike and idle.
func TestSampleSpreads(t *testing.T) {
	const picks = 100
	rt, targets := newSampling(4), fleet(60, 1)
	got := counts(t, rt, start, request(0), targets, picks*len(targets))
	for _, tg := range targets {
		if n := got[tg.Node]; n < picks/2 || n > 2*picks {
			t.Errorf("%s was picked %d times, want about %d", tg.Node, n, picks)
		}
	}
}

// TestSampleChoosesLessUsed guards against a sample that takes full targets
// while others are idle. Pattern: half of the targets are full.
func TestSampleChoosesLessUsed(t *testing.T) {
	rt, targets := newSampling(8), fleet(40, 1)
	for i := range 20 {
		rt.Answered(start, targets[i].Node, time.Millisecond, false, &dogwoodford.Load{InFlight: 10, Limit: 10})
	}
	full := 0
	for name, n := range counts(t, rt, start, request(0), targets, 2000) {
		for i := range 20 {
			if targets[i].Node == name {
				full += n
			}
		}
	}
	// Two of the sample are compared, and both are full for a quarter of them.
	if full > 2000*3/10 {
		t.Errorf("%d of 2000 requests went to full targets", full)
	}
}

// TestSampleFallsBack guards against a refusal although a target outside of the
// sample is free, and against an index of an older list.
func TestSampleFallsBack(t *testing.T) {
	rt, targets := newSampling(2), fleet(20, 4)
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
	if got := counts(t, rt, start, request(0), next, 10); got["new"] != 10 {
		t.Errorf("picks %v of a new list, want only its target", got)
	}
}
