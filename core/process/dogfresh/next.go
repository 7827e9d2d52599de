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
	// minStoreNodes is the number of nodes that ask the store in a round, of those that
	// reach a stage together.
	minStoreNodes = 3
	// lapsedStoreShare is the share of the nodes that ask the store in a round after the
	// end of the lifetime, if they do not anyway.
	lapsedStoreShare = 0.25
	// jitter is the fraction of a wait that is random, so that nodes do not ask together.
	jitter = 0.2
)

// Action is what a node does next to learn whether its version is the newest.
type Action struct {
	Store bool          // Ask the store now.
	Peers int           // Number of other nodes to ask now.
	Wait  time.Duration // Time until the next call of Next.
}

// Next returns what to do now, in a fleet of the given number of nodes. Its result depends
// on the moment that is known: rounds of questions end as soon as an answer is recorded.
//
// Nodes that hear of each other have about the same age, and reach each stage together. Of
// all nodes only a few ask the store at first, as their answers spread; the closer the end
// of the lifetime, the more do.
func (t *Tracker) Next(now time.Duration, nodes int) Action {
	age := now - t.current.moment
	ask, urgent := t.share(askShare), t.share(urgentShare)
	switch {
	case !t.current.known || age >= t.opts.Lifetime:
		return Action{Store: t.asksStore(nodes, lapsedStoreShare), Peers: lapsedPeers, Wait: t.jittered(lapsedInterval)}
	case age >= urgent:
		urgency := float64(age-urgent) / float64(t.opts.Lifetime-urgent)
		return Action{
			Store: t.asksStore(nodes, urgency*urgency), Peers: urgentPeers, Wait: min(t.jittered(urgentInterval), t.opts.Lifetime-age),
		}
	case age >= ask:
		return Action{Store: t.asksStore(nodes, 0), Peers: 1, Wait: min(t.jittered(askInterval), urgent-age)}
	}
	return Action{Wait: ask - age}
}

// Urgent reports whether the end of the lifetime is near or over.
func (t *Tracker) Urgent(now time.Duration) bool {
	return !t.current.known || now-t.current.moment >= t.share(urgentShare)
}

// asksStore decides by chance whether this node is one of those that ask the store: a share
// of all nodes, and at least a few.
func (t *Tracker) asksStore(nodes int, share float64) bool {
	return t.opts.Rand.Float64()*float64(nodes) < max(minStoreNodes, share*float64(nodes))
}

func (t *Tracker) share(s float64) time.Duration { return time.Duration(s * float64(t.opts.Lifetime)) }

func (t *Tracker) jittered(d time.Duration) time.Duration {
	return d - time.Duration(jitter*t.opts.Rand.Float64()*float64(d))
}
