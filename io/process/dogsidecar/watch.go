package dogsidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
)

const (
	// watchWait is the time after which a watch without a change returns. A
	// longer wait saves calls; a silent connection is noticed by its
	// keep-alive probes long before.
	watchWait = 20 * time.Second
	// listTimeout bounds a list, which answers in milliseconds.
	listTimeout = 1500 * time.Millisecond
	// watchRetry is the pause after a failed call. It doubles up to
	// watchRetryMost, so that an outage does not cost calls in proportion to
	// its length.
	watchRetry     = 100 * time.Millisecond
	watchRetryMost = 800 * time.Millisecond
)

// kindWatch follows the objects of one kind.
type kindWatch struct {
	kind  string
	store dogwoodford.Store
	log   *logger
	// listed takes all objects, changed one change.
	listed  func([]dogwoodford.Object)
	changed func(dogwoodford.Change)

	lost  bool         // The store did not answer the last call.
	after atomic.Int64 // Revision from which the watch goes on.
}

// Serve implements suture.Service.
func (w *kindWatch) Serve(ctx context.Context) error {
	pause := watchRetry
	for ctx.Err() == nil {
		err := w.follow(ctx, &pause)
		if ctx.Err() != nil {
			break
		}
		w.failed(err)
		if errors.Is(err, dogwoodford.ErrCompacted) {
			continue
		}
		sleep(ctx, pause)
		pause = min(2*pause, watchRetryMost)
	}
	return ctx.Err()
}

// String names the service in the supervisor's events.
func (w *kindWatch) String() string { return "watch " + w.kind }

// follow lists the objects and watches them until a call fails.
func (w *kindWatch) follow(ctx context.Context, pause *time.Duration) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := w.store.List(listCtx, w.kind)
	if err != nil {
		return err
	}
	w.answered(pause)
	w.after.Store(revision)
	w.listed(objects)
	for ctx.Err() == nil {
		changes, next, err := w.store.Watch(ctx, w.kind, w.after.Load(), watchWait)
		if err != nil {
			return err
		}
		w.answered(pause)
		for _, c := range changes {
			w.changed(c)
		}
		w.after.Store(next)
	}
	return nil
}

func (w *kindWatch) answered(pause *time.Duration) {
	*pause = watchRetry
	if w.lost {
		w.lost = false
		w.log.event(doglog.StoreBack, slog.String("kind", w.kind))
	}
}

func (w *kindWatch) failed(err error) {
	if !w.lost && err != nil && !errors.Is(err, dogwoodford.ErrCompacted) {
		w.lost = true
		w.log.event(doglog.StoreLost, slog.String("kind", w.kind), doglog.Err(err))
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
