package dogcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dogwoodford/core/version/dogini"
)

// print writes v as JSON if --json is given, and calls text with the standard
// output otherwise.
func (a *app) print(v any, text func(io.Writer)) error {
	if !a.json {
		text(a.options.Stdout)
		return nil
	}
	enc := json.NewEncoder(a.options.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// errorReport is the JSON document that reports an error with --json.
type errorReport struct {
	Error    string           `json:"error"`
	Code     int              `json:"code"`
	Problems []dogini.Problem `json:"problems,omitempty"`
}

// reportedError is an error that Main does not report again.
type reportedError struct{ error }

func (e *reportedError) Unwrap() error { return e.error }

// errorAfterResult returns err for a command that has printed its result. With
// --json it marks err as reported, so that the result is the only document on the
// standard output.
func (a *app) errorAfterResult(err error) error {
	if err != nil && a.json {
		return &reportedError{err}
	}
	return err
}

func (a *app) reportError(err error, code int) {
	var reported *reportedError
	if errors.As(err, &reported) {
		return
	}
	if !a.json {
		fmt.Fprintln(a.options.Stderr, "dogwoodford:", err)
		return
	}
	var problems dogini.Problems
	collectProblems(err, &problems)
	// There is nowhere else to report a failed write.
	_ = a.print(errorReport{Error: err.Error(), Code: code, Problems: problems}, nil)
}

// collectProblems appends the problems in the error tree of err to out.
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

// fileError returns err, from reading a file, with CodeInvalid if it holds
// problems of the content and with CodeFailed otherwise.
func fileError(err error) error {
	var ps dogini.Problems
	if errors.As(err, &ps) {
		return withCode(CodeInvalid, err)
	}
	return withCode(CodeFailed, err)
}
