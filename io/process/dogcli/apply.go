package dogcli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford"
	"dogwoodford/core/version/dogcontract"
	"dogwoodford/io/version/dogfile"
)

// ErrNotAccepted means that an apply changed nothing, as the platform holds
// something else than the file was built on.
var ErrNotAccepted = eris.New("not accepted")

// ErrUncertain means that an apply may or may not have taken effect.
var ErrUncertain = eris.New("it is not known whether the contract was accepted")

const (
	// retryPause is the pause between two attempts at an unanswered call.
	retryPause = 500 * time.Millisecond
	// attemptTimeout bounds one attempt, so that one call that hangs leaves
	// time for others.
	attemptTimeout = 5 * time.Second
)

// applied is the result of contract apply.
type applied struct {
	Customer   string               `json:"customer"`
	Accepted   bool                 `json:"accepted"`
	Generation int64                `json:"generation"` // Generation written, or with dry-run to be written.
	Version    int64                `json:"version"`    // Version of the object.
	Attempts   int                  `json:"attempts"`   // Writes sent.
	DryRun     bool                 `json:"dry_run"`
	Changes    []dogcontract.Change `json:"changes"`
	Error      string               `json:"error,omitempty"`
	Code       int                  `json:"code"`
}

func (a *app) contractApply(ctx context.Context, cmd *cli.Command) error {
	f, err := dogfile.Read(cmd.Args().First())
	if err != nil {
		return fileError(err)
	}
	p, err := a.platform(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	res, text, err := apply(ctx, p, f, cmd.Bool("dry-run"))
	if err != nil {
		return a.applyFailed(res, err)
	}
	if res.Accepted && !cmd.Bool("keep-file") && !bytes.Equal(text, f.Text) {
		if err := os.WriteFile(f.Path, text, 0o644); err != nil {
			fmt.Fprintf(a.o.Stderr, "dogwoodford: accepted, but the file keeps its old generation: %v\n", err)
		}
	}
	return a.print(res, func(w io.Writer) {
		writeChanges(w, res.Changes)
		if res.DryRun {
			fmt.Fprintf(w, "customer %s: generation %d would be applied\n", res.Customer, res.Generation)
			return
		}
		fmt.Fprintf(w, "customer %s: generation %d accepted\n", res.Customer, res.Generation)
	})
}

// applyFailed reports a failed apply, with the difference on a conflict.
func (a *app) applyFailed(res applied, err error) error {
	var coded *codedError
	if !errors.As(err, &coded) || coded.code != CodeConflict {
		return err
	}
	if !a.json {
		fmt.Fprintln(a.o.Stdout, "from the platform's contract to the file:")
		writeChanges(a.o.Stdout, res.Changes)
		return err
	}
	res.Error, res.Code = err.Error(), coded.code
	// The result takes the place of the error report.
	if err := a.print(res, nil); err != nil {
		return err
	}
	return &silentError{err}
}

// apply writes the contract of f with the next generation. It returns the text
// written.
func apply(ctx context.Context, p dogwoodford.Platform, f dogfile.File, dryRun bool) (applied, []byte, error) {
	res := applied{Customer: f.Contract.Customer(), DryRun: dryRun}
	o, present, err := fetch(ctx, p, res.Customer)
	if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
		return res, nil, err
	}
	res.Changes = dogcontract.Diff(present, f.Contract)
	next := f.Contract.Generation()
	if present != nil {
		if err := checkBase(present.Generation(), next); err != nil {
			return res, nil, err
		}
		next++
	}
	text, err := dogcontract.SetGeneration(f.Text, next)
	if err != nil {
		return res, nil, fileError(err)
	}
	res.Generation = next
	if dryRun {
		return res, text, nil
	}
	return write(ctx, p, o, f, text, res)
}

// checkBase refuses a file that was not built on the present generation.
func checkBase(present, file int64) error {
	switch {
	case file < present:
		return withCode(CodeConflict, fmt.Errorf(
			"%w: the file was built on generation %d, the platform holds %d; pull it and repeat the change",
			ErrNotAccepted, file, present))
	case file > present:
		return withCode(CodeConflict, fmt.Errorf(
			"%w: the file was built on generation %d, the platform holds the lower %d, as after a restore; "+
				"wait until a node has written the generation in force back", ErrNotAccepted, file, present))
	}
	return nil
}

// write sends the conditional update until it is answered. Sending it again
// is safe and decides: if the lost write took effect, the repeated one meets
// another version; if it did not, the repeated one takes effect, and the lost
// one cannot do so any more.
func write(ctx context.Context, p dogwoodford.Platform, o dogwoodford.Object, f dogfile.File, text []byte, res applied) (applied, []byte, error) {
	for {
		res.Attempts++
		version, err := put(ctx, p, o, text)
		switch {
		case err == nil:
			res.Accepted, res.Version = true, version
			return res, text, nil
		case errors.Is(err, dogwoodford.ErrConflict):
			return readBack(ctx, p, f, text, res)
		case !unanswered(err):
			return res, nil, fmt.Errorf("apply: %w", err)
		}
		if !pause(ctx, retryPause) {
			return res, nil, withCode(CodeUncertain, fmt.Errorf(
				"%w: the platform did not answer %d writes; run the command again: %w", ErrUncertain, res.Attempts, err))
		}
	}
}

// readBack tells after a conflict whether an earlier write of this command
// took effect.
func readBack(ctx context.Context, p dogwoodford.Platform, f dogfile.File, text []byte, res applied) (applied, []byte, error) {
	for {
		o, present, err := fetch(ctx, p, res.Customer)
		switch {
		case unanswered(err):
			if pause(ctx, retryPause) {
				continue
			}
			if res.Attempts > 1 {
				return res, nil, withCode(CodeUncertain, fmt.Errorf("%w: %w", ErrUncertain, err))
			}
			return res, nil, withCode(CodeConflict, fmt.Errorf("%w: another change came first: %w", ErrNotAccepted, err))
		case err != nil && !errors.Is(err, dogwoodford.ErrNotFound):
			return res, nil, err
		case bytes.Equal(o.Value, text):
			res.Accepted, res.Version = true, o.Version
			return res, text, nil
		}
		res.Changes = dogcontract.Diff(present, f.Contract)
		if res.Attempts > 1 && generation(present) > res.Generation {
			return res, nil, withCode(CodeUncertain, fmt.Errorf(
				"%w: the platform now holds the later generation %d, which may have followed this one",
				ErrUncertain, generation(present)))
		}
		return res, nil, withCode(CodeConflict, fmt.Errorf(
			"%w: another change came first; the platform holds generation %d", ErrNotAccepted, generation(present)))
	}
}

func put(ctx context.Context, p dogwoodford.Platform, o dogwoodford.Object, text []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return p.Put(ctx, o.Name, o.Version, text)
}

// unanswered reports whether a call ended without an answer.
func unanswered(err error) bool {
	return errors.Is(err, dogwoodford.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled)
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
