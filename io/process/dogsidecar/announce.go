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
	// writeTimeout bounds a write to the store, which usually takes
	// milliseconds.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryPause is the pause after a failed write, in which the watch
	// updates the version of the entry.
	writeRetryPause = 200 * time.Millisecond
	// targetCheckInterval is the interval at which the target is checked for
	// missed heartbeats.
	targetCheckInterval = time.Second
	// failureAnnounceDelay is the time for which a target must have failed
	// before this is written to the entry. Other nodes learn of shorter
	// failures from refusals, without writes.
	failureAnnounceDelay = 3 * time.Second
	// entrySendTime bounds the time for which the acknowledgement of a departure waits for
	// other nodes to take the entry that has it.
	entrySendTime = 150 * time.Millisecond
)

// announcer keeps the node's own entry in the store up to date.
type announcer struct {
	state *state
	store dogwoodford.Store
	log   *logger
	// sendEntry sends the entry to the other nodes, at most for entrySendTime.
	sendEntry func(ctx context.Context, v versionedEntry)

	failedSince time.Time
}

// Serve implements suture.Service.
func (a *announcer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		a.state.refresh()
		if err := a.write(ctx); err != nil && ctx.Err() == nil {
			a.log.event(doglog.PlatformConflict, slog.String("name", a.state.settings.Node), doglog.Err(err))
			dogserve.Sleep(ctx, writeRetryPause)
			continue
		}
		a.wait(ctx)
	}
	return ctx.Err()
}

// String names the service in the supervisor's events.
func (a *announcer) String() string { return "announcer" }

func (a *announcer) wait(ctx context.Context) {
	t := time.NewTimer(targetCheckInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.state.entryChanged:
	case <-t.C:
	}
}

// write writes the entry if it differs from the stored one. An entry that an
// earlier process of this node wrote stays until the state of the target is
// known, because it is most probably still correct.
func (a *announcer) write(ctx context.Context) error {
	want := a.state.entry()
	if !a.state.isListed() || want.State == dogwoodford.StateStarting || a.failedBriefly(want.State) {
		return nil
	}
	have, before := a.state.storedEntry()
	if !before.IsZero() && have.Equal(want) {
		return nil
	}
	value, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	next, err := a.store.Put(ctx, targetKind, want.Node, before, value)
	if err != nil {
		return fmt.Errorf("write entry at revision %s: %w", before, err)
	}
	a.log.event(doglog.EntryWritten, slog.String("state", want.State.String()), slog.Any("revision", next),
		slog.Any("before", before))
	written := newVersionedEntry(want, next)
	if want.Departed != have.Departed {
		// The store may be away when this node starts again, and the others must know
		// the departure by then: it is acknowledged as soon as the entry is recorded.
		a.sendEntry(ctx, written)
	}
	a.state.put(want, next)
	a.state.entryWritten(written)
	return nil
}

func (a *announcer) failedBriefly(s dogwoodford.State) bool {
	if s != dogwoodford.StateFailed {
		a.failedSince = time.Time{}
		return false
	}
	if a.failedSince.IsZero() {
		a.failedSince = time.Now()
	}
	return time.Since(a.failedSince) < failureAnnounceDelay
}

// withdraw removes the entry of a node whose target has left for good;
// otherwise it writes to the entry that the node is draining.
func (a *announcer) withdraw(ctx context.Context) error {
	want := a.state.entry()
	_, revision := a.state.storedEntry()
	if revision.IsZero() {
		return nil
	}
	if want.State != dogwoodford.StateLeft {
		return a.write(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := a.store.Delete(ctx, targetKind, want.Node, revision)
	if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
		return fmt.Errorf("remove entry at revision %s: %w", revision, err)
	}
	return nil
}
