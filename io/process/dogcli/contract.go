package dogcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford"
	"dogwoodford/core/version/dogcontract"
	"dogwoodford/core/version/dogini"
	"dogwoodford/io/version/dogfile"
)

// ContractPrefix is the prefix of the platform's objects that hold contracts.
const ContractPrefix = "contract/"

// errDiffer is returned by contract diff --exit-code if the contracts differ.
var errDiffer = eris.New("differences")

func (a *app) contractCommand() *cli.Command {
	return &cli.Command{
		Name:  "contract",
		Usage: "contracts of customers",
		Commands: []*cli.Command{
			a.newCommand("check", "check contract files and print their consequences", "FILE|FOLDER ...", 1, -1,
				[]cli.Flag{&cli.IntFlag{Name: "depth", Value: 8, Usage: "depth of the call trees"}}, a.contractCheck),
			a.newCommand("diff", "compare a contract file with the platform or another file", "FILE [FILE]", 1, 2,
				append(platformFlags(), &cli.BoolFlag{Name: "exit-code", Usage: "exit with 4 if they differ"}), a.contractDiff),
			a.newCommand("apply", "bring a contract file into force", "FILE", 1, 1,
				append(platformFlags(), &cli.BoolFlag{Name: "dry-run", Usage: "only print the difference"},
					&cli.BoolFlag{Name: "keep-file", Usage: "do not write the new generation into the file"}), a.contractApply),
			a.newCommand("pull", "print the contract that the platform holds", "CUSTOMER", 1, 1,
				append(platformFlags(), &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "write to `FILE`"}),
				a.contractPull),
			a.newCommand("status", "compare the platform with the generations in force at nodes", "[CUSTOMER ...]", 0, -1,
				append(append(platformFlags(), nodeFlags()...),
					&cli.BoolFlag{Name: "wait", Usage: "wait until the platform's generations are in force"}), a.contractStatus),
		},
	}
}

// checkResult is the result of contract check for one file.
type checkResult struct {
	File         string                   `json:"file"`
	Customer     string                   `json:"customer"`
	Generation   int64                    `json:"generation"`
	Consequences dogcontract.Consequences `json:"consequences"`
}

func (a *app) contractCheck(_ context.Context, cmd *cli.Command) error {
	var out []checkResult
	var errs []error
	for _, path := range cmd.Args().Slice() {
		files, err := readContractFiles(path)
		if err != nil {
			errs = append(errs, err)
		}
		for _, f := range files {
			out = append(out, checkResult{f.Path, f.Contract.Customer(), f.Contract.Generation(),
				f.Contract.Consequences(cmd.Int("depth"))})
		}
	}
	if err := errors.Join(errs...); err != nil {
		return fileError(err)
	}
	return a.print(out, func(w io.Writer) {
		for _, c := range out {
			fmt.Fprintf(w, "%s: customer %s, generation %d: no faults\n", c.File, c.Customer, c.Generation)
			writeConsequences(w, c.Consequences)
		}
	})
}

func readContractFiles(path string) ([]dogfile.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("check contract file: %w", err)
	}
	if info.IsDir() {
		return dogfile.ReadFolder(path)
	}
	f, err := dogfile.Read(path)
	if err != nil {
		return nil, err
	}
	return []dogfile.File{f}, nil
}

func writeConsequences(w io.Writer, c dogcontract.Consequences) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  shed\timportance\tclasses\t")
	for i, s := range c.Shed {
		order := fmt.Sprint(i + 1)
		if i == len(c.Shed)-1 {
			order = "last"
		}
		fmt.Fprintf(tw, "  %s\t%d\t%s\t\n", order, s.Importance, strings.Join(s.Classes, ", "))
	}
	flush(tw)
	fmt.Fprintf(tw, "  class\tattempts at depth %d\tat one call\twith retries at each hop\t\n", c.Depth)
	for _, at := range c.Attempts {
		fmt.Fprintf(tw, "  %s\t%d\t%d\t%.0f\t\n", at.Class, at.Largest, at.Deepest, at.PerHop)
	}
	flush(tw)
	fmt.Fprintln(tw, "  service\tslots\twithout one worker\tconnections\trequests a second that fit if each takes its deadline\t")
	for _, n := range c.Capacity {
		var rates []string
		for _, class := range slices.Sorted(maps.Keys(n.Rates)) {
			rates = append(rates, fmt.Sprintf("%s %.0f", class, n.Rates[class]))
		}
		fmt.Fprintf(tw, "  %s\t%d\t%d\t%d\t%s\t\n", n.Service, n.Slots, n.SlotsLessOne, n.Connections, strings.Join(rates, ", "))
	}
	flush(tw)
}

