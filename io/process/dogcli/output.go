package dogcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dogwoodford/core/version/dogini"
)

// print writes v as JSON, or what text writes.
func (a *app) print(v any, text func(io.Writer)) error {
	if !a.json {
		text(a.o.Stdout)
		return nil
	}
	enc := json.NewEncoder(a.o.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// errorReport is the form of an error with --json.
type errorReport struct {
	Error    string           `json:"error"`
	Code     int              `json:"code"`
	Problems []dogini.Problem `json:"problems,omitempty"`
}

// silentError is an error that was reported already.
type silentError struct{ error }

func (e *silentError) Unwrap() error { return e.error }

// after returns err for a command that has printed its result. With --json the
// result stays the only document on the output.
func (a *app) after(err error) error {
	if err != nil && a.json {
		return &silentError{err}
	}
	return err
}

func (a *app) reportError(err error, code int) {
	var silent *silentError
	if errors.As(err, &silent) {
		return
	}
	if !a.json {
		fmt.Fprintln(a.o.Stderr, "dogwoodford:", err)
		return
	}
	var problems dogini.Problems
	collectProblems(err, &problems)
	// A failed write has no other place to be reported.
	_ = a.print(errorReport{Error: err.Error(), Code: code, Problems: problems}, nil)
}

// collectProblems appends the problems of all errors below err.
func collectProblems(err error, out *dogini.Problems) {
	switch e := err.(type) {
	case nil:
	case dogini.Problems:
		*out = append(*out, e...)
	case interface{ Unwrap() []error }:
		for _, sub := range e.Unwrap() {
			collectProblems(sub, out)
		}
	default:
		collectProblems(errors.Unwrap(err), out)
	}
}

// fileError gives the error of reading a file its exit code.
func fileError(err error) error {
	var ps dogini.Problems
	if errors.As(err, &ps) {
		return withCode(CodeInvalid, err)
	}
	return withCode(CodeFailed, err)
}
