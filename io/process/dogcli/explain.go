package dogcli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dogwoodford/io/process/dogexplain"
)

// keyVariable is the environment variable that may hold the key of a workspace. Arguments
// would be visible in lists of processes.
const keyVariable = "DOGWOODFORD_KEY"

func (a *app) explainCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "node", Usage: "IP `ADDRESS` and port of the metrics listener of a sidecar"},
		&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "`METHOD` of the request"},
		&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
		&cli.StringFlag{Name: "path", Value: "/", Usage: "`PATH` of the request"},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` that holds the key of the workspace; otherwise " + keyVariable + " is used, if set"},
		&cli.DurationFlag{Name: "left", Usage: "time until the deadline that the caller declares"},
	}
	return a.newCommand("explain", "tell where a request would go now, and why, without sending it", "", 0, 0, flags, a.explain)
}

func (a *app) explain(ctx context.Context, cmd *cli.Command) error {
	if cmd.String("node") == "" || cmd.String("host") == "" {
		return usagef("--node and --host are required")
	}
	key, err := readKey(cmd.String("key-file"))
	if err != nil {
		return withCode(CodeFailed, err)
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	answer, err := dogexplain.Fetch(ctx, a.options.Client, cmd.String("node"), dogexplain.Query{
		Method: cmd.String("method"), Host: cmd.String("host"), Path: cmd.String("path"), Key: key,
		LeftMs: cmd.Duration("left").Milliseconds(),
	})
	if err != nil {
		return withCode(CodeUnavailable, err)
	}
	return a.print(answer, func(w io.Writer) { writeExplanation(w, answer) })
}

// readKey returns the key in a file, or in the environment if file is empty.
func readKey(file string) (string, error) {
	if file == "" {
		return os.Getenv(keyVariable), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

func writeExplanation(w io.Writer, a dogexplain.Answer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "node\t%s in %s\n", a.Node, a.DataCentre)
	fmt.Fprintf(tw, "configuration\t%s\n", configText(a.Config))
	if r := a.Route; r != nil {
		fmt.Fprintf(tw, "route\t%s (%s%s): %s, timeout %s, attempts %d, priority %d, public %t\n",
			r.Name, r.Host, r.Prefix, r.Kind, milliseconds(r.TimeoutMs), r.Attempts, r.Priority, r.Public)
	}
	if ws := a.Workspace; ws != nil {
		fmt.Fprintf(tw, "workspace\t%s, priority %d\n", ws.Name, ws.Priority)
	}
	if q := a.Quota; q != nil {
		fmt.Fprintf(tw, "quota\t%g/s, burst %g, lender %s, tokens here %d: %s\n", q.RatePerS, q.Burst, q.Lender, q.Tokens, q.Decision)
	}
	if t := a.Trees; t != nil && t.Runs > 0 {
		fmt.Fprintf(tw, "call trees\t%d of %d failed, refuses %t\n", t.Failed, t.Runs, t.Refuses)
	}
	if r := a.Refusal; r != nil {
		fmt.Fprintf(tw, "refused\t%d %s: %s%s\n", r.Status, r.Reason, r.Detail, retryText(r.RetryAfterMs))
	}
	flush(tw)
	for _, s := range a.Services {
		writeService(w, s)
	}
}

func configText(c dogexplain.Config) string {
	if c.Version == 0 {
		return "none"
	}
	age := "newest at an unknown time"
	if c.AgeMs >= 0 {
		age = fmt.Sprintf("known as the newest %s ago", milliseconds(c.AgeMs))
	}
	return fmt.Sprintf("version %d, in force here for %s, %s, keys trusted %t", c.Version, milliseconds(c.SinceMs), age, c.Trusted)
}

func retryText(ms int64) string {
	if ms == 0 {
		return ""
	}
	return fmt.Sprintf(", Retry-After about %s", milliseconds(ms))
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func writeService(w io.Writer, s dogexplain.Service) {
	fmt.Fprintf(w, "\nservice %s: weight %d (%d%%), cutoff %d for priorities %d to %d: refuses %s%s\n",
		s.Name, s.Weight, s.Percent, s.Cutoff, s.LowestPriority, s.HighestPriority, s.Refuses, retryText(s.RetryAfterMs))
	if len(s.Candidates) == 0 {
		fmt.Fprintln(w, "no target is known")
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "target\tstate\tdata centre\tdistance\tin flight\tqueued\tlimit\tcutoff\tservice time\tfrom here\tweight\tcost\tleft out\t")
	for _, c := range s.Candidates {
		distance := "other"
		if c.Local {
			distance = "local"
		}
		load := "-\t-\t-\t-\t-"
		if l := c.Load; l != nil {
			load = fmt.Sprintf("%d\t%d\t%d\t%d\t%.1f ms", l.InFlight, l.Queued, l.Limit, l.Cutoff, l.ServiceMs)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%.4g\t%s\t\n",
			c.Node, c.State, c.DataCentre, distance, load, c.FromHere, c.Weight, c.Cost, c.LeftOut)
	}
	flush(tw)
	if s.Omitted > 0 {
		fmt.Fprintf(w, "and %d more\n", s.Omitted)
	}
}
