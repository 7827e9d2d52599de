package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"dogwoodford/cmd/dogfake/internal/faketarget"
)

// crashExitCode is the exit code of a target that crashes on request.
const crashExitCode = 42

// targetCommand returns the command that runs a fake target.
func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "fake target: one worker of a service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service"},
			&cli.IntFlag{Name: "slots", Value: 45, Usage: "number of requests that run concurrently"},
			&cli.DurationFlag{Name: "time", Value: 20 * time.Millisecond, Usage: "service time"},
			&cli.DurationFlag{Name: "jitter", Usage: "maximum deviation of the service time in either direction"},
			&cli.DurationFlag{Name: "cold-start", Usage: "duration of slow service after the start"},
			&cli.DurationFlag{Name: "drain-grace", Value: 500 * time.Millisecond,
				Usage: "time for which a target continues to serve after a signal, so that its node sees the drain"},
			&cli.StringFlag{Name: "exit", Usage: "address of the node's exit, for child calls"},
			&cli.StringFlag{Name: "calls", Usage: "child calls: a file, or PREFIX sequence|parallel METHOD PATH ..."},
			&cli.IntFlag{Name: "retries", Usage: "immediate retries of a failed child call"},
			&cli.StringFlag{Name: "crash-on", Value: "CRASH-TARGET", Usage: "text in a URI or body that crashes the target"},
			&cli.StringFlag{Name: "journal", Usage: "file to which the key and id of each request are appended before it runs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the jitter"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, cmd *cli.Command) error {
	rules, err := faketarget.LoadRules(cmd.String("calls"))
	if err != nil {
		return err
	}
	if len(rules) > 0 && cmd.String("exit") == "" {
		return fmt.Errorf("-calls needs -exit")
	}
	if cmd.Int("slots") < 1 {
		return fmt.Errorf("-slots must be at least 1")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var journal io.Writer
	if name := cmd.String("journal"); name != "" {
		f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		defer f.Close()
		journal = f
	}
	t := faketarget.New(faketarget.Config{
		Service:     cmd.String("service"),
		Slots:       cmd.Int("slots"),
		ServiceTime: cmd.Duration("time"),
		Jitter:      cmd.Duration("jitter"),
		ColdStart:   cmd.Duration("cold-start"),
		Exit:        cmd.String("exit"),
		Rules:       rules,
		Retries:     cmd.Int("retries"),
		CrashMarker: cmd.String("crash-on"),
		Seed:        cmd.Uint64("seed"),
		Crash:       func() { os.Exit(crashExitCode) },
		Stop:        stop,
		Journal:     journal,
	})
	return serve(ctx, newServer(t), cmd.String("listen"), func(ctx context.Context) {
		t.Drain(ctx, cmd.Duration("drain-grace"))
	})
}
