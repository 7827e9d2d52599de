package dogsidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

const (
	// writeTimeout bounds a write, which takes milliseconds.
	writeTimeout = 1500 * time.Millisecond
	// writePause is the pause after a failed write, in which the watch brings
	// what the store holds.
	writePause = 200 * time.Millisecond
	// checkEvery is the interval at which the target's silence is looked for.
	checkEvery = time.Second
	// failedFor is the time for which a target is gone before the entry says
	// so. Other nodes learn of shorter failures from refusals, without writes.
	failedFor = 3 * time.Second
)

// announcer keeps the own entry in the store as the node's state is.
type announcer struct {
	state *state
	store dogwoodford.Store
	log   *logger

	failedSince time.Time
}

// Serve implements suture.Service.
func (a *announcer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		a.state.refresh()
		if err := a.write(ctx); err != nil && ctx.Err() == nil {
			a.log.event(doglog.PlatformConflict, slog.String("name", a.state.settings.Node), doglog.Err(err))
			dogserve.Pause(ctx, writePause)
			continue
		}
		a.wait(ctx)
	}
	return ctx.Err()
}

// String names the service in the supervisor's events.
func (a *announcer) String() string { return "announcer" }

func (a *announcer) wait(ctx context.Context) {
	t := time.NewTimer(checkEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.state.changed:
	case <-t.C:
	}
}

// write brings the entry up to date if it differs. An entry of a predecessor
// stays until the target is known, as it is most probably right.
func (a *announcer) write(ctx context.Context) error {
	want := a.state.entry()
	if !a.state.isListed() || want.State == dogwoodford.Starting || a.failedBriefly(want.State) {
		return nil
	}
	have, version := a.state.own()
	if version > 0 && have.Equal(want) {
		return nil
	}
	value, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	next, err := a.store.Put(ctx, targetKind, want.Node, version, value)
	if err != nil {
		return fmt.Errorf("write entry at revision %d: %w", version, err)
	}
	a.log.event(doglog.EntryWritten, slog.String("state", want.State.String()), slog.Int64("revision", next),
		slog.Int64("before", version))
	a.state.put(want, next)
	return nil
}

func (a *announcer) failedBriefly(s dogwoodford.State) bool {
	if s != dogwoodford.Failed {
		a.failedSince = time.Time{}
		return false
	}
	if a.failedSince.IsZero() {
		a.failedSince = time.Now()
	}
	return time.Since(a.failedSince) < failedFor
}

// leave removes the entry of a node whose target has left for good, or says
// that the node is stopping.
func (a *announcer) leave(ctx context.Context) error {
	want := a.state.entry()
	_, version := a.state.own()
	if version == 0 {
		return nil
	}
	if want.State != dogwoodford.Left {
		return a.write(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := a.store.Delete(ctx, targetKind, want.Node, version)
	if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
		return fmt.Errorf("remove entry at revision %d: %w", version, err)
	}
	return nil
}
