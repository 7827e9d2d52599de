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
	CodeConflict    = 4 // Not accepted: the platform holds another version than expected.
	CodeUnavailable = 5 // The platform or a node did not answer; nothing was changed.
	CodeUncertain   = 6 // A write may or may not have taken effect.
	CodeNotInForce  = 7 // A generation is not in force at every node that was asked.
)

// Options holds the output streams of the commands and the functions that they
// call to reach the platform and to run nodes.
type Options struct {
	Stdout io.Writer
	Stderr io.Writer
	// DialPlatform returns a client of the object service at an IP address and port.
	DialPlatform func(address string) (dogwoodford.Platform, error)
	// RunNode runs a node until ctx ends.
	RunNode func(ctx context.Context, s dogsettings.Settings) error
	// RunSidecar runs a node with the settings file that the platform provides,
	// until ctx ends.
	RunSidecar func(ctx context.Context) error
	// Client sends the requests to the admin listeners of nodes. The default is
	// http.DefaultClient.
	Client *http.Client
}

// Main runs the command given by args, where args[0] is the name of the
// program, reports its error and returns the exit code.
func Main(ctx context.Context, args []string, o Options) int {
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	a := &app{options: o}
	err := a.rootCommand().Run(ctx, args)
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

// app is one run of the program.
type app struct {
	options Options
	json    bool // The command was called with --json.
}

// codedError is an error with an exit code.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

// withCode returns err with an exit code, or nil if err is nil.
func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// errUsage is wrapped by all errors about the command line.
var errUsage = eris.New("usage")

// usagef returns an error with CodeUsage that wraps errUsage.
func usagef(format string, args ...any) error {
	return withCode(CodeUsage, fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...))
}

func (a *app) rootCommand() *cli.Command {
	root := &cli.Command{
		Name:                  "dogwoodford",
		Usage:                 "overload control for service call graphs",
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Writer:         a.options.Stdout,
		ErrWriter:      a.options.Stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Main reports errors.
		Commands: []*cli.Command{a.nodeCommand(), a.sidecarCommand(), a.settingsCommand(), a.contractCommand(), a.statusCommand(),
			a.rangeCommand(), a.quarantineCommand(), a.drainCommand(), a.explainCommand()},
	}
	handleUsageErrors(root)
	return root
}

// handleUsageErrors makes c and its subcommands return errors with CodeUsage for
// wrong flags and unknown subcommands. A command without an action prints its help.
func handleUsageErrors(c *cli.Command) {
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
		handleUsageErrors(sub)
	}
}

// newCommand returns a command with the flag --json that checks the number of its
// arguments. A negative maxArgs means no upper limit.
func (a *app) newCommand(name, usage, argsUsage string, minArgs, maxArgs int, flags []cli.Flag, action cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: argsUsage,
		Flags: append(flags, &cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			a.json = cmd.Bool("json")
			if n := cmd.Args().Len(); n < minArgs || maxArgs >= 0 && n > maxArgs {
				return usagef("%s: wrong number of arguments; expected %q", cmd.FullName(), argsUsage)
			}
			return action(ctx, cmd)
		},
	}
}

func (a *app) sidecarCommand() *cli.Command {
	return a.newCommand("sidecar", "run a node on the platform, with the settings file that it provides", "", 0, 0, nil,
		func(ctx context.Context, _ *cli.Command) error {
			if err := a.options.RunSidecar(ctx); err != nil {
				return withCode(CodeFailed, err)
			}
			return nil
		})
}

func (a *app) nodeCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE` of the node"}}
	return a.newCommand("node", "run a node beside a target", "", 0, 0, flags,
		func(ctx context.Context, cmd *cli.Command) error {
			s, err := dogsettings.Load(cmd.String("settings"))
			if err != nil {
				return fileError(err)
			}
			return a.options.RunNode(ctx, s)
		})
}

func (a *app) settingsCommand() *cli.Command {
	check := a.newCommand("check", "check a settings file", "FILE", 1, 1, nil,
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
		&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "time limit of the command"},
	}
}

// platform returns a client of the object service at the address in the flag
// --platform.
func (a *app) platform(cmd *cli.Command) (dogwoodford.Platform, error) {
	address := cmd.String("platform")
	if address == "" {
		return nil, usagef("--platform or DOGWOODFORD_PLATFORM is required")
	}
	p, err := a.options.DialPlatform(address)
	if err != nil {
		return nil, fmt.Errorf("platform %s: %w", address, err)
	}
	return p, nil
}
