// Command dogload measures the latency that nodes add to a call. It sends the
// same request to one target over several ways, such as directly and through
// nodes, interleaved in one run, and reports each way relative to the first.
//
// # Usage
//
//	dogload -way direct=http://127.0.0.1:7105/sheets/1 \
//		-way one-node=http://127.0.0.1:7101/rounds/sheets/1 \
//		-way two-nodes=http://127.0.0.1:7201/rounds/sheets/1 \
//		-customer firm-1 -credential SECRET -rate 500 -duration 20s \
//		-process node-1=4711,127.0.0.1:7104
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"dogwoodford/cmd/dogload/internal/loadtest"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:  "dogload",
		Usage: "measure the latency that nodes add to a call",
		// A value of the flag process may contain a comma: NAME=PID,ADMIN.
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "way", Required: true, Usage: "NAME=URL; the first is the baseline"},
			&cli.StringSliceFlag{Name: "process", Usage: "NAME=PID or NAME=PID,ADMIN of a process whose resource usage is measured"},
			&cli.StringFlag{Name: "customer"},
			&cli.StringFlag{Name: "credential"},
			&cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests per second on each way"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "warmup", Value: 3 * time.Second},
			&cli.IntFlag{Name: "concurrent", Value: 1000, Usage: "maximum number of requests in progress on each way; further ones wait"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of the table"},
			&cli.StringFlag{Name: "json-file", Usage: "also write JSON to this file"},
		},
		Action: run,
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dogload:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	cfg := loadtest.Config{
		Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Warmup: cmd.Duration("warmup"),
		MaxInProgress: cmd.Int("concurrent"), Timeout: 30 * time.Second, Header: http.Header{},
	}
	for _, s := range cmd.StringSlice("way") {
		w, err := loadtest.ParseWay(s)
		if err != nil {
			return fmt.Errorf("flag way: %w", err)
		}
		cfg.Ways = append(cfg.Ways, w)
	}
	if c := cmd.String("customer"); c != "" {
		cfg.Header.Set("Dogwoodford-Customer", c)
		cfg.Header.Set("Authorization", "Bearer "+cmd.String("credential"))
	}
	processes, before, err := readSamples(ctx, cmd.StringSlice("process"))
	if err != nil {
		return err
	}
	rep := loadtest.Run(ctx, cfg)
	if err := addUsage(ctx, &rep, processes, before); err != nil {
		return err
	}
	if path := cmd.String("json-file"); path != "" {
		if err := writeFile(path, rep); err != nil {
			return err
		}
	}
	if !cmd.Bool("json") {
		return rep.WriteTable(os.Stdout)
	}
	return writeJSON(os.Stdout, rep)
}

func writeFile(path string, rep loadtest.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	if err := writeJSON(f, rep); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

func writeJSON(w io.Writer, rep loadtest.Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(rep); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// readSamples parses the values of the flag process and reads a sample of each
// process.
func readSamples(ctx context.Context, flags []string) ([]loadtest.Process, []loadtest.Sample, error) {
	var processes []loadtest.Process
	var samples []loadtest.Sample
	for _, s := range flags {
		p, err := loadtest.ParseProcess(s)
		if err != nil {
			return nil, nil, fmt.Errorf("flag process: %w", err)
		}
		v, err := loadtest.ReadSample(ctx, p)
		if err != nil {
			return nil, nil, fmt.Errorf("before the run: %w", err)
		}
		processes, samples = append(processes, p), append(samples, v)
	}
	return processes, samples, nil
}

// addUsage adds the usage of the processes since the samples before to the
// report.
func addUsage(ctx context.Context, rep *loadtest.Report, processes []loadtest.Process, before []loadtest.Sample) error {
	for i, p := range processes {
		after, err := loadtest.ReadSample(ctx, p)
		if err != nil {
			return fmt.Errorf("after the run: %w", err)
		}
		rep.Usage = append(rep.Usage, loadtest.UsageBetween(p.Name, before[i], after, rep.Calls))
	}
	return nil
}
