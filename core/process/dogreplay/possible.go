package dogreplay

import (
	"slices"
	"time"
)

// bucket is the interval over which goodput is compared with the possible
// goodput.
const bucket = 500 * time.Millisecond

// possible returns, by class, how many of the requests that arrived in bucket b
// the targets could complete at best.
//
// A call holds a slot for the mean service time plus, for each child call in
// turn, the delay of the links and the time for which the child holds its slot.
// Queueing and refusals cost nothing. Classes are served in descending order of
// importance. The classes of one importance are all served the same share of
// their demand until a service that they need is saturated. Each side of a cut
// serves its own share of the arrivals with its own workers.
func (s *sim) possible(b int, demand []float64) []float64 {
	at := time.Duration(b)*bucket + bucket/2
	out := make([]float64, len(demand))
	var connected []int
	for d := range s.t.dataCentres {
		if s.t.isCut(d, at) {
			s.possibleIn([]int{d}, at, demand, out)
		} else {
			connected = append(connected, d)
		}
	}
	s.possibleIn(connected, at, demand, out)
	return out
}

// possibleIn adds to out the requests that the given data centres, linked to
// each other only, can complete.
func (s *sim) possibleIn(dcs []int, at time.Duration, demand, out []float64) {
	entries := 0
	capacity := make([]float64, len(s.t.services)) // Slot-seconds in the bucket.
	for _, n := range s.nodes {
		if !slices.Contains(dcs, n.dc) {
			continue
		}
		entries++
		if s.serves(n, at) {
			capacity[n.service] += float64(s.t.services[n.service].slots) * bucket.Seconds()
		}
	}
	share := float64(entries) / float64(len(s.nodes))
	for importance := 7; importance >= 0; importance-- {
		s.fillClasses(importance, at, share, demand, capacity, out)
	}
}

// serves reports whether a worker counts towards the capacity at a time: it is
// neither drained nor crashed, and its last cold start is over.
func (s *sim) serves(n *node, at time.Duration) bool {
	for _, f := range s.t.faults {
		if f.service != n.service || at < f.at {
			continue
		}
		down := f.kind == drainWorkers && n.index < f.workers || f.kind == crashWorker && n.index == f.workers
		if down && at < f.at+max(f.length, 2*gossipDelay)+s.t.services[n.service].cold {
			return false
		}
	}
	return true
}

// openClass is a class whose demand is not yet limited by a saturated service.
type openClass struct {
	class  int
	demand float64
	load   []float64 // Slot-seconds of one request by service.
}

// fillClasses serves the classes of one importance by progressive filling: all
// classes get the same share of their demand until a service is saturated, then
// those that do not use it get more. It adds the requests served to out and
// subtracts their slot-seconds from capacity. Classes whose calls take longer
// than the deadline get nothing.
func (s *sim) fillClasses(importance int, at time.Duration, share float64, demand, capacity, out []float64) {
	var list []openClass
	for c, class := range s.t.classes {
		if class.importance != importance || demand[c] == 0 {
			continue
		}
		load := make([]float64, len(capacity))
		if s.hold(class.tree, at, load) <= class.deadline.Seconds() {
			list = append(list, openClass{class: c, demand: demand[c] * share, load: load})
		}
	}
	left := 1.0
	for left > 1e-9 && len(list) > 0 {
		step, bottleneck := nextBottleneck(list, left, capacity)
		for _, o := range list {
			out[o.class] += o.demand * step
			for svc := range capacity {
				capacity[svc] = max(0, capacity[svc]-o.demand*step*o.load[svc])
			}
		}
		left -= step
		if bottleneck < 0 {
			return
		}
		capacity[bottleneck] = 0
		list = slices.DeleteFunc(list, func(o openClass) bool { return o.load[bottleneck] > 0 })
	}
}

// nextBottleneck returns the share of demand, up to left, that can be added to
// all classes of the list, and the service that is saturated then, or -1.
func nextBottleneck(list []openClass, left float64, capacity []float64) (float64, int) {
	step, bottleneck := left, -1
	for svc, free := range capacity {
		need := 0.0
		for _, o := range list {
			need += o.load[svc] * o.demand
		}
		if need > 0 && free/need < step {
			step, bottleneck = free/need, svc
		}
	}
	return step, bottleneck
}

// hold returns the seconds for which a call holds its slot, and adds the
// slot-seconds of its subtree to load.
func (s *sim) hold(c *callTree, at time.Duration, load []float64) float64 {
	own := s.t.services[c.service].mean.Seconds() * s.t.slowdown(c.service, at)
	for _, child := range c.children {
		own += 2*s.t.local.Seconds() + s.hold(child, at, load)
	}
	load[c.service] += own
	return own
}
