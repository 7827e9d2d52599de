package dognode

import (
	"context"
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogpeer"
)

func memberOptions(n *node, started time.Time, rnd *rand.Rand) dogmember.Options {
	return dogmember.Options{
		Self: dogmember.Member{
			Node:        n.settings.Node.Name,
			Incarnation: uint64(started.UnixMilli()),
			Started:     uint64(started.UnixMilli()),
			Service:     n.settings.Node.Service,
			DataCentre:  n.settings.Node.DataCentre,
			Peer:        n.settings.Listen.Peer,
			Admin:       n.settings.Listen.Admin,
			Slots:       n.settings.Target.Slots,
		},
		Seeds:    n.settings.Peer.Seeds,
		Rand:     rnd,
		Size:     dogpeer.UpdateSize,
		Platform: n.settings.Platform.Address != "",
	}
}

// onMember feeds an event to the membership and carries out the actions. It also
// returns them, as replies to peers are left to the caller.
func (c *control) onMember(now time.Time, ev dogmember.Event) []dogmember.Action {
	acts := c.member.OnEvent(now, ev)
	for _, a := range acts {
		c.memberAction(now, a)
	}
	return acts
}

func (c *control) memberAction(now time.Time, a dogmember.Action) {
	switch a := a.(type) {
	case dogmember.Probe:
		c.n.async(func(ctx context.Context) { c.probe(ctx, a) })
	case dogmember.ProbeVia:
		c.n.async(func(ctx context.Context) { c.probeVia(ctx, a) })
	case dogmember.Notify:
		c.n.async(func(ctx context.Context) {
			// A lost notification is repaired by the next probes.
			_ = c.n.peers.Notify(ctx, a.Peer, a.Message)
		})
	case dogmember.Pull:
		c.n.async(func(ctx context.Context) { c.pull(ctx, a) })
	case dogmember.ReadSeeds:
		c.n.async(func(ctx context.Context) { c.readSeeds(ctx, a) })
	case dogmember.WriteSeeds:
		c.n.async(func(ctx context.Context) { c.writeSeeds(ctx, a) })
	case dogmember.Changed:
		c.membersChanged(now)
	case dogmember.Deliver:
		c.deliver(now, a)
	case dogmember.ContractsDiffer:
		c.peerDiffers(now, a)
	case dogmember.KeeperChanged:
		c.isWatcher = a.Keeper
		c.n.log(doglog.WatcherChosen, attr("watcher", a.Keeper))
		c.onConfig(now, dogconfig.WatcherChanged{Watcher: a.Keeper})
	case dogmember.BeginDrain:
		c.n.log(doglog.DrainMarked)
		c.n.drain.mark()
	case dogmember.MemberFailed:
		c.n.metrics.Add(dogmetric.MemberFailures, 1)
		c.n.log(doglog.MemberFailed, attr("member", a.Member.Node), attr("service", a.Member.Service))
	}
}

func (c *control) probe(ctx context.Context, a dogmember.Probe) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	m, err := c.n.peers.Probe(ctx, a.Peer, a.Message)
	c.post(func(now time.Time) {
		if err != nil {
			c.onMember(now, dogmember.ProbeFailed{ID: a.ID})
			return
		}
		c.onMember(now, dogmember.ProbeAnswered{ID: a.ID, Message: m})
	})
}

func (c *control) probeVia(ctx context.Context, a dogmember.ProbeVia) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	alive, err := c.n.peers.ProbeVia(ctx, a.Via, a.Peer)
	c.post(func(now time.Time) {
		c.onMember(now, dogmember.ProbeViaAnswered{ID: a.ID, Alive: alive && err == nil})
	})
}

func (c *control) pull(ctx context.Context, a dogmember.Pull) {
	resp, err := c.n.peers.Pull(ctx, a.Peer, dogpeer.PullRequest{Self: &a.Self, Parts: a.Parts})
	c.post(func(now time.Time) {
		if err != nil {
			c.onMember(now, dogmember.PullFailed{Peer: a.Peer})
			return
		}
		c.onMember(now, dogmember.PullAnswered{Peer: a.Peer, Updates: resp.Updates})
	})
}

