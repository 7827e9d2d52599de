package dogroute

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodford"
)

const (
	// maxReportAge is the age from which on a reported load is ignored, the same
	// as for reported cutoffs.
	maxReportAge = 2 * time.Second
	// failureSmoothing is the weight of the newest response in the failure rate,
	// an exponential moving average. Five consecutive failures leave a target
	// about 3% of its share of the requests.
	failureSmoothing = 0.3
	// failureHalfLife is the time in which the failure rate of an unused target
	// decays by half.
	failureHalfLife = 2 * time.Second
	// minWeight leaves each target a few requests, so that its recovery is
	// detected.
	minWeight = 0.01
	// localSaturation is the utilisation of the chosen local target from which
	// on targets in other data centres are considered as well.
	localSaturation = 0.9
)

// Options holds the settings of a Router. Zero fields take the defaults.
type Options struct {
	DataCentre       string        // Data centre of this node.
	SlowStart        time.Duration // Time over which the share of a new target grows to its full value; default 10 s.
	PresenceTimeout  time.Duration // Age of Target.LastSeen up to which a failed or starting target counts as present; default 30 s.
	CompletedDigests int           // Digests of completed content that are kept; default 65,536.
	Rand             *rand.Rand    // Chooses candidates; required.
	// Sample is the number of targets in the local data centre, and likewise in
	// the others, that are drawn at random and considered for one request. With
	// 0 all are considered, which takes time in proportion to their number. If
	// Sample is set, the lists passed to Pick must not be modified afterwards.
	Sample int
	// ByCompletion compares targets by the expected completion time in place of
	// their utilisation, and applies SlowStart only until the first report of a new
	// target, whose guard finds its pace.
	ByCompletion bool
}

// Router implements dogwoodford.Router for one node.
type Router struct {
	opts         Options
	nodes        map[string]*node
	dcFailures   map[string]*dcFailures // By data centre.
	completedSet completedSet
	scratch      []candidate
	index        *index
	sampled      []int32
}

// node holds the observations of this node on another one.
type node struct {
	dc             string // As of the last pick.
	inFlight       int    // Requests from this node.
	load           dogwoodford.Load
	loadAt         time.Time
	inFlightAtLoad int  // Value of inFlight when the load was reported.
	unresponsive   bool // Failed to respond since the last response from its data centre.
	failureRate    float64
	failureRateAt  time.Time
	usedAt         time.Time
}

// candidate is a target that may be picked.
type candidate struct {
	target      *dogwoodford.Target
	node        *node // Nil without observations.
	weight      float64
	utilisation float64 // Share of the limit in use.
	// cost orders the candidates: the utilisation, or with ByCompletion the expected
	// completion time in seconds.
	cost float64
	// trust is the weight of the reported service time against the mean of the
	// service; 0 without a recent report.
	trust float64
}

var _ dogwoodford.Router = (*Router)(nil)

// New returns a router. It panics if o.Rand is nil.
func New(o Options) *Router {
	if o.Rand == nil {
		panic("dogroute: Options need Rand")
	}
	if o.SlowStart == 0 {
		o.SlowStart = 10 * time.Second
	}
	if o.PresenceTimeout == 0 {
		o.PresenceTimeout = 30 * time.Second
	}
	if o.CompletedDigests == 0 {
		o.CompletedDigests = 1 << 16
	}
	return &Router{
		opts: o, nodes: make(map[string]*node), dcFailures: make(map[string]*dcFailures),
		completedSet: newCompletedSet(o.CompletedDigests), index: &index{},
	}
}

