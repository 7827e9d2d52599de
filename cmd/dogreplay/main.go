// Command dogreplay replays trace files through the decision logic in virtual
// time and checks the outcomes that the files expect.
//
//	go run ./cmd/dogreplay [-policy ours|none|fixed] [-seed N] [-json] FILE...
//
// It exits with status 1 if an expectation fails or a file is invalid. See
// docs/traces.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford/core/process/dogreplay"
)

var errFailed = eris.New("an expectation failed")

func main() {
	if err := command(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dogreplay:", err)
		os.Exit(1)
	}
}

func command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "dogreplay",
		Usage:     "replay trace files through the decision logic",
		ArgsUsage: "FILE...",
		Writer:    out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Value: "ours", Usage: "ours, none, fixed or paced"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random sources"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return replay(out, c.Args().Slice(), c.String("policy"), c.Uint64("seed"), c.Bool("json"))
		},
	}
}

func replay(out io.Writer, files []string, policy string, seed uint64, asJSON bool) error {
	if len(files) == 0 {
		return eris.New("no trace file given")
	}
	p, err := dogreplay.ParsePolicy(policy)
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	pass := true
	results := []*dogreplay.Result{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read trace: %w", err)
		}
		tr, err := dogreplay.Parse(filepath.Base(file), string(text))
		if err != nil {
			return err
		}
		res := dogreplay.Run(tr, p, seed)
		pass = pass && res.Pass()
		results = append(results, res)
		if !asJSON {
			if err := res.WriteTable(out); err != nil {
				return err
			}
			fmt.Fprintln(out)
		}
	}
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(results); err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
	}
	if !pass {
		return errFailed
	}
	return nil
}
