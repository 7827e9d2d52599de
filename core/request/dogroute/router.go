package dogroute

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodford"
)

const (
	// reportAge is the age at which a reported load no longer counts, as for
	// reported cutoffs.
	reportAge = 2 * time.Second
	// failureStep is the share of the newest answer in the failure rate. Five
	// failures in a row leave a target about 3% of its share.
	failureStep = 0.3
	// failureHalfLife is the time in which an unused target gets half of its
	// lost share back.
	failureHalfLife = 2 * time.Second
	// leastWeight keeps a trickle of requests, so that recovery is noticed.
	leastWeight = 0.01
	// full is the use of the local targets above which others are considered.
	full = 0.9
)

// Options are the settings of a Router. Zero fields take the defaults.
type Options struct {
	DataCentre string        // Data centre of this node.
	SlowStart  time.Duration // Time over which a new target gets its full share; default 10 s.
	Present    time.Duration // Age of Target.Seen up to which a target counts as present; default 30 s.
	Known      int           // Digests of completed content that are kept; default 65,536.
	Rand       *rand.Rand    // Chooses candidates; required.
	// Sample is the number of targets in the own data centre, and in the
	// others, that are drawn at random and compared for one request; 0
	// compares all, which takes time in proportion to their number. With it,
	// lists that Pick was given must not change afterwards.
	Sample int
}

// Router implements dogwoodford.Router for one node.
type Router struct {
	opts    Options
	nodes   map[string]*node
	silence map[string]*silence // By data centre.
	known   known
	scratch []candidate
	index   *index
	drawn   []int32
}

// node is what this node observed of another.
type node struct {
	dc        string // As of the last pick.
	inFlight  int    // Own requests.
	load      dogwoodford.Load
	loadAt    time.Time
	ownAtLoad int  // Own requests in flight when the load was reported.
	silent    bool // The last dispatch got no answer.
	failures  float64
	failedAt  time.Time
	usedAt    time.Time
}

// candidate is a target that may be picked.
type candidate struct {
	target *dogwoodford.Target
	weight float64
	use    float64 // Share of the limit in use.
}

var _ dogwoodford.Router = (*Router)(nil)

// New returns a router. It panics if Rand is nil.
func New(o Options) *Router {
	if o.Rand == nil {
		panic("dogroute: Options need Rand")
	}
	if o.SlowStart == 0 {
		o.SlowStart = 10 * time.Second
	}
	if o.Present == 0 {
		o.Present = 30 * time.Second
	}
	if o.Known == 0 {
		o.Known = 1 << 16
	}
	return &Router{
		opts: o, nodes: make(map[string]*node), silence: make(map[string]*silence),
		known: newKnown(o.Known), index: &index{},
	}
}

// Pick chooses a target; see dogwoodford.Router. Requests with a zero digest
// are unrestricted. Targets of other services are passed over, but serve to
// tell a data centre that is cut off from a target that died. Targets that
// failed must stay in targets with their last Seen time, or content unknown
// until then would move on to further targets.
func (rt *Router) Pick(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target, tried []string) (dogwoodford.Target, dogwoodford.Reason) {
	restricted := r.Digest() != 0 && !rt.known.has(r.Digest())
	var two [2]string
	if restricted {
		two = rt.rendezvous(now, r, targets)
	}
	var list []candidate
	if rt.opts.Sample > 0 && !restricted {
		list = rt.usable(now, targets, rt.sample(r.Service(), targets, rt.opts.Sample), tried)
	}
	if len(list) == 0 {
		list = rt.all(now, r, targets, tried, func(t *dogwoodford.Target) bool {
			return !restricted || t.Node == two[0] || t.Node == two[1]
		})
	}
	if len(list) == 0 {
		return dogwoodford.Target{}, dogwoodford.ReasonNoTarget
	}
	list = rt.admitting(now, r.Priority(), list)
	local := partition(list, func(c candidate) bool { return c.target.DataCentre == rt.opts.DataCentre })
	if local > 0 {
		best := rt.choose(list[:local])
		// A local target that fails often must not keep its whole data centre.
		if best.use < full && rt.opts.Rand.Float64() < best.weight || local == len(list) {
			return rt.picked(now, best), dogwoodford.ReasonNone
		}
	}
	return rt.picked(now, rt.choose(list)), dogwoodford.ReasonNone
}

// usable returns the candidates among the targets at some positions of a list.
func (rt *Router) usable(now time.Time, targets []dogwoodford.Target, positions []int32, tried []string) []candidate {
	list := rt.scratch[:0]
	for _, i := range positions {
		if t := &targets[i]; !slices.Contains(tried, t.Node) && !rt.declined(now, t.Node) {
			list = append(list, rt.candidate(now, t))
		}
	}
	rt.scratch = list
	return list
}

