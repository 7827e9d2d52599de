package dogroute

import (
	"hash/fnv"
	"time"

	"dogwoodford"
)

// known is a bounded set of digests. It keeps two generations and drops the
// older one when the newer is full, so a digest in use stays known.
type known struct {
	most       int // Digests of one generation.
	newer, old map[uint64]struct{}
}

func newKnown(n int) known {
	return known{most: max(1, n/2), newer: make(map[uint64]struct{})}
}

func (k *known) has(d uint64) bool {
	if _, ok := k.newer[d]; ok {
		return true
	}
	_, ok := k.old[d]
	return ok
}

func (k *known) add(d uint64) {
	if _, ok := k.newer[d]; ok {
		return
	}
	if len(k.newer) >= k.most {
		k.old, k.newer = k.newer, make(map[uint64]struct{})
	}
	k.newer[d] = struct{}{}
}

// rendezvous returns the two nodes that the digest of r hashes to among the
// present targets of its service. Failed targets count while present, so that
// the death of a target does not pass its content on to a third one. Draining
// and departed targets do not count: they leave by plan, not because of
// content.
func (rt *Router) rendezvous(now time.Time, r dogwoodford.Request, targets []dogwoodford.Target) [2]string {
	var names [2]string
	var scores [2]uint64
	for _, t := range targets {
		if t.Service != r.Service() || t.State == dogwoodford.Draining || t.State == dogwoodford.Left {
			continue
		}
		if t.State != dogwoodford.Ready && now.Sub(t.Seen) > rt.opts.Present {
			continue
		}
		s := score(r.Digest(), t.Node)
		switch {
		case names[0] == "" || s > scores[0]:
			names[1], scores[1] = names[0], scores[0]
			names[0], scores[0] = t.Node, s
		case names[1] == "" || s > scores[1]:
			names[1], scores[1] = t.Node, s
		}
	}
	return names
}

// score mixes a digest with a node name. The finalizer is that of SplitMix64.
func score(digest uint64, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64() ^ digest
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
