package dogfresh

import "time"

// Shares of the lifetime at which a node starts to ask. A node whose own watch or whose
// traffic with other nodes is undisturbed stays below the first.
const (
	askShare    = 0.44
	urgentShare = 0.6
)

const (
	// askInterval, urgentInterval and lapsedInterval are the times between two rounds of
	// questions in the three stages. A question takes tens of milliseconds.
	askInterval    = 400 * time.Millisecond
	urgentInterval = 300 * time.Millisecond
	lapsedInterval = 500 * time.Millisecond
	// urgentPeers and lapsedPeers are the numbers of nodes that are asked in a round. With
	// a third of the nodes away from the store, four rounds of three questions before the
	// end of the lifetime all go to such nodes once in a million times.
	urgentPeers = 3
	lapsedPeers = 2
	// jitter is the fraction of a wait that is random, so that nodes do not ask together.
	jitter = 0.2
)

// Action is what a node does next to learn whether its version is the newest.
type Action struct {
	Store bool          // Ask the store now.
	Peers int           // Number of other nodes to ask now.
	Wait  time.Duration // Time until the next call of Next.
}

// Next returns what to do now. Its result depends on the moment that is known: rounds of
// questions end as soon as an answer is recorded.
func (t *Tracker) Next(now time.Duration) Action {
	age := now - t.current.moment
	ask, urgent := t.share(askShare), t.share(urgentShare)
	switch {
	case !t.current.known || age >= t.opts.Lifetime:
		return Action{Store: true, Peers: lapsedPeers, Wait: t.jittered(lapsedInterval)}
	case age >= urgent:
		return Action{Store: true, Peers: urgentPeers, Wait: min(t.jittered(urgentInterval), t.opts.Lifetime-age)}
	case age >= ask:
		return Action{Peers: 1, Wait: min(t.jittered(askInterval), urgent-age)}
	}
	return Action{Wait: ask - age}
}

func (t *Tracker) share(s float64) time.Duration { return time.Duration(s * float64(t.opts.Lifetime)) }

func (t *Tracker) jittered(d time.Duration) time.Duration {
	return d - time.Duration(jitter*t.opts.Rand.Float64()*float64(d))
}
