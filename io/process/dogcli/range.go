package dogcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dogwoodford"
	"dogwoodford/core/process/dogrange"
	"dogwoodford/core/version/dogini"
)

func (a *app) rangeCommand() *cli.Command {
	return &cli.Command{
		Name:  "range",
		Usage: "key ranges of at-most-once requests",
		Commands: []*cli.Command{
			a.newCommand("list", "show the owners of key ranges as the platform holds them", "[SERVICE]", 0, 1,
				platformFlags(), a.rangeList),
			a.newCommand("release", "free a key range whose owner and witness are both permanently lost", "SERVICE NUMBER", 2, 2,
				append(platformFlags(), &cli.BoolFlag{Name: "yes", Usage: "assert that owner and witness are both gone"}),
				a.rangeRelease),
		},
	}
}

// rangeView is the result of range list for one key range.
type rangeView struct {
	Service string    `json:"service"`
	Number  int       `json:"number"`
	Epoch   int64     `json:"epoch"`
	Owner   string    `json:"owner"` // Empty after a release.
	Witness string    `json:"witness"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	Ended   bool      `json:"ended"` // By the local clock.
	Error   string    `json:"error,omitempty"`
}

func (a *app) rangeList(ctx context.Context, cmd *cli.Command) error {
	prefix := dogrange.Prefix
	if service := cmd.Args().First(); service != "" {
		if !dogini.ValidName(service) {
			return usagef("%q is not the name of a service", service)
		}
		prefix += service + "/"
	}
	p, err := a.platform(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	objects, err := p.List(ctx, prefix)
	if err != nil {
		return withCode(CodeUnavailable, fmt.Errorf("list ranges: %w", err))
	}
	out := make([]rangeView, 0, len(objects))
	var errs []error
	for _, o := range objects {
		v, err := newRangeView(o, time.Now())
		if err != nil {
			errs = append(errs, err)
		}
		out = append(out, v)
	}
	if err := a.print(out, func(w io.Writer) { writeRanges(w, out) }); err != nil {
		return err
	}
	return a.errorAfterResult(withCode(CodeInvalid, errors.Join(errs...)))
}

// newRangeView decodes a range object. With an error, the view holds what was
// decoded and the text of the error.
func newRangeView(o dogwoodford.Object, now time.Time) (rangeView, error) {
	var out rangeView
	var ok bool
	if out.Service, out.Number, ok = dogrange.ParseObjectName(o.Name); !ok {
		err := fmt.Errorf("object %s: the name is not that of a range: %w", o.Name, dogrange.ErrValue)
		out.Error = err.Error()
		return out, err
	}
	v, err := dogrange.ParseValue(o.Value)
	if err != nil {
		out.Error = err.Error()
		return out, fmt.Errorf("object %s: %w", o.Name, err)
	}
	out.Epoch, out.Owner, out.Witness = v.Epoch, v.Owner, v.Witness
	out.Start, out.End = time.UnixMilli(v.Start).UTC(), time.UnixMilli(v.End).UTC()
	out.Ended = !now.Before(out.End)
	return out, nil
}

func writeRanges(w io.Writer, ranges []rangeView) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "service\trange\towner\twitness\tepoch\tstart\tend\tstate\t")
	for _, r := range ranges {
		if r.Error != "" {
			fmt.Fprintf(tw, "%s\t%d\t-\t-\t-\t-\t-\tunreadable\t\n", r.Service, r.Number)
			continue
		}
		state := "runs"
		switch {
		case r.Owner == "":
			state = "released"
		case r.Ended:
			state = "ended"
		}
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\t\n", r.Service, r.Number, orDefault(r.Owner, "-"),
			orDefault(r.Witness, "-"), r.Epoch, r.Start.Format(time.RFC3339), r.End.Format(time.RFC3339), state)
	}
	flush(tw)
}

// orDefault returns name, or other if name is empty.
func orDefault(name, other string) string {
	if name == "" {
		return other
	}
	return name
}

// rangeReleaseResult is the result of range release.
type rangeReleaseResult struct {
	Service     string    `json:"service"`
	Number      int       `json:"number"`
	Owner       string    `json:"owner"`    // Before the release.
	Witness     string    `json:"witness"`  // Before the release.
	Assertion   string    `json:"asserts"`  // What the operator asserts by the release.
	Released    bool      `json:"released"` // False if the range had no owner already.
	Epoch       int64     `json:"epoch"`    // In the platform after the command.
	AcceptsFrom time.Time `json:"from"`     // Keys issued before are refused.
	Attempts    int       `json:"attempts"` // Writes sent.
}

func (a *app) rangeRelease(ctx context.Context, cmd *cli.Command) error {
	service := cmd.Args().Get(0)
	number, err := strconv.Atoi(cmd.Args().Get(1))
	if err != nil || !dogini.ValidName(service) || number < 0 || number >= dogwoodford.KeyRanges {
		return usagef("%s takes a service and a number from 0 to %d", cmd.FullName(), dogwoodford.KeyRanges-1)
	}
	p, err := a.platform(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	res := rangeReleaseResult{Service: service, Number: number}
	o, err := getObject(ctx, p, dogrange.ObjectName(service, number))
	if err != nil {
		return err
	}
	if o.Version == 0 {
		return withCode(CodeFailed, fmt.Errorf("read %s: %w", o.Name, dogwoodford.ErrNotFound))
	}
	old, parseErr := dogrange.ParseValue(o.Value)
	res.Owner, res.Witness, res.Epoch, res.AcceptsFrom = old.Owner, old.Witness, old.Epoch, time.UnixMilli(old.End).UTC()
	res.Assertion = releaseAssertion(res, parseErr != nil)
	if parseErr == nil && old.Owner == "" {
		return a.printRangeRelease(res)
	}
	if !cmd.Bool("yes") {
		if !a.json {
			fmt.Fprintln(a.options.Stdout, res.Assertion)
		}
		return usagef("nothing was changed; repeat the command with --yes if this is so: %s", res.Assertion)
	}
	// A live owner extends its window every 2 s, so a window that has not ended
	// contradicts the assertion.
	if now := time.Now().UnixMilli(); parseErr == nil && old.End > now {
		return withCode(CodeConflict, fmt.Errorf("%w: the window of owner %s runs for %d ms more, so it was extended recently; "+
			"repeat the command if the window ends", ErrNotAccepted, old.Owner, old.End-now))
	}
	value := dogrange.Release(time.Now(), o.Value)
	res.Attempts, err = updateObject(ctx, p, o, value.Bytes())
	if err != nil {
		return err
	}
	res.Released, res.Epoch, res.AcceptsFrom = true, value.Epoch, time.UnixMilli(value.End).UTC()
	return a.printRangeRelease(res)
}

// releaseAssertion returns the text of what the operator asserts by a release.
func releaseAssertion(r rangeReleaseResult, malformed bool) string {
	owner, witness := "owner "+r.Owner, "witness "+r.Witness
	if malformed {
		owner, witness = "the owner (the object cannot be read)", "the witness"
	} else if r.Witness == "" {
		witness = "the witness (none is named)"
	}
	return fmt.Sprintf("A release of range %d of service %s asserts that %s and %s are both gone for good: "+
		"neither process runs, or is paused and could wake. If one does, a request could run twice.",
		r.Number, r.Service, owner, witness)
}

func (a *app) printRangeRelease(res rangeReleaseResult) error {
	return a.print(res, func(w io.Writer) {
		if !res.Released {
			fmt.Fprintf(w, "range %d of service %s has no owner already; nothing was changed\n", res.Number, res.Service)
			return
		}
		fmt.Fprintln(w, res.Assertion)
		fmt.Fprintf(w, "range %d of service %s: released at epoch %d; keys issued before %s are refused\n",
			res.Number, res.Service, res.Epoch, res.AcceptsFrom.Format(time.RFC3339Nano))
	})
}
