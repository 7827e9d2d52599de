package dogrelay

import (
	"context"
	"log/slog"
	"time"

	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

// Labels of dogmetric.Departures.
const (
	entryUnsent = "entry-unsent"
	entrySent   = "entry-sent"
	guardUnsent = "guard-unsent"
	guardSent   = "guard-sent"
)

// recordDeparture counts a request that has ended after its caller left. sent tells
// whether it had been sent on by then.
func (h *Handlers) recordDeparture(ctx context.Context, sent bool, sentLabel, unsentLabel string) {
	if ctx.Err() != context.Canceled {
		return // Its caller is there, or its time is up.
	}
	label := unsentLabel
	if sent {
		label = sentLabel
	}
	h.cfg.Metrics.AddTo(dogmetric.Departures, label, 1)
}

// lateTolerance is how long after its deadline a request may be answered without a log
// line. It exceeds answerGrace by some round trips.
const lateTolerance = 250 * time.Millisecond

// logLate logs a request that was answered well after its deadline.
func (h *Handlers) logLate(ctx context.Context, c *call, res *result) {
	if c == nil {
		return
	}
	late := time.Since(c.deadline)
	if late <= lateTolerance {
		return
	}
	h.cfg.Log.Event(ctx, doglog.RequestLate, idAttr(c.id), slog.Int64("late_ms", late.Milliseconds()), lagAttr(h.cfg.Lag()),
		serviceAttr(c.service), attemptsAttr(c.attempt), reasonAttr(res.reason), outcomeAttr(res.outcome))
}
