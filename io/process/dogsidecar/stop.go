package dogsidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dogwoodford/core/process/dogstop"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

// lingerTime is how long connections without a request stay open at the end of a stop. It
// covers the way of a request that a caller or another node has just sent. The target is
// unused until the node has started again, so that it is short.
const lingerTime = 100 * time.Millisecond

// Steps of a stop, as they are logged.
const (
	stepGuardClosed = "guard-closed"
	stepEntryClosed = "entry-closed"
	stepAbandoned   = "abandoned"
	stepShutDown    = "shut-down"
)

// stopSettleTime is the time beyond the end of a stop for which a node lends no tokens.
const stopSettleTime = time.Minute

// stop drains the node: it reports the node as not ready, then as draining, so that
// callers and other nodes use others, and waits for the requests in progress as long as
// the grace period permits. Nothing else holds it up: neither the store nor a client.
func (n *node) stop(ctx context.Context) {
	plan := dogstop.NewPlan(time.Now(), n.state.grace())
	n.state.beginStop(plan)
	if n.quotas != nil {
		n.quotas.settle(time.Until(plan.End()) + stopSettleTime)
	}
	n.log.event(doglog.NodeDraining, n.progress.attrs(time.Now())...)
	dogserve.Sleep(ctx, time.Until(plan.GuardClose()))
	n.state.wakeAnnouncer()
	n.logStep(stepGuardClosed)
	go n.withdraw(ctx)
	n.awaitRequests(ctx, plan)
	if n.progress.count() > 0 {
		n.log.event(doglog.DrainTimedOut, n.progress.attrs(time.Now())...)
		n.relay.Abandon()
		n.logStep(stepAbandoned)
	}
	n.shutDown(ctx, plan.End())
	n.logStep(stepShutDown)
}

func (n *node) logStep(step string) {
	n.log.event(doglog.StopStep, append(n.progress.attrs(time.Now()), slog.String("step", step))...)
}

// withdraw tells the other nodes through the store that this one is stopping.
func (n *node) withdraw(ctx context.Context) {
	if err := n.announce.withdraw(ctx); err != nil {
		n.log.event(doglog.PlatformConflict, slog.String("name", n.settings.Node), doglog.Err(err))
	}
}

// awaitRequests waits until the process can end, or until the requests in progress have
// to be abandoned.
func (n *node) awaitRequests(ctx context.Context, plan dogstop.Plan) {
	open := true
	for now := time.Now(); now.Before(plan.AnswerBy()); now = time.Now() {
		if open && !plan.AcceptsRequest(now) {
			open = false
			n.logStep(stepEntryClosed)
		}
		if plan.Done(now, n.progress.count()) {
			return
		}
		dogserve.Sleep(ctx, drainPollInterval)
	}
}

// shutDown shuts the listeners for requests down, at the latest at end. Until then it
// answers what still arrives on open connections.
func (n *node) shutDown(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.state.closeEntry()
	var wg sync.WaitGroup
	for _, s := range n.requestServers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				n.log.event(doglog.DrainTimedOut, append(n.progress.attrs(time.Now()), doglog.Err(err))...)
			}
		})
	}
	wg.Wait()
}
