package dogcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford"
	"dogwoodford/io/process/dogsettings"
)

// Exit codes. docs/operators.md lists them.
const (
	CodeOK          = 0
	CodeFailed      = 1 // Another failure, such as a file that cannot be read.
	CodeUsage       = 2 // The command line is wrong.
	CodeInvalid     = 3 // A contract or settings file has faults.
	CodeConflict    = 4 // Not accepted: the platform holds something else than expected.
	CodeUnavailable = 5 // The platform or a node gave no answer; nothing was changed.
	CodeUncertain   = 6 // A write may or may not have taken effect.
	CodeNotInForce  = 7 // A generation is not in force at every node that was asked.
)

// Options are what the commands need from their surroundings.
type Options struct {
	Stdout io.Writer
	Stderr io.Writer
	// Platform makes a client of the object service at an address.
	Platform func(address string) (dogwoodford.Platform, error)
	// Run runs a node until ctx ends.
	Run func(ctx context.Context, s dogsettings.Settings) error
	// Sidecar runs a node with the settings of the platform until ctx ends.
	Sidecar func(ctx context.Context) error
	// Client reads the status of nodes; http.DefaultClient if nil.
	Client *http.Client
}

// Main runs the command that args name, args[0] being the program, and returns
// the exit code.
func Main(ctx context.Context, args []string, o Options) int {
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	a := &app{o: o}
	err := a.root().Run(ctx, args)
	if err == nil {
		return CodeOK
	}
	code := CodeFailed
	var coded *codedError
	if errors.As(err, &coded) {
		code = coded.code
	}
	a.reportError(err, code)
	return code
}

type app struct {
	o    Options
	json bool // The command was called with --json.
}

// codedError is an error with an exit code.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// errUsage is the root of errors in the command line.
var errUsage = eris.New("usage")

func usagef(format string, args ...any) error {
	return withCode(CodeUsage, fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...))
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:                  "dogwoodford",
		Usage:                 "overload control for service call graphs",
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Writer:         a.o.Stdout,
		ErrWriter:      a.o.Stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Main reports errors.
		Commands: []*cli.Command{a.nodeCommand(), a.sidecarCommand(), a.settingsCommand(), a.contractCommand(), a.statusCommand(),
			a.rangeCommand(), a.quarantineCommand(), a.drainCommand()},
	}
	prepare(root)
	return root
}

// prepare gives every command the same treatment of wrong usage.
func prepare(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return withCode(CodeUsage, fmt.Errorf("%w: %w", errUsage, err))
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q", cmd.Args().First())
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range c.Commands {
		prepare(sub)
	}
}

// command makes a command with --json and a check of the number of arguments;
// most below 0 means any number.
func (a *app) command(name, usage, argsUsage string, least, most int, flags []cli.Flag, action cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: argsUsage,
		Flags: append(flags, &cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			a.json = cmd.Bool("json")
			if n := cmd.Args().Len(); n < least || most >= 0 && n > most {
				return usagef("%s takes other arguments: %s", cmd.FullName(), argsUsage)
			}
			return action(ctx, cmd)
		},
	}
}

func (a *app) sidecarCommand() *cli.Command {
	return a.command("sidecar", "run a node on the platform, with the settings file that it provides", "", 0, 0, nil,
		func(ctx context.Context, _ *cli.Command) error {
			if err := a.o.Sidecar(ctx); err != nil {
				return withCode(CodeFailed, err)
			}
			return nil
		})
}

func (a *app) nodeCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE` of the node"}}
	return a.command("node", "run a node beside a target", "", 0, 0, flags,
		func(ctx context.Context, cmd *cli.Command) error {
			s, err := dogsettings.Load(cmd.String("settings"))
			if err != nil {
				return fileError(err)
			}
			return a.o.Run(ctx, s)
		})
}

func (a *app) settingsCommand() *cli.Command {
	check := a.command("check", "check a settings file", "FILE", 1, 1, nil,
		func(_ context.Context, cmd *cli.Command) error {
			s, err := dogsettings.Load(cmd.Args().First())
			if err != nil {
				return fileError(err)
			}
			return a.print(struct {
				File    string `json:"file"`
				Node    string `json:"node"`
				Service string `json:"service"`
			}{cmd.Args().First(), s.Node.Name, s.Node.Service}, func(w io.Writer) {
				fmt.Fprintf(w, "%s: node %s of service %s: no faults\n", cmd.Args().First(), s.Node.Name, s.Node.Service)
			})
		})
	return &cli.Command{Name: "settings", Usage: "settings of a node", Commands: []*cli.Command{check}}
}

// platformFlags are the flags of commands that use the object service.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Sources: cli.EnvVars("DOGWOODFORD_PLATFORM"),
			Usage: "IP `ADDRESS` and port of the object service"},
		&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "time after which the command gives up"},
	}
}

// platform returns the client that the flags name.
func (a *app) platform(cmd *cli.Command) (dogwoodford.Platform, error) {
	address := cmd.String("platform")
	if address == "" {
		return nil, usagef("--platform or DOGWOODFORD_PLATFORM is needed")
	}
	p, err := a.o.Platform(address)
	if err != nil {
		return nil, fmt.Errorf("platform %s: %w", address, err)
	}
	return p, nil
}
