package dognode

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogpeer"
)

const (
	// stableTime is how long the state of this node must be unchanged before a
	// difference from a peer counts: gossip reaches almost all nodes within it.
	stableTime = 3 * time.Second
	// minPullInterval is the minimum time between pulls of the whole state. The
	// state takes 100 KB at the fleet size expected in two years, so a pull every
	// 20 s alone would use the 5 KB/s allowed for a node. Differences that last
	// this long are rare, however.
	minPullInterval = 10 * time.Second
	// stateHashMask selects the bits of the hash in messages that cover the
	// owners of key ranges and the suspects. The other bits cover contracts.
	stateHashMask = 1<<32 - 1
)

// antiEntropy holds what this node needs to detect and pull missed updates of
// owners and suspects. Gossip
// sends their updates only a few times, so a node that was not known at that
// time would never receive them.
type antiEntropy struct {
	hash       uint64 // Lower half of the hash in messages.
	lastChange time.Time
	lastPull   time.Time
}

// updateStateHash computes the hash of contracts, owners and suspects and passes
// it to the membership, which sends it in its messages.
func (c *control) updateStateHash(now time.Time) {
	h := c.stateHash()
	if h != c.antiEntropy.hash {
		c.antiEntropy.hash, c.antiEntropy.lastChange = h, now
	}
	c.onMember(now, dogmember.ContractsChanged{Hash: c.config.Hash()&^stateHashMask | h})
}

// stateHash returns a hash of the owners and witnesses of key ranges and of the
// deaths of targets. It covers witnesses because one that does not know that it
// is a witness never takes over.
func (c *control) stateHash() uint64 {
	var sum uint64
	add := func(name string, a, b uint64) {
		h := fnv.New64a()
		h.Write([]byte(name))
		h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, a), b))
		sum ^= h.Sum64()
	}
	for _, s := range c.table.Services() {
		for i := range dogwoodford.KeyRanges {
			if v := c.table.Row(s, i); v.Epoch > 0 {
				add("range/"+s+"/"+v.Witness, uint64(i)^v.WitnessIncarnation, uint64(v.Epoch))
			}
		}
	}
	for _, r := range c.suspects.Reports() {
		if r.Kind == dogsuspect.Death {
			add("death/"+r.Death, 0, 0)
		}
	}
	return (sum ^ sum>>32) & stateHashMask
}

func (c *control) peerDiffers(now time.Time, a dogmember.ContractsDiffer) {
	if h := a.Hash &^ stateHashMask; h != 0 && h != c.config.Hash()&^stateHashMask {
		c.onConfig(now, dogconfig.PeerDiffers{Peer: a.Peer})
	}
	p := &c.antiEntropy
	if a.Hash&stateHashMask == p.hash || now.Sub(p.lastChange) < stableTime || now.Sub(p.lastPull) < minPullInterval {
		return
	}
	p.lastPull = now
	c.n.async(func(ctx context.Context) {
		resp, err := c.n.peers.Pull(ctx, a.Peer, dogpeer.PullRequest{})
		if err != nil {
			return // The difference remains, so a later message leads to another pull.
		}
		c.post(func(now time.Time) {
			c.onMember(now, dogmember.PullAnswered{Peer: a.Peer, Updates: resp.Updates})
		})
	})
}
