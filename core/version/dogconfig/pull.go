package dogconfig

import (
	"slices"
	"time"
)

const (
	// pullTimeout is the maximum time to the answer to a pull.
	pullTimeout = 3 * time.Second
	// pullRetryDelay is the delay before the next source is tried.
	pullRetryDelay = 300 * time.Millisecond
	// pullBatchSize is the maximum number of customers per pull; a contract has a
	// few kilobytes.
	pullBatchSize = 64
	// maxSources is the maximum number of sources kept per generation.
	maxSources = 4
	// compareInterval is the minimum time between two PullGenerations actions,
	// with a jitter of ±20 %.
	compareInterval = time.Second
)

// pending is a generation that a peer announced and whose text has not been
// received.
type pending struct {
	generation Generation
	sources    []string  // Peers that announced it and have not been asked yet.
	next       time.Time // Earliest time of the next pull.
	asked      string    // Peer of the open pull, or empty.
}

type pulls struct {
	pending     map[string]*pending
	open        map[string]time.Time // Start of the open pull by peer.
	nextCompare time.Time
}

// onGeneration records a generation announced by a peer and pulls its text if it is
// newer than the one in force.
func (c *Config[C]) onGeneration(now time.Time, peer string, g Generation) {
	if g.Customer == "" || g.Number < 1 || peer == "" {
		return
	}
	if have, ok := c.snapshot[g.Customer]; ok {
		if have.Number == g.Number && have.Hash != g.Hash {
			c.reportConflict(have.Generation, g, peer)
		}
		if !have.Less(g) {
			return
		}
	}
	if bad, ok := c.rejected[g.Customer]; ok && bad.Hash == g.Hash {
		return
	}
	w := c.pulls.pending[g.Customer]
	switch {
	case w == nil && len(c.pulls.pending) >= c.opt.MaxCustomers:
		return
	case w == nil || w.generation.Less(g):
		// An open pull of the older generation may return the newer one. Otherwise
		// this peer is asked next.
		c.pulls.pending[g.Customer] = &pending{generation: g, sources: []string{peer}, next: now}
	case w.generation == g && len(w.sources) < maxSources && w.asked != peer && !slices.Contains(w.sources, peer):
		w.sources = append(w.sources, peer)
	}
	c.pull(now)
}

// dropPending drops the customer's pending generation unless it is newer than g.
func (c *Config[C]) dropPending(g Generation) {
	if w := c.pulls.pending[g.Customer]; w != nil && !g.Less(w.generation) {
		delete(c.pulls.pending, g.Customer)
	}
}

func (c *Config[C]) tickPulls(now time.Time) {
	for _, peer := range c.openPeers() {
		if now.Sub(c.pulls.open[peer]) > pullTimeout {
			c.onPullFailed(now, peer)
		}
	}
	c.pull(now)
}

func (c *Config[C]) openPeers() []string {
	var out []string
	for peer := range c.pulls.open {
		out = append(out, peer)
	}
	slices.Sort(out)
	return out
}

// pull requests the texts that are due, with at most one open pull per peer.
func (c *Config[C]) pull(now time.Time) {
	batches := map[string][]string{}
	var peers []string
	var names []string
	for name := range c.pulls.pending {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w := c.pulls.pending[name]
		if w.asked != "" || now.Before(w.next) {
			continue
		}
		if len(w.sources) == 0 {
			// All sources failed. The next announcement, or the next peer with
			// another hash, starts over.
			delete(c.pulls.pending, name)
			continue
		}
		peer := w.sources[0]
		if _, open := c.pulls.open[peer]; open || len(batches[peer]) >= pullBatchSize {
			continue
		}
		w.sources = w.sources[1:]
		w.asked = peer
		if batches[peer] == nil {
			peers = append(peers, peer)
		}
		batches[peer] = append(batches[peer], name)
	}
	for _, peer := range peers {
		c.markOpen(now, peer)
		c.emit(PullTexts{Peer: peer, Customers: batches[peer]})
	}
}

func (c *Config[C]) markOpen(now time.Time, peer string) {
	if c.pulls.open == nil {
		c.pulls.open = map[string]time.Time{}
	}
	c.pulls.open[peer] = now
}

func (c *Config[C]) onPeerDiffers(now time.Time, peer string) {
	if _, open := c.pulls.open[peer]; open || now.Before(c.pulls.nextCompare) || peer == "" {
		return
	}
	c.pulls.nextCompare = now.Add(time.Duration(float64(compareInterval) * (0.8 + 0.4*c.opt.Rand.Float64())))
	c.markOpen(now, peer)
	c.emit(PullGenerations{Peer: peer})
}

func (c *Config[C]) onPullAnswered(now time.Time, ev PullAnswered) {
	delete(c.pulls.open, ev.Peer)
	for _, t := range ev.Texts {
		c.offer(now, t.Customer, ev.Peer, t.Text)
	}
	c.requeue(now, ev.Peer)
	for _, g := range ev.Generations {
		c.onGeneration(now, ev.Peer, g)
	}
	c.pull(now)
}

func (c *Config[C]) onPullFailed(now time.Time, peer string) {
	delete(c.pulls.open, peer)
	c.requeue(now, peer)
}

// requeue makes the generations that peer was asked for and did not deliver
// available for a pull from their next source, and drops those whose text was
// rejected.
func (c *Config[C]) requeue(now time.Time, peer string) {
	for name, w := range c.pulls.pending {
		if w.asked != peer {
			continue
		}
		w.asked = ""
		w.next = now.Add(pullRetryDelay)
		if bad, ok := c.rejected[name]; ok && bad.Hash == w.generation.Hash {
			delete(c.pulls.pending, name)
		}
	}
}