func (c *control) readSeeds(ctx context.Context, a dogmember.ReadSeeds) {
	objs, err := c.n.platform.List(ctx, a.Prefix)
	c.post(func(now time.Time) {
		if err != nil {
			c.n.log(doglog.SeedFailed, doglog.Err(err))
		}
		c.onMember(now, dogmember.SeedsRead{Prefix: a.Prefix, Objects: objs, Err: err})
	})
}

func (c *control) writeSeeds(ctx context.Context, a dogmember.WriteSeeds) {
	v, err := c.n.platform.Put(ctx, a.Name, a.Expected, a.Value)
	c.post(func(now time.Time) {
		c.onMember(now, dogmember.SeedsWritten{Version: v, Err: err})
	})
}

// membersChanged logs the changes of the members, passes the members to dogrange
// and publishes a snapshot.
func (c *control) membersChanged(now time.Time) {
	all := c.member.Members()
	out := make([]dogrange.Member, 0, len(all))
	for _, m := range all {
		c.logMemberChange(m)
		out = append(out, dogrange.Member{
			Node:        m.Node,
			Incarnation: m.Started,
			Service:     m.Service,
			DataCentre:  m.DataCentre,
			Peer:        m.Peer,
			State:       m.State,
		})
	}
	// The table contains the members, so dogrange usually publishes a new one,
	// and onRanges the snapshot with it.
	old := c.table
	c.onRanges(now, dogrange.Members{Members: out})
	if c.table == old {
		c.publish(now)
	}
}

// logMemberChange logs a member that is new or whose state has changed. Failures
// are logged when the membership returns dogmember.MemberFailed.
func (c *control) logMemberChange(m dogmember.Member) {
	was, known := c.known[m.Node]
	c.known[m.Node] = m
	ev := doglog.MemberChanged
	switch {
	case m.State == dogwoodford.StateFailed:
		return
	case m.State == dogwoodford.StateLeft && was.State != dogwoodford.StateLeft:
		ev = doglog.MemberLeft
	case m.Present() && (!known || m.Started != was.Started):
		ev = doglog.MemberJoined
	case m.Suspected && !was.Suspected:
		ev = doglog.MemberSuspected
	case m.State == was.State && m.Suspected == was.Suspected:
		return
	}
	c.n.log(ev, attr("member", m.Node), attr("service", m.Service), attr("state", m.State.String()))
}

// deliver passes a gossiped update to the package that interprets it.
func (c *control) deliver(now time.Time, d dogmember.Deliver) {
	switch v := d.Update.Value.(type) {
	case dogconfig.Generation:
		c.onConfig(now, dogconfig.GenerationHeard{Peer: c.peerAddress(d.From), Generation: v})
	case dogsuspect.Report:
		c.onSuspects(now, dogsuspect.ReportArrived{Report: v})
	case dogpeer.Range:
		c.onRanges(now, ownershipUpdate(v))
	}
}

// peerAddress returns the peer address of a node, given its name or the address
// itself.
func (c *control) peerAddress(from string) string {
	if m, ok := c.member.Member(from); ok {
		return m.Peer
	}
	return from
}

// gossipUpdate passes an update to the membership, which gossips it.
func (c *control) gossipUpdate(now time.Time, u dogmember.Update, urgent bool) {
	c.onMember(now, dogmember.Publish{Update: u, Urgent: urgent})
}

// stateUpdates returns the state of all packages except the membership as
// updates, for a node that pulls the whole state.
func (c *control) stateUpdates() []dogmember.Update {
	var out []dogmember.Update
	for _, g := range c.config.Generations() {
		out = append(out, dogconfig.GenerationUpdate(g))
	}
	for _, r := range c.suspects.Reports() {
		out = append(out, dogsuspect.ReportUpdate(r))
	}
	for _, s := range c.table.Services() {
		for i := range dogwoodford.KeyRanges {
			if v := c.table.Row(s, i); v.Epoch > 0 {
				out = append(out, dogpeer.RangeUpdate(peerRange(s, i, v)))
			}
		}
	}
	return out
}
