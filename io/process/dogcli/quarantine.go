package dogcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford/io/process/dogstatus"
)

var (
	errNotQuarantined  = eris.New("no node that was asked refuses this content")
	errReleaseRejected = eris.New("the node did not accept the release")
)

// digestPattern matches a digest as nodes print it.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

func (a *app) quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "content that is refused because it crashed targets",
		Commands: []*cli.Command{
			a.newCommand("list", "show the content that nodes refuse", "", 0, 0, nodeFlags(), a.quarantineList),
			a.newCommand("release", "end the quarantine of content", "DIGEST", 1, 1, nodeFlags(), a.quarantineRelease),
		},
	}
}

// quarantineView is the result of quarantine list for one digest.
type quarantineView struct {
	Digest  string    `json:"digest"`
	Service string    `json:"service"`
	Until   time.Time `json:"until"` // The latest that a node reports.
	Nodes   []string  `json:"nodes"` // Admin addresses of the nodes that refuse it.
}

func (a *app) quarantineList(ctx context.Context, cmd *cli.Command) error {
	nodes, err := a.readRequestedNodes(ctx, cmd)
	if err != nil {
		return err
	}
	out := mergeQuarantines(nodes)
	if err := a.print(out, func(w io.Writer) { writeQuarantines(w, out) }); err != nil {
		return err
	}
	return a.errorAfterResult(unreachableError(nodes))
}

// readRequestedNodes reads the nodes given by the flags.
func (a *app) readRequestedNodes(ctx context.Context, cmd *cli.Command) ([]nodeView, error) {
	if len(cmd.StringSlice("node")) == 0 {
		return nil, usagef("--node is needed")
	}
	return a.readNodes(ctx, cmd.StringSlice("node"), cmd.Bool("all")), nil
}

// mergeQuarantines returns the quarantines that the nodes report, one for each
// digest, in the order of digests.
func mergeQuarantines(nodes []nodeView) []quarantineView {
	out := []quarantineView{}
	for _, n := range nodes {
		if n.Status == nil {
			continue
		}
		for _, q := range n.Status.Quarantines {
			i := slices.IndexFunc(out, func(v quarantineView) bool { return v.Digest == q.Digest })
			if i < 0 {
				out = append(out, quarantineView{Digest: q.Digest, Service: q.Service})
				i = len(out) - 1
			}
			if q.Until.After(out[i].Until) {
				out[i].Until = q.Until
			}
			out[i].Nodes = append(out[i].Nodes, n.Address)
		}
	}
	slices.SortFunc(out, func(a, b quarantineView) int { return strings.Compare(a.Digest, b.Digest) })
	return out
}

func writeQuarantines(w io.Writer, list []quarantineView) {
	if len(list) == 0 {
		fmt.Fprintln(w, "no content is refused")
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "digest\tservice\tuntil\tnodes\t")
	for _, q := range list {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t\n", q.Digest, q.Service, q.Until.UTC().Format(time.RFC3339), len(q.Nodes))
	}
	flush(tw)
}

// quarantineReleaseResult is the result of quarantine release.
type quarantineReleaseResult struct {
	Digest  string   `json:"digest"`
	Service string   `json:"service"`
	Nodes   []string `json:"nodes"` // Admin addresses that accepted the release; they pass it on to the other nodes.
}

func (a *app) quarantineRelease(ctx context.Context, cmd *cli.Command) error {
	digest := cmd.Args().First()
	if !digestPattern.MatchString(digest) {
		return usagef("%q is not a digest of 16 hexadecimal digits", digest)
	}
	nodes, err := a.readRequestedNodes(ctx, cmd)
	if err != nil {
		return err
	}
	all := mergeQuarantines(nodes)
	i := slices.IndexFunc(all, func(q quarantineView) bool { return q.Digest == digest })
	if i < 0 {
		if err := unreachableError(nodes); err != nil {
			return err
		}
		return withCode(CodeFailed, fmt.Errorf("%w: %s", errNotQuarantined, digest))
	}
	res := quarantineReleaseResult{Digest: digest, Service: all[i].Service}
	var errs []error
	for _, address := range all[i].Nodes {
		if err := a.postRelease(ctx, address, digest); err != nil {
			errs = append(errs, err)
			continue
		}
		res.Nodes = append(res.Nodes, address)
	}
	if len(res.Nodes) == 0 {
		return withCode(CodeUncertain, errors.Join(errs...))
	}
	return a.print(res, func(w io.Writer) {
		fmt.Fprintf(w, "content %s of service %s: released at %d nodes, which tell the others\n", digest, res.Service, len(res.Nodes))
	})
}

// postRelease requests the release of a digest at one node.
func (a *app) postRelease(ctx context.Context, address, digest string) error {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	target := "http://" + address + dogstatus.ReleasePath + "?digest=" + url.QueryEscape(digest)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return fmt.Errorf("release at %s: %w", address, err)
	}
	resp, err := a.options.Client.Do(req)
	if err != nil {
		return fmt.Errorf("release at %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("release at %s: HTTP status %d: %w", address, resp.StatusCode, errReleaseRejected)
	}
	return nil
}
