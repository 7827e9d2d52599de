package dogrelay

import (
	"context"
	"time"

	"dogwoodford"
)

// giveUpDelay is the time after a node was found to be silent in which it may still
// answer a call that cannot be sent elsewhere. A node that is only short of processor
// time answers something within it; one that has answered nothing has most probably
// failed, and its caller is told so.
const giveUpDelay = time.Second

// attemptHedged makes one attempt at a call. If the call may run more than once and the
// node turns out to be silent meanwhile, one more attempt is made elsewhere, as far as
// retries are permitted, and the better result counts. The first attempt goes on, because
// its target may be at work on the call.
func (h *Handlers) attemptHedged(ctx context.Context, c *call, t dogwoodford.Target, s *sending) *result {
	if t.Node == h.cfg.Node || !c.kind.Repeatable() {
		res := h.attempt(ctx, c, t)
		s.record(res)
		return res
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	firstEnded, hedged := make(chan struct{}), make(chan *result, 1)
	unregister := context.AfterFunc(h.cfg.Fleet.NodeContext(t.Node), func() {
		res := h.hedge(hedgeCtx, *c, s)
		if res != nil && res.served() {
			cancelFirst()
		} else {
			h.giveUp(t.Node, firstEnded, cancelFirst)
		}
		hedged <- res
	})
	first := h.attempt(firstCtx, c, t)
	close(firstEnded)
	first.onClose(cancelFirst)
	if unregister() {
		cancelHedge()
		s.record(first)
		return first
	}
	if first.served() {
		cancelHedge()
		go func() {
			if res := <-hedged; res != nil {
				res.discard()
			}
		}()
		return first
	}
	second := <-hedged
	s.record(first)
	if second == nil {
		cancelHedge()
		return first
	}
	second.onClose(cancelHedge)
	s.record(second)
	c.attempt++
	return preferredResult(first, second)
}

// hedge makes a further attempt at c, which a silent node has not answered yet. It
// returns nil if none is permitted.
func (h *Handlers) hedge(ctx context.Context, c call, s *sending) *result {
	next := &sending{route: s.route, tried: s.tried, reached: s.reached + 1}
	if len(s.tried) >= maxGuards || !h.mayRetry(ctx, &c, next, unknownOutcome(dogwoodford.ReasonLost)) {
		return nil
	}
	t, ok := h.pick(&c, s)
	if !ok {
		return nil
	}
	return h.attempt(ctx, &c, t)
}

// giveUp calls cancel if a node is still silent after giveUpDelay and ended is still
// open.
func (h *Handlers) giveUp(node string, ended <-chan struct{}, cancel context.CancelFunc) {
	t := time.NewTimer(giveUpDelay)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		if h.cfg.Fleet.Silent(node) {
			cancel()
		}
	}
}
