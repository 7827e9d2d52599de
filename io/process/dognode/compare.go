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
	// stableTime is how long the own state must be unchanged before a
	// difference counts: gossip reaches almost all nodes within it.
	stableTime = 3 * time.Second
	// comparePause bounds the pulls of the whole state. Its 100 KB at the
	// two-year size would take the 5 KB/s of a node if pulled every 20 s, but a
	// difference that lasts is rare.
	comparePause = 10 * time.Second
	// stateBits are the bits of the hash in messages that stand for owners of
	// key ranges and suspects. The others stand for contracts.
	stateBits = 1<<32 - 1
)

// compare repairs what gossip did not bring: an update of an owner or suspect
// is sent a few times only, and a node that was not known at that time would
// never have it.
type compare struct {
	hash    uint64 // Lower half of what messages carry.
	changed time.Time
	pulled  time.Time
}

// hashChanged tells the hash of contracts, owners and suspects to membership.
func (c *control) hashChanged(now time.Time) {
	h := c.stateHash()
	if h != c.compare.hash {
		c.compare.hash, c.compare.changed = h, now
	}
	c.onMember(now, dogmember.ContractsChanged{Hash: c.config.Hash()&^stateBits | h})
}

// stateHash covers the owners and witnesses of key ranges, and deaths of
// targets. A witness that does not know that it is one never takes over.
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
	return (sum ^ sum>>32) & stateBits
}

func (c *control) peerDiffers(now time.Time, a dogmember.ContractsDiffer) {
	if h := a.Hash &^ stateBits; h != 0 && h != c.config.Hash()&^stateBits {
		c.onConfig(now, dogconfig.PeerDiffers{Peer: a.Peer})
	}
	p := &c.compare
	if a.Hash&stateBits == p.hash || now.Sub(p.changed) < stableTime || now.Sub(p.pulled) < comparePause {
		return
	}
	p.pulled = now
	c.n.async(func(ctx context.Context) {
		resp, err := c.n.peers.Pull(ctx, a.Peer, dogpeer.PullRequest{})
		if err != nil {
			return // The difference is met again.
		}
		c.post(func(now time.Time) {
			c.onMember(now, dogmember.PullAnswered{Peer: a.Peer, Updates: resp.Updates})
		})
	})
}
