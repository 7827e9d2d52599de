package dogsidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

const (
	// configWait is the time after which a watch call for the configuration
	// returns without a change, at a node that receives few messages from
	// others. A watch whose changes the store has lost never returns by itself,
	// and a configuration must be in force within two seconds.
	configWait = 1500 * time.Millisecond
	// entriesWait is the same for the entries of nodes. A longer wait saves
	// calls; the revisions that the watch of the configuration returns show
	// whether changes were missed.
	entriesWait = 20 * time.Second
	// configPause is the time from a change of the configuration to the next
	// watch call. It batches further changes.
	configPause = 200 * time.Millisecond
	// listTimeout bounds a list call, which usually takes milliseconds.
	listTimeout = 1500 * time.Millisecond
	// minRetryPause is the pause after a failed call. It doubles with each
	// failure up to maxRetryPause, to limit the number of calls in a long
	// outage.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// kindWatcher watches the objects of one kind in the store. Apart from
// restartIfBehind, it is not safe for concurrent use.
type kindWatcher struct {
	kind  string
	wait  func() time.Duration // Returns how long the next watch call waits for a change.
	pause func() time.Duration // Returns the time from a change to the next watch call.
	store dogwoodford.Store
	log   *logger
	// listed is called with all objects after a list, changed with each change.
	listed  func([]dogwoodford.StoreObject)
	changed func(dogwoodford.Change)
	// onRevision, if set, is called with the new revision of the store after a
	// watch call that returned no changes of this kind.
	onRevision func(revision dogwoodford.Revision)
	// asked, if set, is called before each call, and answered after the objects or changes
	// of an answer were passed on.
	asked, answered func()
	// rest, if set, sleeps from a watch call without changes to the next.
	rest func(ctx context.Context)

	storeLost bool // The last call failed; used by Serve only.

	mu          sync.Mutex
	cancelWatch context.CancelFunc   // Cancels the watch; nil while there is none.
	received    dogwoodford.Revision // Revision up to which changes were received.
	lastChecked dogwoodford.Revision // Last revision for which restartIfBehind cancelled the watch.
}

// Serve implements suture.Service.
func (w *kindWatcher) Serve(ctx context.Context) error {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := w.listAndWatch(ctx, &pause)
		if ctx.Err() != nil {
			break
		}
		w.recordFailure(err)
		dogserve.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return ctx.Err()
}

// String names the service in the supervisor's events.
func (w *kindWatcher) String() string { return "watch " + w.kind }

// listAndWatch lists the objects and watches them until a call fails or
// restartIfBehind cancels the watch, in which case the error is nil. It resets
// pause after each successful call.
func (w *kindWatcher) listAndWatch(ctx context.Context, pause *time.Duration) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	call(w.asked)
	objects, revision, err := w.store.List(listCtx, w.kind)
	if err != nil {
		return err
	}
	w.recordSuccess(pause)
	if before := w.setReceived(revision); !before.IsZero() && before.Era() < revision.Era() {
		w.log.event(doglog.StoreRestored, slog.String("kind", w.kind), slog.Any("before", before), slog.Any("revision", revision))
	}
	w.listed(objects)
	call(w.answered)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w.setCancelWatch(stop)
	defer w.setCancelWatch(nil)
	for ctx.Err() == nil {
		wait := w.wait()
		call(w.asked)
		changes, next, err := w.store.Watch(ctx, w.kind, revision, wait)
		if err != nil && ctx.Err() != nil {
			return nil // Cancelled by restartIfBehind.
		}
		if err != nil {
			return err
		}
		w.recordSuccess(pause)
		for _, c := range changes {
			w.changed(c)
		}
		call(w.answered)
		w.setReceived(next)
		if len(changes) == 0 && next.Compare(revision) > 0 && w.onRevision != nil {
			w.onRevision(next)
		}
		revision = next
		if len(changes) > 0 {
			dogserve.Sleep(ctx, w.pause())
		} else if w.rest != nil {
			w.rest(ctx)
		}
	}
	return nil
}

// call calls f unless it is nil.
func call(f func()) {
	if f != nil {
		f()
	}
}

func (w *kindWatcher) setCancelWatch(stop context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = stop
}

// setReceived sets the revision up to which changes were received, and returns the one
// before.
func (w *kindWatcher) setReceived(r dogwoodford.Revision) (before dogwoodford.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, w.received = w.received, r
	return before
}

// restartIfBehind cancels the watch if the store has reached a revision that
// the watch has not received, so that the objects are listed again. It does so
// at most once for a revision.
func (w *kindWatcher) restartIfBehind(revision dogwoodford.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision.Compare(w.received) <= 0 {
		return
	}
	if w.cancelWatch != nil && w.lastChecked.Compare(revision) < 0 {
		w.lastChecked = revision
		w.cancelWatch()
	}
}

func (w *kindWatcher) recordSuccess(pause *time.Duration) {
	*pause = minRetryPause
	if w.storeLost {
		w.storeLost = false
		w.log.event(doglog.StoreBack, slog.String("kind", w.kind))
	}
}

func (w *kindWatcher) recordFailure(err error) {
	if !w.storeLost && err != nil && !errors.Is(err, dogwoodford.ErrCompacted) {
		w.storeLost = true
		w.log.event(doglog.StoreLost, slog.String("kind", w.kind), doglog.Err(err))
	}
}
