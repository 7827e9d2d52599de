package dogrelay

import (
	"fmt"
	"log/slog"
	"time"

	"dogwoodford"
	"dogwoodford/core/connection/dogoutcome"
)

type attrs = []slog.Attr

func idAttr(id string) slog.Attr { return slog.String("request", id) }

func reasonAttr(r dogwoodford.Reason) slog.Attr { return slog.String("reason", string(r)) }

func outcomeAttr(o dogwoodford.Outcome) slog.Attr { return slog.String("outcome", o.String()) }

func serviceAttr(s string) slog.Attr { return slog.String("service", s) }

func nodeAttr(s string) slog.Attr { return slog.String("peer", s) }

func targetAttr(id string) slog.Attr { return slog.String("target", id) }

func problemAttr(s string) slog.Attr { return slog.String("problem", s) }

func stageAttr(s dogoutcome.Stage) slog.Attr { return slog.String("stage", s.String()) }

func attemptsAttr(n int) slog.Attr { return slog.Int("attempts", n) }

func configAttr(v int64) slog.Attr { return slog.Int64("config", v) }

func tookAttr(d time.Duration) slog.Attr { return slog.Int64("took_ms", d.Milliseconds()) }

func leftAttr(c *call, now time.Time) slog.Attr {
	return slog.Int64("left_ms", c.deadline.Sub(now).Milliseconds())
}

func lagAttr(d time.Duration) slog.Attr { return slog.Int64("lag_ms", d.Milliseconds()) }

func heldAttr(n int64) slog.Attr { return slog.Int64("held", n) }

// contentAttr formats the content as the events about crashes do. It is empty if
// the content is known not to crash targets.
func contentAttr(c *call) slog.Attr {
	if c.content.Shared == 0 || c.cleared {
		return slog.String("digest", "")
	}
	return slog.String("digest", fmt.Sprintf("%016x shared=%016x", c.content.Own, c.content.Shared))
}

// loadAttr formats the load on which a guard based its decision.
func loadAttr(l dogwoodford.Load) slog.Attr {
	return slog.String("load", fmt.Sprintf("running=%d queued=%d limit=%d cutoff=%d", l.InFlight, l.Queued, l.Limit, l.Cutoff))
}

// workspaceAttr is empty if the request belongs to no workspace.
func workspaceAttr(c *call) slog.Attr {
	if c.lineage.workspace == "" {
		return slog.Attr{}
	}
	return slog.String("workspace", c.lineage.workspace)
}
