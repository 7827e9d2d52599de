package dogsidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

const (
	// configWait is the time after which a watch of the configuration without
	// a change returns, at a node that hears little of others. A watch that
	// lost its changes in the store never answers, and a configuration must be
	// in force within two seconds.
	configWait = 1500 * time.Millisecond
	// entriesWait is the same for the entries of nodes. A longer wait saves
	// calls; the answers of the other watch show that changes were missed.
	entriesWait = 20 * time.Second
	// configPause is the time from a change of the configuration to the next
	// watch, in which further changes gather.
	configPause = 200 * time.Millisecond
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
	wait  func() time.Duration // How long the next watch waits for a change.
	pause func() time.Duration // From a change to the next watch.
	store dogwoodford.Store
	log   *logger
	// listed takes all objects, changed one change.
	listed  func([]dogwoodford.Object)
	changed func(dogwoodford.Change)
	// seen, if set, takes the revision of the store after an answer that shows
	// changes of other kinds.
	seen func(revision int64)

	mu      sync.Mutex
	restart context.CancelFunc // Ends the present watch; nil outside of one.
	lost    bool               // The store did not answer the last call.
	after   atomic.Int64       // Revision from which the watch goes on.

	checked int64 // Last revision for which the watch was ended.
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
		dogserve.Pause(ctx, pause)
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
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w.setRestart(stop)
	defer w.setRestart(nil)
	for ctx.Err() == nil {
		changes, next, err := w.store.Watch(ctx, w.kind, w.after.Load(), w.wait())
		if err != nil && ctx.Err() != nil {
			return nil // Ended by check.
		}
		if err != nil {
			return err
		}
		w.answered(pause)
		for _, c := range changes {
			w.changed(c)
		}
		before := w.after.Swap(next)
		if len(changes) == 0 && next > before && w.seen != nil {
			w.seen(next)
		}
		if len(changes) > 0 {
			dogserve.Pause(ctx, w.pause())
		}
	}
	return nil
}

func (w *kindWatch) setRestart(stop context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart = stop
}

// check ends the present watch if the store has changed since its last answer
// and still no change has come, so that the objects are listed again.
func (w *kindWatch) check(revision int64) {
	if revision <= w.after.Load() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.restart != nil && w.checked < revision {
		w.checked = revision
		w.restart()
	}
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
