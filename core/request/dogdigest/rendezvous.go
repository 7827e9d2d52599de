package dogdigest

import "hash/fnv"

// Score is the weight of a node for a digest in rendezvous hashing: the nodes with the
// highest ones are chosen. The finalizer is that of SplitMix64.
func Score(digest uint64, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	x := h.Sum64() ^ digest
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