// all returns all candidates for r that permitted accepts.
func (rt *Router) all(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target, tried []string, permitted func(*dogwoodford.Target) bool) []candidate {
	list := rt.scratch[:0]
	for i := range targets {
		t := &targets[i]
		if t.Service != r.Service() || t.State != dogwoodford.Ready || slices.Contains(tried, t.Node) || rt.declined(now, t.Node) {
			continue
		}
		if permitted(t) {
			list = append(list, rt.candidate(now, t))
		}
	}
	rt.scratch = list
	return list
}

// picked notes where a node is, as the records of its answers need it.
func (rt *Router) picked(now time.Time, c candidate) dogwoodford.Target {
	n := rt.node(c.target.Node)
	n.dc, n.usedAt = c.target.DataCentre, now
	return *c.target
}

// Sent records a dispatch.
func (rt *Router) Sent(now time.Time, name string) {
	n := rt.node(name)
	n.inFlight++
	n.usedAt = now
}

// Answered records the end of a dispatch; see dogwoodford.Router. A refusal for
// overload is not a failure: its load already tells. A failure without a load
// means that no answer came. A load with the limit 0 means that the target
// takes no new work, for instance because it drains; the router then leaves it
// out for 2 s, in which gossip should bring its state.
func (rt *Router) Answered(now time.Time, name string, _ time.Duration, failed bool, load *dogwoodford.Load) {
	n := rt.node(name)
	n.inFlight = max(0, n.inFlight-1)
	n.usedAt = now
	rate := n.rate(now)
	if failed {
		n.failures = rate + failureStep*(1-rate)
	} else {
		n.failures = rate - failureStep*rate
	}
	n.failedAt = now
	rt.heard(now, n, failed && load == nil)
	if load != nil {
		n.load, n.loadAt, n.ownAtLoad = *load, now, n.inFlight
	}
}

// Completed records that the content with this digest completed somewhere.
func (rt *Router) Completed(digest uint64) {
	if digest != 0 {
		rt.known.add(digest)
	}
}

// node returns the record of a node. Records without requests in flight that
// were not used for the presence time are dropped when a new one is made.
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
		if n.inFlight == 0 && latest.Sub(n.usedAt) > rt.opts.Present {
			delete(rt.nodes, other)
		}
	}
	n := &node{}
	rt.nodes[name] = n
	return n
}

// rate returns the failure rate, which decays while the target is not used.
func (n *node) rate(now time.Time) float64 {
	if n.failures == 0 {
		return 0
	}
	return n.failures * math.Exp2(-now.Sub(n.failedAt).Seconds()/failureHalfLife.Seconds())
}

// declined reports whether a node said that it takes no new work.
func (rt *Router) declined(now time.Time, name string) bool {
	n := rt.nodes[name]
	return n != nil && n.fresh(now) && n.load.Limit == 0
}

func (rt *Router) candidate(now time.Time, t *dogwoodford.Target) candidate {
	c := candidate{target: t, weight: 1}
	if age := now.Sub(t.Since); age < rt.opts.SlowStart {
		c.weight = max(0, float64(age)/float64(rt.opts.SlowStart))
	}
	if rt.silentDC(now, t.DataCentre) {
		c.weight = leastWeight
	}
	limit, busy := t.Slots, 0
	if n := rt.nodes[t.Node]; n != nil {
		ok := 1 - n.rate(now)
		c.weight *= ok * ok
		busy = n.inFlight
		if n.fresh(now) {
			limit = n.load.Limit
			reported := n.load.InFlight + n.load.Queued + n.inFlight - n.ownAtLoad
			busy = max(busy, reported)
		}
	}
	c.weight = max(c.weight, leastWeight)
	c.use = float64(busy) / float64(max(1, limit))
	return c
}

func (n *node) fresh(now time.Time) bool {
	return !n.loadAt.IsZero() && now.Sub(n.loadAt) < reportAge
}

// admitting returns the candidates whose reported cutoff admits p, or all if
// there are none.
func (rt *Router) admitting(now time.Time, p dogwoodford.Priority, list []candidate) []candidate {
	k := partition(list, func(c candidate) bool {
		n := rt.nodes[c.target.Node]
		return n == nil || !n.fresh(now) || n.load.Cutoff <= p
	})
	if k > 0 {
		return list[:k]
	}
	return list
}

// choose drops candidates at random so that each stays in proportion to its
// weight, draws two of the rest and returns the less used. Weights must act
// before the comparison: a target that answers nothing looks idle and would win
// it.
func (rt *Router) choose(list []candidate) candidate {
	heaviest := 0
	for i, c := range list {
		if c.weight > list[heaviest].weight {
			heaviest = i
		}
	}
	list[0], list[heaviest] = list[heaviest], list[0]
	most := list[0].weight
	k := partition(list, func(c candidate) bool { return c.weight >= most || rt.opts.Rand.Float64()*most < c.weight })
	a := rt.opts.Rand.IntN(k)
	if k == 1 {
		return list[a]
	}
	b := rt.opts.Rand.IntN(k - 1)
	if b >= a {
		b++
	}
	if list[a].use <= list[b].use {
		return list[a]
	}
	return list[b]
}

// partition moves the candidates for which f is true to the front, keeping
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
