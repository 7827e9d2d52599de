// Command dogsoak runs randomized faults against real node processes on this
// machine.
//
// # Usage
//
//	dogsoak --program bin/dogwoodford --seed 1 --count 50 --dir /tmp/soak
//
// It prints a line for each seed and exits with status 1 if a guarantee was
// violated. The logs of such seeds are kept in the directory.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford/platform/soak"
)

var errBroken = eris.New("promises were broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name: "dogsoak", Usage: "run randomized faults against node processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/dogwoodford", Usage: "the node's `PROGRAM`"},
			&cli.StringFlag{Name: "dir", Value: filepath.Join(os.TempDir(), "dogsoak"), Usage: "`DIR` for logs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number `N` of seeds"},
			&cli.IntFlag{Name: "nodes", Value: 2, Usage: "nodes `N` of each service"},
			&cli.BoolFlag{Name: "events", Usage: "print the faults of all seeds"},
			&cli.IntFlag{Name: "subnet", Usage: "second `NUMBER` of all addresses in 127.0.0.0/8"},
			&cli.DurationFlag{Name: "faults", Value: 10 * time.Second, Usage: "`TIME` with faults"},
		},
		Action: run,
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dogsoak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	failed := 0
	for i := range cmd.Int("count") {
		if ctx.Err() != nil {
			return fmt.Errorf("stopped after %d seeds: %w", i, ctx.Err())
		}
		seed := cmd.Uint64("seed") + uint64(i)
		dir := filepath.Join(cmd.String("dir"), fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("make %s: %w", dir, err)
		}
		r, err := soak.Run(ctx, soak.Config{
			Seed: seed, Program: cmd.String("program"), Dir: dir, NodesPerService: cmd.Int("nodes"), FaultTime: cmd.Duration("faults"),
			Subnet: cmd.Int("subnet"),
		})
		if err != nil {
			return fmt.Errorf("run seed: %w", err)
		}
		fmt.Println(r)
		if len(r.Violations) == 0 {
			if cmd.Bool("events") {
				printAll(r.Events)
			}
			if err := os.RemoveAll(dir); err != nil {
				return fmt.Errorf("remove %s: %w", dir, err)
			}
			continue
		}
		failed++
		printAll(r.Events)
		printAll(r.Violations)
	}
	if failed > 0 {
		return fmt.Errorf("%d seeds: %w", failed, errBroken)
	}
	return nil
}

func printAll(lines []string) {
	for _, l := range lines {
		fmt.Println("   ", l)
	}
}
