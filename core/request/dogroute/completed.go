package dogroute

// completedSet is a bounded set of digests of completed content. It keeps two
// generations and drops the previous one when the current one is full, so a
// digest in use stays in the set.
type completedSet struct {
	generationSize    int // Digests of one generation.
	current, previous map[uint64]struct{}
}

func newCompletedSet(n int) completedSet {
	return completedSet{generationSize: max(1, n/2), current: make(map[uint64]struct{})}
}

func (k *completedSet) has(d uint64) bool {
	if _, ok := k.current[d]; ok {
		return true
	}
	_, ok := k.previous[d]
	return ok
}

func (k *completedSet) add(d uint64) {
	if _, ok := k.current[d]; ok {
		return
	}
	if len(k.current) >= k.generationSize {
		k.previous, k.current = k.current, make(map[uint64]struct{})
	}
	k.current[d] = struct{}{}
}
