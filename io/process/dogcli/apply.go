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

// ErrNotAccepted means that a command changed nothing, because the platform holds
// another version than the change is based on, or because the owner of the key
// range to be released is alive.
var ErrNotAccepted = eris.New("not accepted")

// ErrUncertain means that contract apply may or may not have taken effect.
var ErrUncertain = eris.New("it is not known whether the contract was accepted")

const (
	// retryInterval is the time between two attempts of an unanswered call.
	retryInterval = 500 * time.Millisecond
	// attemptTimeout limits one attempt, so that a call that hangs leaves time
	// for further attempts.
	attemptTimeout = 5 * time.Second
)

// applyResult is the result of contract apply.
type applyResult struct {
	Customer   string               `json:"customer"`
	Accepted   bool                 `json:"accepted"`
	Generation int64                `json:"generation"` // Generation written, or that would be with --dry-run.
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
	res, text, err := applyContract(ctx, p, f, cmd.Bool("dry-run"))
	if err != nil {
		return a.reportApplyError(res, err)
	}
	if res.Accepted && !cmd.Bool("keep-file") && !bytes.Equal(text, f.Text) {
		if err := os.WriteFile(f.Path, text, 0o644); err != nil {
			fmt.Fprintf(a.options.Stderr, "dogwoodford: contract accepted, but writing its generation to the file failed: %v\n", err)
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

// reportApplyError returns err and, on a conflict, prints the difference between
// the platform's contract and the file.
func (a *app) reportApplyError(res applyResult, err error) error {
	var coded *codedError
	if !errors.As(err, &coded) || coded.code != CodeConflict {
		return err
	}
	if !a.json {
		fmt.Fprintln(a.options.Stdout, "from the platform's contract to the file:")
		writeChanges(a.options.Stdout, res.Changes)
		return err
	}
	res.Error, res.Code = err.Error(), coded.code
	// The result replaces the error report.
	if err := a.print(res, nil); err != nil {
		return err
	}
	return &reportedError{err}
}

// applyContract writes the contract of f to the platform with the next generation,
// and returns the text written. With dryRun it returns the text without writing it.
func applyContract(ctx context.Context, p dogwoodford.Platform, f dogfile.File, dryRun bool) (applyResult, []byte, error) {
	res := applyResult{Customer: f.Contract.Customer(), DryRun: dryRun}
	o, current, err := fetchContract(ctx, p, res.Customer)
	if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
		return res, nil, err
	}
	res.Changes = dogcontract.Diff(current, f.Contract)
	next := f.Contract.Generation()
	if current != nil {
		if err := checkBaseGeneration(current.Generation(), next); err != nil {
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
	return writeContract(ctx, p, o, f, text, res)
}

// checkBaseGeneration returns an error if base, the generation in the file, is not
// current, the generation in the platform.
func checkBaseGeneration(current, base int64) error {
	switch {
	case base < current:
		return withCode(CodeConflict, fmt.Errorf(
			"%w: the file is based on generation %d, but the platform holds %d; pull the contract and repeat the change",
			ErrNotAccepted, base, current))
	case base > current:
		return withCode(CodeConflict, fmt.Errorf(
			"%w: the file is based on generation %d, but the platform holds the lower %d, as after a restore; "+
				"wait until a node has written back the generation in force", ErrNotAccepted, base, current))
	}
	return nil
}

// writeContract repeats the conditional write of text until it is answered or
// ctx ends. Repeating it is safe and settles whether an unanswered write took
// effect: if it did, the repeated write conflicts with the new version; if it did
// not, the repeated write takes effect, and the unanswered one can no longer do so.
func writeContract(ctx context.Context, p dogwoodford.Platform, o dogwoodford.Object, f dogfile.File, text []byte, res applyResult) (applyResult, []byte, error) {
	for {
		res.Attempts++
		version, err := putObject(ctx, p, o, text)
		switch {
		case err == nil:
			res.Accepted, res.Version = true, version
			return res, text, nil
		case errors.Is(err, dogwoodford.ErrConflict):
			return resolveApplyConflict(ctx, p, f, text, res)
		case !unanswered(err):
			return res, nil, fmt.Errorf("apply contract: %w", err)
		}
		if !sleep(ctx, retryInterval) {
			return res, nil, withCode(CodeUncertain, fmt.Errorf(
				"%w: the platform did not answer %d writes; run the command again: %w", ErrUncertain, res.Attempts, err))
		}
	}
}

// resolveApplyConflict reads the contract after a conflict to determine whether an
// earlier, unanswered write of this command took effect. It repeats the read until
// it is answered or ctx ends.
func resolveApplyConflict(ctx context.Context, p dogwoodford.Platform, f dogfile.File, text []byte, res applyResult) (applyResult, []byte, error) {
	for {
		o, current, err := fetchContract(ctx, p, res.Customer)
		switch {
		case unanswered(err):
			if sleep(ctx, retryInterval) {
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
		res.Changes = dogcontract.Diff(current, f.Contract)
		if res.Attempts > 1 && generationOf(current) > res.Generation {
			return res, nil, withCode(CodeUncertain, fmt.Errorf(
				"%w: the platform now holds the later generation %d, which may have followed this one",
				ErrUncertain, generationOf(current)))
		}
		return res, nil, withCode(CodeConflict, fmt.Errorf(
			"%w: another change came first; the platform holds generation %d", ErrNotAccepted, generationOf(current)))
	}
}

// putObject replaces the value of o within attemptTimeout and returns the new
// version.
func putObject(ctx context.Context, p dogwoodford.Platform, o dogwoodford.Object, text []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return p.Put(ctx, o.Name, o.Version, text)
}

// unanswered reports whether err means that a call to the platform was not
// answered.
func unanswered(err error) bool {
	return errors.Is(err, dogwoodford.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled)
}

// sleep waits for d and returns true, or false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
