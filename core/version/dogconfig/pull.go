package dogconfig

import (
	"slices"
	"time"
)

const (
	// pullTimeout is the longest wait for the answer to a pull.
	pullTimeout = 3 * time.Second
	// pullPause is the wait before the next source is tried.
	pullPause = 300 * time.Millisecond
	// pullBatch is the number of customers asked for in one pull; a contract
	// has some kilobytes.
	pullBatch = 64
	// maxSources is the number of peers remembered that told of a generation.
	maxSources = 4
	// differEvery is the least time between two comparisons of generations.
	differEvery = time.Second
)

// wanted is a generation that a peer told of and whose text is not at hand.
type wanted struct {
	generation Generation
	sources    []string // Peers that told of it and were not yet asked.
	next       time.Time
	asked      string // Peer of the open pull; empty if none.
}

type pulls struct {
	wanted   map[string]*wanted
	open     map[string]time.Time // Peers with an open pull, since when.
	differAt time.Time
}

// want notes a generation told by a peer.
func (c *Config[C]) want(now time.Time, peer string, g Generation) {
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
	w := c.pulls.wanted[g.Customer]
	switch {
	case w == nil && len(c.pulls.wanted) >= c.opt.MaxCustomers:
		return
	case w == nil || w.generation.Less(g):
		// A pull of the older generation that is still open may bring the newer
		// one; if not, this one is asked next.
		c.pulls.wanted[g.Customer] = &wanted{generation: g, sources: []string{peer}, next: now}
	case w.generation == g && len(w.sources) < maxSources && w.asked != peer && !slices.Contains(w.sources, peer):
		w.sources = append(w.sources, peer)
	}
	c.pull(now)
}

// settled drops what is no longer wanted.
func (c *Config[C]) settled(g Generation) {
	if w := c.pulls.wanted[g.Customer]; w != nil && !g.Less(w.generation) {
		delete(c.pulls.wanted, g.Customer)
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

// pull asks for the texts that are due, one pull per peer at a time.
func (c *Config[C]) pull(now time.Time) {
	batches := map[string][]string{}
	var peers []string
	var names []string
	for name := range c.pulls.wanted {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w := c.pulls.wanted[name]
		if w.asked != "" || now.Before(w.next) {
			continue
		}
		if len(w.sources) == 0 {
			// Every peer that told of it failed. The next one that tells of it,
			// or whose hash differs, starts anew.
			delete(c.pulls.wanted, name)
			continue
		}
		peer := w.sources[0]
		if _, open := c.pulls.open[peer]; open || len(batches[peer]) >= pullBatch {
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
		c.opened(now, peer)
		c.act(PullTexts{Peer: peer, Customers: batches[peer]})
	}
}

func (c *Config[C]) opened(now time.Time, peer string) {
	if c.pulls.open == nil {
		c.pulls.open = map[string]time.Time{}
	}
	c.pulls.open[peer] = now
}

func (c *Config[C]) onPeerDiffers(now time.Time, peer string) {
	if _, open := c.pulls.open[peer]; open || now.Before(c.pulls.differAt) || peer == "" {
		return
	}
	c.pulls.differAt = now.Add(time.Duration(float64(differEvery) * (0.8 + 0.4*c.opt.Rand.Float64())))
	c.opened(now, peer)
	c.act(PullGenerations{Peer: peer})
}

func (c *Config[C]) onPullAnswered(now time.Time, ev PullAnswered) {
	delete(c.pulls.open, ev.Peer)
	for _, t := range ev.Texts {
		c.offer(now, t.Customer, ev.Peer, t.Text)
	}
	c.release(now, ev.Peer)
	for _, g := range ev.Generations {
		c.want(now, ev.Peer, g)
	}
	c.pull(now)
}

func (c *Config[C]) onPullFailed(now time.Time, peer string) {
	delete(c.pulls.open, peer)
	c.release(now, peer)
}

// release lets the generations that a peer did not bring be asked of others.
func (c *Config[C]) release(now time.Time, peer string) {
	for name, w := range c.pulls.wanted {
		if w.asked != peer {
			continue
		}
		w.asked = ""
		w.next = now.Add(pullPause)
		if bad, ok := c.rejected[name]; ok && bad.Hash == w.generation.Hash {
			delete(c.pulls.wanted, name)
		}
	}
}
