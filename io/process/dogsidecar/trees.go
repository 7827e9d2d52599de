package dogsidecar

import (
	"sync"
	"time"

	"dogwoodford/core/process/dogtree"
)

// trees is a dogtree.Recorder and a dogtree.Estimator guarded by a mutex. It implements
// dogrelay.Trees.
type trees struct {
	mu        sync.Mutex
	recorder  *dogtree.Recorder
	estimator *dogtree.Estimator
}

func newTrees() *trees {
	return &trees{recorder: dogtree.NewRecorder(), estimator: dogtree.NewEstimator(newRand())}
}

// RecordRun implements dogrelay.Trees.
func (t *trees) RecordRun(class string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorder.Record(time.Now(), class, failed)
}

// Runs implements dogrelay.Trees.
func (t *trees) Runs(class string) dogtree.Runs {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorder.Runs(time.Now(), class)
}

// AddRuns implements dogrelay.Trees.
func (t *trees) AddRuns(class, node string, r dogtree.Runs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimator.AddReport(time.Now(), class, node, r)
}

// MayStart implements dogrelay.Trees.
func (t *trees) MayStart(r dogtree.Request) (retryAfter time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimator.Admit(time.Now(), r)
}

// inspect returns what MayStart would decide.
func (t *trees) inspect(now time.Time, r dogtree.Request) dogtree.Inspection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimator.Inspect(now, r)
}
