package dogcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford/core/version/dogcontract"
	"dogwoodford/io/process/dogstatus"
)

// errNotInForce means that at least one node that was asked does not have a
// generation in force.
var errNotInForce = eris.New("not in force at every node")

const (
	// nodeTimeout limits one request to the admin listener of a node.
	nodeTimeout = 3 * time.Second
	// pollInterval is the time between two readings of all nodes with --wait.
	pollInterval = 500 * time.Millisecond
	// maxConcurrentReads limits the number of nodes that are read concurrently.
	maxConcurrentReads = 32
)

// nodeFlags are the flags of commands that read nodes.
func nodeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "node", Usage: "IP `ADDRESS` and port of a node's admin listener; repeatable"},
		&cli.BoolFlag{Name: "all", Usage: "also ask the members whose admin listeners the nodes know"},
	}
}

func (a *app) statusCommand() *cli.Command {
	return a.newCommand("status", "show the state of nodes", "", 0, 0, nodeFlags(),
		func(ctx context.Context, cmd *cli.Command) error {
			if len(cmd.StringSlice("node")) == 0 {
				return usagef("--node is required")
			}
			nodes := a.readNodes(ctx, cmd.StringSlice("node"), cmd.Bool("all"))
			a.readCounters(ctx, nodes)
			if err := a.print(nodes, func(w io.Writer) { writeStatus(w, nodes) }); err != nil {
				return err
			}
			return a.errorAfterResult(unreachableError(nodes))
		})
}

// nodeView is the answer of one node, or the error of reading it.
type nodeView struct {
	Address string            `json:"address"`
	Error   string            `json:"error,omitempty"`
	Status  *dogstatus.Status `json:"status,omitempty"`
	// Counters are nil if the metrics could not be read.
	Counters *dogstatus.Counters `json:"counters,omitempty"`
}

// readNodes reads the status of the nodes at addresses and, with all, of the
// members that they report with an admin listener and that have not left or
// failed. Each member is read once.
func (a *app) readNodes(ctx context.Context, addresses []string, all bool) []nodeView {
	views := a.readAddresses(ctx, addresses)
	if !all {
		return views
	}
	known := make(map[string]bool)
	for _, v := range views {
		known[v.Address] = true
	}
	var more []string
	for _, v := range views {
		if v.Status == nil {
			continue
		}
		for _, m := range v.Status.Members {
			if m.Admin != "" && !known[m.Admin] && m.State != "left" && m.State != "failed" {
				known[m.Admin] = true
				more = append(more, m.Admin)
			}
		}
	}
	return append(views, a.readAddresses(ctx, more)...)
}

// readAddresses reads the status of the nodes at addresses concurrently.
func (a *app) readAddresses(ctx context.Context, addresses []string) []nodeView {
	views := make([]nodeView, len(addresses))
	forEachConcurrently(ctx, len(addresses), func(ctx context.Context, i int) {
		views[i].Address = addresses[i]
		s, err := dogstatus.Fetch(ctx, a.options.Client, addresses[i])
		if err != nil {
			views[i].Error = err.Error()
			return
		}
		views[i].Status = &s
	})
	return views
}

// readCounters sets the counters of the nodes whose status was read.
func (a *app) readCounters(ctx context.Context, nodes []nodeView) {
	forEachConcurrently(ctx, len(nodes), func(ctx context.Context, i int) {
		if nodes[i].Status == nil {
			return
		}
		if c, err := dogstatus.FetchCounters(ctx, a.options.Client, nodes[i].Address); err == nil {
			nodes[i].Counters = &c
		}
	})
}

// forEachConcurrently calls read for 0 to n-1, up to maxConcurrentReads at a time,
// each with a timeout of nodeTimeout, and returns when all calls have returned.
func forEachConcurrently(ctx context.Context, n int, read func(ctx context.Context, i int)) {
	tokens := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i := range n {
		tokens <- struct{}{}
		wg.Go(func() {
			defer func() { <-tokens }()
			ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
			defer cancel()
			read(ctx, i)
		})
	}
	wg.Wait()
}

// unreachableError returns an error with CodeUnavailable if a node did not answer.
func unreachableError(nodes []nodeView) error {
	var errs []error
	for _, n := range nodes {
		if n.Status == nil {
			errs = append(errs, eris.New(n.Error))
		}
	}
	return withCode(CodeUnavailable, errors.Join(errs...))
}

