package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford/cmd/dogfake/internal/fakecollector"
	"dogwoodford/cmd/dogfake/internal/fakeplatform"
)

// errStatus is returned by the command call for an answer with a status of 400
// or above.
var errStatus = eris.New("error status")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:     "dogfake",
		Usage:    "fakes for tests and the demo",
		Commands: []*cli.Command{platformCommand(), targetCommand(), loadCommand(), collectorCommand(), callCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dogfake:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port to listen on"}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "fake of the platform's object service",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			srv := newServer(fakeplatform.NewServer(fakeplatform.NewStore()))
			return serve(ctx, srv, cmd.String("listen"), func(context.Context) {})
		},
	}
}

func collectorCommand() *cli.Command {
	return &cli.Command{
		Name:  "collector",
		Usage: "fake collector of traces that prints a trace as a tree",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, newServer(fakecollector.NewServer()), cmd.String("listen"), func(context.Context) {})
		},
	}
}

// callCommand returns the command that makes one HTTP call. Scripts control the
// fakes with it and so need no other HTTP client.
func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "make one HTTP call and print the body of the answer",
		ArgsUsage: "METHOD URL [BODY]",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args := cmd.Args()
			req, err := http.NewRequestWithContext(ctx, args.Get(0), args.Get(1), strings.NewReader(args.Get(2)))
			if err != nil {
				return fmt.Errorf("call: %w", err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return fmt.Errorf("call: %w", err)
			}
			defer resp.Body.Close()
			if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
				return fmt.Errorf("call: read answer: %w", err)
			}
			if resp.StatusCode >= http.StatusBadRequest {
				return fmt.Errorf("call: status %d: %w", resp.StatusCode, errStatus)
			}
			return nil
		},
	}
}

// newServer returns a server for HTTP/1.1 and cleartext HTTP/2.
func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: 10 * time.Second}
}

// stopTimeout bounds the time from a signal to the end of the process.
const stopTimeout = 30 * time.Second

// serve listens on address and serves until ctx ends, then calls drain and
// closes the server.
func serve(ctx context.Context, srv *http.Server, address string, drain func(context.Context)) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintln(os.Stderr, "dogfake: listening on", ln.Addr())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	drain(stopCtx)
	// Shutdown would wait up to 30 s for pending watches.
	shutdownCtx, cancelShutdown := context.WithTimeout(stopCtx, time.Second)
	defer cancelShutdown()
	if err := srv.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return srv.Close()
}
