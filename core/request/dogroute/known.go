package dogroute

import "hash/fnv"

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
