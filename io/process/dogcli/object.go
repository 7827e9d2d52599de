package dogcli

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"dogwoodford"
)

// getObject reads an object within attemptTimeout. An object that does not exist
// is returned with version 0 and no error.
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

// updateObject replaces the value of o, repeating the write until it is answered or
// ctx ends, and returns the number of writes sent. As in writeContract, the
// repeated conditional write settles whether an unanswered one took effect.
func updateObject(ctx context.Context, p dogwoodford.Platform, o dogwoodford.Object, value []byte) (int, error) {
	for n := 1; ; n++ {
		_, err := putObject(ctx, p, o, value)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, dogwoodford.ErrConflict):
			return n, resolveUpdateConflict(ctx, p, o.Name, value, n > 1)
		case !unanswered(err):
			return n, fmt.Errorf("write %s: %w", o.Name, err)
		}
		if !sleep(ctx, retryInterval) {
			return n, withCode(CodeUncertain, fmt.Errorf("%w: the platform did not answer %d writes of %s: %w",
				errWriteUncertain, n, o.Name, err))
		}
	}
}

// resolveUpdateConflict returns nil if the conflict was caused by an earlier,
// unanswered write of the same command: the object then holds value.
func resolveUpdateConflict(ctx context.Context, p dogwoodford.Platform, name string, value []byte, earlierUnanswered bool) error {
	if !earlierUnanswered {
		return withCode(CodeConflict, fmt.Errorf("write %s: %w: another change came first", name, ErrNotAccepted))
	}
	o, err := getObject(ctx, p, name)
	if err == nil && bytes.Equal(o.Value, value) {
		return nil
	}
	// Either the unanswered write took effect and was overwritten since, or another
	// write came before it.
	return withCode(CodeUncertain, errors.Join(
		fmt.Errorf("%w: a write was not answered, and %s now holds another value", errWriteUncertain, name), err))
}