func writeNodes(w io.Writer, nodes []nodeView) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "node\tservice\tdata centre\tstate\ttarget\tin flight\tqueued\tlimit\tcutoff\tplatform\tready members\tcontracts\t")
	for _, n := range nodes {
		s := n.Status
		if s == nil {
			fmt.Fprintf(tw, "%s\t-\t-\tno answer\t\n", n.Address)
			continue
		}
		var contracts []string
		for _, c := range s.Contracts {
			contracts = append(contracts, fmt.Sprintf("%s:%d", c.Customer, c.Generation))
		}
		ready := 0
		for _, m := range s.Members {
			if m.State == "ready" {
				ready++
			}
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d of %d\t%s\t\n", s.Node, s.Service, s.DataCentre, s.State,
			s.Target.State, s.Target.InFlight, s.Target.Queued, s.Target.Limit, s.Target.Cutoff,
			map[bool]string{true: "ok", false: "no answer"}[s.Platform.Reachable], ready, len(s.Members),
			strings.Join(contracts, " "))
	}
	flush(tw)
}

// contractStatusResult is the result of contract status for one customer.
type contractStatusResult struct {
	Customer   string           `json:"customer"`
	Generation int64            `json:"generation"` // Held by the platform.
	Nodes      map[string]int64 `json:"nodes"`      // Generation in force by admin address; -1 if the node did not answer.
	InForce    bool             `json:"in_force"`   // Whether it or a later one is in force at every node asked.
}

func (a *app) contractStatus(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	if cmd.Bool("wait") && len(cmd.StringSlice("node")) == 0 {
		return usagef("--wait needs --node")
	}
	held, err := a.platformGenerations(ctx, cmd)
	if err != nil {
		return err
	}
	var out []contractStatusResult
	for {
		nodes := a.readNodes(ctx, cmd.StringSlice("node"), cmd.Bool("all"))
		done := true
		out = nil
		for _, h := range held {
			e := withNodeGenerations(h, nodes)
			out = append(out, e)
			done = done && e.InForce
		}
		if done || !cmd.Bool("wait") || !sleep(ctx, pollInterval) {
			break
		}
	}
	if err := a.print(out, func(w io.Writer) { writeContractStatus(w, out) }); err != nil {
		return err
	}
	var missing []string
	for _, e := range out {
		if !e.InForce {
			missing = append(missing, fmt.Sprintf("%s generation %d", e.Customer, e.Generation))
		}
	}
	if len(missing) > 0 {
		return a.errorAfterResult(withCode(CodeNotInForce, fmt.Errorf("%w: %s", errNotInForce, strings.Join(missing, ", "))))
	}
	return nil
}

// platformGenerations returns the generations of the contracts that the platform
// holds, for the customers in the arguments or, without arguments, for all.
func (a *app) platformGenerations(ctx context.Context, cmd *cli.Command) ([]contractStatusResult, error) {
	p, err := a.platform(cmd)
	if err != nil {
		return nil, err
	}
	objects, err := p.List(ctx, ContractPrefix)
	if err != nil {
		return nil, withCode(CodeUnavailable, fmt.Errorf("list contracts: %w", err))
	}
	wanted := cmd.Args().Slice()
	var out []contractStatusResult
	for _, o := range objects {
		customer := strings.TrimPrefix(o.Name, ContractPrefix)
		if len(wanted) > 0 && !slices.Contains(wanted, customer) {
			continue
		}
		c, err := dogcontract.Parse("platform:"+o.Name, o.Value)
		if err != nil {
			return nil, withCode(CodeInvalid, err)
		}
		out = append(out, contractStatusResult{Customer: customer, Generation: c.Generation()})
	}
	for _, customer := range wanted {
		if !slices.ContainsFunc(out, func(e contractStatusResult) bool { return e.Customer == customer }) {
			return nil, withCode(CodeFailed, fmt.Errorf("the platform holds no contract of %s", customer))
		}
	}
	return out, nil
}

// withNodeGenerations returns e with the generations that are in force at nodes.
func withNodeGenerations(e contractStatusResult, nodes []nodeView) contractStatusResult {
	e.Nodes, e.InForce = make(map[string]int64), true
	for _, n := range nodes {
		g := int64(-1)
		if n.Status != nil {
			g = n.Status.Generation(e.Customer)
		}
		e.Nodes[n.Address] = g
		e.InForce = e.InForce && g >= e.Generation
	}
	return e
}

func writeContractStatus(w io.Writer, entries []contractStatusResult) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "customer\tplatform\tnodes in force\tnodes behind\tno answer\t")
	for _, e := range entries {
		var ok, behind, noAnswer int
		for _, g := range e.Nodes {
			switch {
			case g < 0:
				noAnswer++
			case g < e.Generation:
				behind++
			default:
				ok++
			}
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t\n", e.Customer, e.Generation, ok, behind, noAnswer)
	}
	flush(tw)
}
