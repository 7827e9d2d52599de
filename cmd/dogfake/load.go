package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"dogwoodford/cmd/dogfake/internal/fakeload"
)

// loadCommand returns the command that runs the load generator.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "load generator that sends a mix of requests",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "address of an entry; repeatable"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the run"},
			&cli.StringFlag{Name: "mix", Required: true, Usage: "a file, or WEIGHT CLASS METHOD PATH [BYTES]; ..."},
			&cli.StringFlag{Name: "customer", Usage: "name of the customer"},
			&cli.StringFlag{Name: "credential", Sources: cli.EnvVars("DOGFAKE_CREDENTIAL"), Usage: "credential of the customer"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "time limit of one attempt, also sent as its deadline"},
			&cli.IntFlag{Name: "resends", Usage: "maximum number of resends of a request that did not complete"},
			&cli.BoolFlag{Name: "polite", Usage: "wait for Retry-After before a resend"},
			&cli.IntFlag{Name: "in-progress", Value: 4096, Usage: "maximum number of requests in progress; further ones are not sent"},
			&cli.BoolFlag{Name: "http2", Usage: "speak cleartext HTTP/2"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choice of requests"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	mix, err := fakeload.LoadMix(cmd.String("mix"))
	if err != nil {
		return err
	}
	if cmd.Float("rate") <= 0 || cmd.Int("in-progress") < 1 {
		return fmt.Errorf("-rate and -in-progress must be above 0")
	}
	report := fakeload.Run(ctx, fakeload.Config{
		Entries:          cmd.StringSlice("entry"),
		Rate:             cmd.Float("rate"),
		Duration:         cmd.Duration("duration"),
		Mix:              mix,
		Customer:         cmd.String("customer"),
		Credential:       cmd.String("credential"),
		Timeout:          cmd.Duration("timeout"),
		Resends:          cmd.Int("resends"),
		HonourRetryAfter: cmd.Bool("polite"),
		MaxInProgress:    cmd.Int("in-progress"),
		HTTP2:            cmd.Bool("http2"),
		Seed:             cmd.Uint64("seed"),
	})
	if cmd.Bool("json") {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	return report.WriteTable(os.Stdout)
}
