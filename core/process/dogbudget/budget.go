package dogbudget

import "time"

// buckets is the number of parts that a window is counted in. The oldest part
// counts whole, so that the count covers a little more than the window.
const buckets = 10

// ownShare is the part of the budget that one level of a call tree may use.
// The calls of a request that runs again count as further attempts at all
// services beneath it, and trees are four levels deep.
const ownShare = 0.25

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
	first  [buckets + 1]int
	repeat [buckets + 1]int
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
func (b *Budget) First(now time.Time, service string) { b.window(now, service).first[0]++ }

// Repeat records a further attempt that follows from one at another service.
func (b *Budget) Repeat(now time.Time, service string) { b.window(now, service).repeat[0]++ }

// Allow reports whether one more attempt is within this node's share among
// the given number of nodes, and records it if so.
func (b *Budget) Allow(now time.Time, service string, nodes int) bool {
	w := b.window(now, service)
	first, repeat := 0, 0
	for i := range w.first {
		first += w.first[i]
		repeat += w.repeat[i]
	}
	allowed := ownShare * (b.opts.Ratio*float64(first) + b.opts.Slack/float64(max(1, nodes)))
	if float64(repeat+1) > allowed {
		return false
	}
	w.repeat[0]++
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
		copy(w.first[1:], w.first[:])
		copy(w.repeat[1:], w.repeat[:])
		w.first[0], w.repeat[0] = 0, 0
		w.start = w.start.Add(step)
	}
	return w
}