// flush aligns and writes a table. Errors of the underlying writer are ignored.
func flush(tw *tabwriter.Writer) { _ = tw.Flush() }

// diffResult is the result of contract diff.
type diffResult struct {
	Customer string               `json:"customer"`
	Before   int64                `json:"before"` // Generation; 0 without a contract.
	After    int64                `json:"after"`
	Changes  []dogcontract.Change `json:"changes"`
}

func (a *app) contractDiff(ctx context.Context, cmd *cli.Command) error {
	first, err := dogfile.Read(cmd.Args().Get(0))
	if err != nil {
		return fileError(err)
	}
	before, after := first.Contract, first.Contract
	if cmd.Args().Len() == 2 {
		second, err := dogfile.Read(cmd.Args().Get(1))
		if err != nil {
			return fileError(err)
		}
		after = second.Contract
	} else {
		p, err := a.platform(cmd)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		_, before, err = fetchContract(ctx, p, after.Customer())
		if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
			return err
		}
	}
	d := diffResult{Customer: after.Customer(), Before: generationOf(before), After: after.Generation(),
		Changes: dogcontract.Diff(before, after)}
	if err := a.print(d, func(w io.Writer) { writeChanges(w, d.Changes) }); err != nil {
		return err
	}
	if cmd.Bool("exit-code") && len(d.Changes) > 0 {
		return a.errorAfterResult(withCode(CodeConflict, fmt.Errorf("%w: %d", errDiffer, len(d.Changes))))
	}
	return nil
}

func generationOf(c *dogcontract.Contract) int64 {
	if c == nil {
		return 0
	}
	return c.Generation()
}

func writeChanges(w io.Writer, changes []dogcontract.Change) {
	for _, ch := range changes {
		fmt.Fprintln(w, ch)
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no differences")
	}
}

// fetchContract reads the contract of a customer from the platform. If there is
// none, it returns ErrNotFound and an object with version 0.
func fetchContract(ctx context.Context, p dogwoodford.Platform, customer string) (dogwoodford.Object, *dogcontract.Contract, error) {
	name := ContractPrefix + customer
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	o, err := p.Get(ctx, name)
	if err != nil {
		if !errors.Is(err, dogwoodford.ErrNotFound) {
			err = withCode(CodeUnavailable, fmt.Errorf("read %s: %w", name, err))
		}
		return dogwoodford.Object{Name: name}, nil, err
	}
	c, err := dogcontract.Parse("platform:"+name, o.Value)
	if err != nil {
		return o, nil, withCode(CodeInvalid, fmt.Errorf("read %s: %w", name, err))
	}
	return o, c, nil
}

func (a *app) contractPull(ctx context.Context, cmd *cli.Command) error {
	customer := cmd.Args().First()
	if !dogini.ValidName(customer) {
		return usagef("%q is not the name of a customer", customer)
	}
	p, err := a.platform(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	o, c, err := fetchContract(ctx, p, customer)
	if err != nil {
		return err
	}
	if path := cmd.String("output"); path != "" {
		if err := os.WriteFile(path, o.Value, 0o644); err != nil {
			return fmt.Errorf("pull contract: %w", err)
		}
	}
	return a.print(struct {
		Customer   string `json:"customer"`
		Generation int64  `json:"generation"`
		Version    int64  `json:"version"`
		Text       string `json:"text"`
	}{customer, c.Generation(), o.Version, string(o.Value)}, func(w io.Writer) {
		if cmd.String("output") != "" {
			fmt.Fprintf(w, "%s: generation %d\n", cmd.String("output"), c.Generation())
			return
		}
		// A failed write is ignored, as in the other text output.
		_, _ = w.Write(o.Value)
	})
}
