package dogcli

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"dogwoodford"
)

// getObject reads an object; one that does not exist has version 0.
func getObject(ctx context.Context, p dogwoodford.Platform, name string) (dogwoodford.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	o, err := p.Get(ctx, name)
	switch {
	case errors.Is(err, dogwoodford.ErrNotFound):
		return dogwoodford.Object{Name: name}, nil
	case err != nil:
		return o, withCode(CodeUnavailable, fmt.Errorf("read %s: %w", name, err))
	}
	return o, nil
}

// update writes value in place of o until the write is answered, and returns
// the number of writes sent. As in apply, the repeated conditional update
// decides what became of a lost one.
func update(ctx context.Context, p dogwoodford.Platform, o dogwoodford.Object, value []byte) (int, error) {
	for n := 1; ; n++ {
		_, err := put(ctx, p, o, value)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, dogwoodford.ErrConflict):
			return n, afterConflict(ctx, p, o.Name, value, n > 1)
		case !unanswered(err):
			return n, fmt.Errorf("write %s: %w", o.Name, err)
		}
		if !pause(ctx, retryPause) {
			return n, withCode(CodeUncertain, fmt.Errorf("%w: the platform did not answer %d writes of %s: %w",
				errWriteUncertain, n, o.Name, err))
		}
	}
}

// afterConflict returns nil if the present value is that of a write whose
// answer was lost.
func afterConflict(ctx context.Context, p dogwoodford.Platform, name string, value []byte, lost bool) error {
	if !lost {
		return withCode(CodeConflict, fmt.Errorf("write %s: %w: another change came first", name, ErrNotAccepted))
	}
	o, err := getObject(ctx, p, name)
	if err == nil && bytes.Equal(o.Value, value) {
		return nil
	}
	// The lost write took effect and was followed, or another came before it.
	return withCode(CodeUncertain, errors.Join(
		fmt.Errorf("%w: an answer was lost, and %s holds another value now", errWriteUncertain, name), err))
}