// Pick chooses a target; see dogwoodford.Router. Requests with a zero digest
// are unrestricted. Targets of other services are not picked, but help to
// distinguish an unreachable data centre from a target that crashed. Failed
// targets must stay in targets with LastSeen unchanged; otherwise content that
// has not completed would move on to further targets.
func (rt *Router) Pick(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target, tried []string) (dogwoodford.Target, dogwoodford.Reason) {
	restricted := r.Digest() != 0 && !rt.completedSet.has(r.Digest())
	var pair [2]string
	if restricted {
		pair = rt.rendezvous(now, r, targets)
	}
	var list []candidate
	if rt.opts.Sample > 0 && !restricted {
		list = rt.candidatesAt(now, targets, rt.sample(r.Service(), targets, rt.opts.Sample), tried)
	}
	if len(list) == 0 {
		list = rt.readyCandidates(now, r, targets, tried, func(t *dogwoodford.Target) bool {
			return !restricted || t.Node == pair[0] || t.Node == pair[1]
		})
	}
	if len(list) == 0 {
		return dogwoodford.Target{}, dogwoodford.ReasonNoTarget
	}
	list = rt.admitting(now, r.Priority(), list)
	rt.estimate(list)
	local := partition(list, func(c candidate) bool { return c.target.DataCentre == rt.opts.DataCentre })
	if local > 0 {
		best := rt.choose(list[:local])
		// A local target that fails often must not attract all requests of its
		// data centre.
		if best.utilisation < localSaturation && rt.opts.Rand.Float64() < best.weight || local == len(list) {
			return rt.recordPick(now, best), dogwoodford.ReasonNone
		}
	}
	return rt.recordPick(now, rt.choose(list)), dogwoodford.ReasonNone
}

// candidatesAt returns the candidates among the targets at the given positions.
func (rt *Router) candidatesAt(now time.Time, targets []dogwoodford.Target, positions []int32, tried []string) []candidate {
	list := rt.scratch[:0]
	for _, i := range positions {
		t := &targets[i]
		if slices.Contains(tried, t.Node) {
			continue
		}
		if n := rt.nodes[t.Node]; !n.declined(now) {
			list = append(list, rt.candidate(now, t, n))
		}
	}
	rt.scratch = list
	return list
}

// readyCandidates returns the ready targets of the service of r that permitted
// accepts, without those that were tried or that declined.
func (rt *Router) readyCandidates(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target, tried []string, permitted func(*dogwoodford.Target) bool) []candidate {
	list := rt.scratch[:0]
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service() || t.State != dogwoodford.StateReady || slices.Contains(tried, t.Node) {
			continue
		}
		if n := rt.nodes[t.Node]; !n.declined(now) && permitted(t) {
			list = append(list, rt.candidate(now, t, n))
		}
	}
	rt.scratch = list
	return list
}

// recordPick records the data centre of the picked node, which recordResponse
// needs, and returns its target.
func (rt *Router) recordPick(now time.Time, c candidate) dogwoodford.Target {
	n := rt.node(c.target.Node)
	n.dc, n.usedAt = c.target.DataCentre, now
	return *c.target
}

// RecordDispatch records a dispatch.
func (rt *Router) RecordDispatch(now time.Time, name string) {
	n := rt.node(name)
	n.inFlight++
	n.usedAt = now
}

// RecordDispatchEnd records the end of a dispatch; see dogwoodford.Router. A
// refusal for overload is not a failure, as the reported load already accounts
// for it. A failure without a load means that there was no response. A load with
// the limit 0 means that the target accepts no new requests, for instance
// because it drains; the router then excludes it for 2 s, in which gossip should
// deliver its state.
func (rt *Router) RecordDispatchEnd(now time.Time, name string, _ time.Duration, failed bool, load *dogwoodford.Load) {
	n := rt.node(name)
	n.inFlight = max(0, n.inFlight-1)
	n.usedAt = now
	rate := n.rate(now)
	if failed {
		n.failureRate = rate + failureSmoothing*(1-rate)
	} else {
		n.failureRate = rate - failureSmoothing*rate
	}
	n.failureRateAt = now
	rt.recordResponse(now, n, failed && load == nil)
	if load != nil {
		n.load, n.loadAt, n.inFlightAtLoad = *load, now, n.inFlight
	}
}

// RecordCompletion records that content with this digest completed on some target.
func (rt *Router) RecordCompletion(digest uint64) {
	if digest != 0 {
		rt.completedSet.add(digest)
	}
}

