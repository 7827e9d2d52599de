package dognode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/core/version/dogcontract"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogpeer"
)

const contractPrefix = "contract/"

func parseContract(text []byte) (dogconfig.Parsed[*dogcontract.Contract], error) {
	c, err := dogcontract.Parse("contract", text)
	if err != nil {
		return dogconfig.Parsed[*dogcontract.Contract]{}, fmt.Errorf("parse contract: %w", err)
	}
	return dogconfig.Parsed[*dogcontract.Contract]{
		Customer: c.Customer(), Generation: c.Generation(), Contract: c,
	}, nil
}

func (c *control) onConfig(now time.Time, ev dogconfig.Event) {
	for _, a := range c.config.OnEvent(now, ev) {
		c.configAction(now, a)
	}
}

func (c *control) configAction(now time.Time, a dogconfig.Action) {
	switch a := a.(type) {
	case dogconfig.InForce:
		c.contractInForce(now, a.Generation)
	case dogconfig.List:
		c.n.async(c.listContracts)
	case dogconfig.PullGenerations:
		c.n.async(func(ctx context.Context) {
			c.pullContracts(ctx, a.Peer, dogpeer.PullRequest{ContractsOnly: true})
		})
	case dogconfig.PullTexts:
		c.n.async(func(ctx context.Context) {
			c.pullContracts(ctx, a.Peer, dogpeer.PullRequest{ContractsOnly: true, Customers: a.Customers})
		})
	case dogconfig.Watch:
		c.setWatch(a.On)
	case dogconfig.WriteBack:
		c.n.log(doglog.ContractWriteBack, attr("customer", a.Customer))
		c.n.async(func(ctx context.Context) { c.writeBack(ctx, a) })
	case dogconfig.Report:
		c.reportConfig(now, a)
	}
}

func (c *control) contractInForce(now time.Time, g dogconfig.Generation) {
	c.n.metrics.StoreTo(dogmetric.ContractGeneration, g.Customer, g.Number)
	if len(c.config.Snapshot()) == 1 && c.state == dogwoodford.StateReady {
		c.n.log(doglog.NodeReady)
	}
	c.n.log(doglog.ContractInForce, attr("customer", g.Customer), attr("generation", g.Number))
	c.publish(now)
	c.updateStateHash(now)
	c.gossipUpdate(now, dogconfig.GenerationUpdate(g), true)
}

func (c *control) listContracts(ctx context.Context) {
	objs, err := c.n.platform.List(ctx, contractPrefix)
	if err != nil {
		c.n.log(doglog.WatchFailed, doglog.Err(err))
		return
	}
	c.post(func(now time.Time) { c.onConfig(now, dogconfig.Listed{Objects: objs}) })
}

func (c *control) pullContracts(ctx context.Context, peer string, req dogpeer.PullRequest) {
	resp, err := c.n.peers.Pull(ctx, peer, req)
	c.post(func(now time.Time) {
		if err != nil {
			c.n.log(doglog.ContractPullFailed, attr("peer", peer), doglog.Err(err))
			c.onConfig(now, dogconfig.PullFailed{Peer: peer})
			return
		}
		var gens []dogconfig.Generation
		for _, u := range resp.Updates {
			if g, ok := u.Value.(dogconfig.Generation); ok {
				gens = append(gens, g)
			}
		}
		c.onConfig(now, dogconfig.PullAnswered{Peer: peer, Texts: resp.Texts, Generations: gens})
	})
}

func (c *control) writeBack(ctx context.Context, a dogconfig.WriteBack) {
	name := dogconfig.ObjectName(a.Customer)
	v, err := c.n.platform.Put(ctx, name, a.Expected, a.Text)
	var obj dogwoodford.Object
	read := errors.Is(err, dogwoodford.ErrConflict)
	if read {
		var getErr error
		obj, getErr = c.n.platform.Get(ctx, name)
		read = getErr == nil
	}
	c.post(func(now time.Time) {
		c.onConfig(now, dogconfig.WrittenBack{Customer: a.Customer, Version: v, Err: err})
		if read {
			c.onConfig(now, dogconfig.ObjectSeen{Object: obj})
		}
	})
}

func (c *control) reportConfig(now time.Time, r dogconfig.Report) {
	ev := doglog.ContractRejected
	switch r.Kind {
	case dogconfig.Stale:
		ev = doglog.ContractReverted
	case dogconfig.Missing:
		ev = doglog.ContractRemoved
	default:
		c.n.metrics.Add(dogmetric.ContractsRejected, 1)
	}
	c.n.log(ev, attr("kind", r.Kind.String()), attr("customer", r.Customer), attr("have", r.Have.Number),
		attr("got", r.Got.Number), attr("source", r.Source), doglog.Err(r.Err))
	c.addProblem(now, fmt.Sprintf("contract of %s from %s: %s", r.Customer, r.Source, r.Kind))
}
