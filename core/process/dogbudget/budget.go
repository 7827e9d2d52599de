package dogbudget

import "time"

// buckets is the number of parts that a window is counted in. The oldest part
// counts whole, so that the count covers a little more than the window.
const buckets = 10

// The calls of a request that runs again count as further attempts at all
// services beneath it. A service beneath gets the same part of its budget from
// above as the service above has used of its own, so a common bound at all
// levels holds at each of them.
const (
	// rootShare is the part of the ratio that requests of callers may use. It
	// leaves room for attempts further down, which repeat less work.
	rootShare = 0.4
	// totalShare is the part of the ratio that further attempts of all kinds
	// may use. The rest covers windows that lie otherwise than the node's.
	totalShare = 0.6
	// slackShare is the part of the constant that may be used. A further
	// attempt at one service leads to several calls of another.
	slackShare = 0.1
)

// Options are the settings of a Budget. All are required.
type Options struct {
	Ratio  float64       // Further attempts for each request.
	Slack  float64       // Further attempts beyond the ratio, of all nodes together.
	Window time.Duration // Time over which both are counted.
}

// Budget counts requests and further attempts by service. It is not safe for
// concurrent use.
type Budget struct {
	opts     Options
	services map[string]*window
}

type window struct {
	start  time.Time // Start of the newest bucket.
	counts [buckets + 1]counts
}

// counts are the numbers of one bucket.
type counts struct {
	first  int // Requests.
	repeat int // Further attempts.
	roots  int // Further attempts of requests of callers.
}

// New returns an empty budget.
func New(o Options) *Budget { return &Budget{opts: o, services: make(map[string]*window)} }

// SetOptions changes the budget. The counts stay, unless the window changes.
func (b *Budget) SetOptions(o Options) {
	if o.Window != b.opts.Window {
		clear(b.services)
	}
	b.opts = o
}

// First records the first attempt of a request.
func (b *Budget) First(now time.Time, service string) { b.window(now, service).counts[0].first++ }

// Repeat records a further attempt that follows from one at another service.
func (b *Budget) Repeat(now time.Time, service string) { b.window(now, service).counts[0].repeat++ }

// Allow reports whether one more attempt is within this node's share among
// the given number of nodes, and records it if so. root tells that the request
// is one of a caller and not a call of another request.
func (b *Budget) Allow(now time.Time, service string, nodes int, root bool) bool {
	w := b.window(now, service)
	var sum counts
	for _, c := range w.counts {
		sum.first += c.first
		sum.repeat += c.repeat
		sum.roots += c.roots
	}
	ratio, slack := b.opts.Ratio*float64(sum.first), slackShare*b.opts.Slack/float64(max(1, nodes))
	if float64(sum.repeat+1) > totalShare*ratio+slack {
		return false
	}
	if root {
		if float64(sum.roots+1) > rootShare*ratio+slack {
			return false
		}
		w.counts[0].roots++
	}
	w.counts[0].repeat++
	return true
}

// window returns the counts of a service, moved on to now.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	step := b.opts.Window / buckets
	for i := 0; now.Sub(w.start) >= step; i++ {
		if i > buckets {
			*w = window{start: now}
			break
		}
		copy(w.counts[1:], w.counts[:])
		w.counts[0] = counts{}
		w.start = w.start.Add(step)
	}
	return w
}