// node returns the record of a node. Records without requests in flight that
// were not used for PresenceTimeout are dropped when a new one is created.
func (rt *Router) node(name string) *node {
	if n := rt.nodes[name]; n != nil {
		return n
	}
	latest := time.Time{}
	for _, n := range rt.nodes {
		if n.usedAt.After(latest) {
			latest = n.usedAt
		}
	}
	for other, n := range rt.nodes {
		if n.inFlight == 0 && latest.Sub(n.usedAt) > rt.opts.PresenceTimeout {
			delete(rt.nodes, other)
		}
	}
	n := &node{}
	rt.nodes[name] = n
	return n
}

// rate returns the failure rate, which decays while the target is not used.
func (n *node) rate(now time.Time) float64 {
	if n.failureRate == 0 {
		return 0
	}
	return n.failureRate * math.Exp2(-now.Sub(n.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// declined reports whether a node, which may be nil, recently reported that it
// accepts no new requests.
func (n *node) declined(now time.Time) bool {
	return n != nil && n.load.Limit == 0 && n.fresh(now)
}

// candidate returns the candidate for a target; n holds the observations on it and
// may be nil.
func (rt *Router) candidate(now time.Time, t *dogwoodford.Target, n *node) candidate {
	c := candidate{target: t, node: n, weight: 1}
	if age := now.Sub(t.ReadySince); age < rt.opts.SlowStart && !rt.reportedSince(t, n) {
		c.weight = max(0, float64(age)/float64(rt.opts.SlowStart))
	}
	if rt.unreachableDC(now, t.DataCentre) {
		c.weight = minWeight
	}
	limit, busy := t.Slots, 0
	if n != nil {
		successRate := 1 - n.rate(now)
		c.weight *= successRate * successRate
		busy = n.inFlight
		if n.fresh(now) {
			limit = n.load.Limit
			reported := n.load.InFlight + n.load.Queued + n.inFlight - n.inFlightAtLoad
			busy = max(busy, reported)
			c.trust = 1 - float64(now.Sub(n.loadAt))/float64(maxReportAge)
		}
	}
	c.weight = max(c.weight, minWeight)
	c.utilisation = float64(busy) / float64(max(1, limit))
	c.cost = c.utilisation
	if rt.opts.ByCompletion {
		c.cost = completion(busy, max(1, limit))
	}
	return c
}

func (n *node) fresh(now time.Time) bool {
	return !n.loadAt.IsZero() && now.Sub(n.loadAt) < maxReportAge
}

// admitting returns the candidates whose reported cutoff admits p, or all if
// there are none.
func (rt *Router) admitting(now time.Time, p dogwoodford.Priority, list []candidate) []candidate {
	k := partition(list, func(c candidate) bool {
		n := c.node
		return n == nil || n.load.Cutoff <= p || !n.fresh(now)
	})
	if k > 0 {
		return list[:k]
	}
	return list
}

// choose drops candidates at random, so that each stays with a probability in
// proportion to its weight, draws two of the rest and returns the one of lower cost.
// Weights must apply before the comparison: a target that does not respond looks
// idle and would win it.
func (rt *Router) choose(list []candidate) candidate {
	heaviest := 0
	for i, c := range list {
		if c.weight > list[heaviest].weight {
			heaviest = i
		}
	}
	list[0], list[heaviest] = list[heaviest], list[0]
	maxWeight := list[0].weight
	k := partition(list, func(c candidate) bool { return c.weight >= maxWeight || rt.opts.Rand.Float64()*maxWeight < c.weight })
	a := rt.opts.Rand.IntN(k)
	if k == 1 || rt.probes(list[a]) {
		return list[a]
	}
	b := rt.opts.Rand.IntN(k - 1)
	if b >= a {
		b++
	}
	if list[a].cost <= list[b].cost {
		return list[a]
	}
	return list[b]
}

// partition moves the candidates for which f is true to the front, preserving
// their order, and returns their number.
func partition(list []candidate, f func(candidate) bool) int {
	k := 0
	for i := range list {
		if f(list[i]) {
			list[k], list[i] = list[i], list[k]
			k++
		}
	}
	return k
}
