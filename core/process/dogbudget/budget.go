package dogbudget

import "time"

// buckets is the number of buckets per window. Retries of one more are counted, so
// that the counts cover slightly more than the window.
const buckets = 10

// history is the number of buckets that are kept: for the retries of a window, and the
// requests of the window before it.
const history = 2*buckets + 1

// The calls of a retried request count as retries at all services beneath it.
// The share of a service's budget that is used by induced retries equals the
// share that the service above has used of its own, so a common bound at all
// levels holds at each of them.
const (
	// rootShare is the part of the ratio that root requests may use. The rest
	// remains for retries further down the call tree, which repeat less work.
	rootShare = 0.4
	// totalShare is the part of the ratio that all retries together may use.
	// The rest covers windows that are not aligned with those of the node.
	totalShare = 0.53
	// slackShare is the part of the constant that may be used. It is small
	// because one retry at a service induces several calls of another.
	slackShare = 0.1
)

// levels is the number of priorities that are told apart. All lower ones count as the
// last.
const levels = 8

const (
	// recentBuckets is the number of the newest buckets from which the demand of the
	// more important requests is extrapolated to a window.
	recentBuckets = 2
	// minBucketParts limits the extrapolation of a bucket that has just begun: it
	// counts as this part of a bucket at least.
	minBucketParts = 4
)

// Request is what decides whether a request may be retried.
type Request struct {
	Service  string
	Root     bool // It comes from a caller and is not a child call.
	Priority int  // Priority of the request at the root of its call tree; 0 is the highest.
}

func (r Request) level() int { return max(0, min(r.Priority, levels-1)) }

// Options configure a Budget. All fields are required.
type Options struct {
	Ratio  float64       // Retries per request.
	Slack  float64       // Retries in addition to the ratio, per window, of all nodes together.
	Window time.Duration // Sliding window over which requests and retries are counted.
}

// Budget counts requests and retries by service. It is not safe for concurrent
// use.
type Budget struct {
	opts     Options
	services map[string]*window
}

// window holds the counts of one service.
type window struct {
	start  time.Time       // Start of the newest bucket.
	counts [history]counts // Newest first.
}

// counts are the numbers of one bucket.
type counts struct {
	first       int // First attempts of requests.
	retries     int // Retries, including induced ones.
	rootRetries int // Retries of root requests.

	asked   [levels]int // Retries that were asked for, by level.
	granted [levels]int // Those of them that were allowed.
}

// New returns an empty budget.
func New(o Options) *Budget { return &Budget{opts: o, services: make(map[string]*window)} }

// SetOptions replaces the options. It discards the counts if the window
// changes.
func (b *Budget) SetOptions(o Options) {
	if o.Window != b.opts.Window {
		clear(b.services)
	}
	b.opts = o
}

// RecordFirst records the first attempt of a request.
func (b *Budget) RecordFirst(now time.Time, service string) { b.window(now, service).counts[0].first++ }

// RecordInducedRetry records an induced retry: the first attempt of a child
// call of a retried request.
func (b *Budget) RecordInducedRetry(now time.Time, service string) {
	b.window(now, service).counts[0].retries++
}

// Allow reports whether one more retry of r is within this node's share of the
// budget among the given number of nodes, and records it if so. While more important
// requests need retries, what they will probably need stays reserved for them.
func (b *Budget) Allow(now time.Time, r Request, nodes int) bool {
	w := b.window(now, r.Service)
	level := r.level()
	w.counts[0].asked[level]++
	slack := slackShare * b.opts.Slack / float64(max(1, nodes))
	if !w.hasRoom(b.opts.Ratio, slack, r.Root, w.reserve(now, b.opts.Window/buckets, level)) {
		return false
	}
	if r.Root {
		w.counts[0].rootRetries++
	}
	w.counts[0].retries++
	w.counts[0].granted[level]++
	return true
}

// hasRoom reports whether one more retry keeps to the shares of the budget in every
// window that contains it. Each such window begins with some of the past buckets, and
// its budget follows from the requests in it, in the window before it or in the one half
// a window before it, whichever are most. Of these, what has passed is counted. reserve is
// the number of retries that are kept for others.
func (w *window) hasRoom(ratio, slack float64, root bool, reserve int) bool {
	retries, rootRetries := 1, 1
	for n := 1; n <= buckets+1; n++ { // Number of past buckets in the window.
		c := &w.counts[n-1]
		retries += c.retries
		rootRetries += c.rootRetries
		first := max(w.first(0, n), w.first(n-buckets/2, n+buckets/2), w.first(n, n+buckets))
		allowed := ratio * float64(first)
		if n == buckets+1 {
			retries += reserve
		}
		if float64(retries) > totalShare*allowed+slack || root && float64(rootRetries) > rootShare*allowed+slack {
			return false
		}
	}
	return true
}

// first returns the number of first attempts in the buckets from begin to before end.
// Buckets that are not kept or have not passed count as empty.
func (w *window) first(begin, end int) int {
	n := 0
	for i := max(0, begin); i < min(end, history); i++ {
		n += w.counts[i].first
	}
	return n
}

// reserve returns the number of retries that requests above a level will probably ask
// for during a window, at the rate of the busiest recent bucket, less those that they
// have had in this one. step is the length of a bucket.
func (w *window) reserve(now time.Time, step time.Duration, level int) int {
	granted, demand := 0, 0.0
	for i := range recentBuckets {
		asked, length := 0, step
		if i == 0 {
			length = max(now.Sub(w.start), step/minBucketParts)
		}
		for l := range level {
			asked += w.counts[i].asked[l]
		}
		demand = max(demand, float64(asked)*float64(step)/float64(length))
	}
	for i := range buckets + 1 {
		for l := range level {
			granted += w.counts[i].granted[l]
		}
	}
	return max(0, int(demand*buckets)-granted)
}

// window returns the counts of a service, advanced to now.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	step := b.opts.Window / buckets
	for i := 0; now.Sub(w.start) >= step; i++ {
		if i >= history {
			*w = window{start: now}
			break
		}
		copy(w.counts[1:], w.counts[:])
		w.counts[0] = counts{}
		w.start = w.start.Add(step)
	}
	return w
}
