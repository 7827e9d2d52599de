package dogquota

import "time"

// loan is a number of tokens that one node has got in advance.
type loan struct {
	node   string
	n      int
	expiry time.Time
}

// loans holds the tokens in the hands of nodes. A node asks when it has none left, so that
// only its last loan counts.
type loans struct {
	queue  []*loan // By expiry.
	byNode map[string]*loan
	sum    int
}

// add records a loan to a node.
func (l *loans) add(node string, n int, expiry time.Time) {
	if n <= 0 {
		return
	}
	if l.byNode == nil {
		l.byNode = make(map[string]*loan)
	}
	x := &loan{node, n, expiry}
	l.queue = append(l.queue, x)
	l.byNode[node] = x
	l.sum += n
}

// used records that a node has no tokens left.
func (l *loans) used(node string) {
	if x := l.byNode[node]; x != nil {
		l.sum -= x.n
		x.n = 0
		delete(l.byNode, node)
	}
}

// expire removes the loans that have expired and returns the number of tokens of the rest.
func (l *loans) expire(now time.Time) int {
	for len(l.queue) > 0 && !now.Before(l.queue[0].expiry) {
		x := l.queue[0]
		l.queue = l.queue[1:]
		if l.byNode[x.node] == x {
			l.used(x.node)
		}
	}
	return l.sum
}
