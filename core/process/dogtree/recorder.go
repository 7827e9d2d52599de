package dogtree

import "time"

const (
	// bucketTime is the length of a bucket of a Recorder.
	bucketTime = 200 * time.Millisecond
	// buckets is the number of buckets that are counted, including the newest.
	buckets = 5
)

// Runs counts requests that have ended at targets.
type Runs struct {
	Total  int
	Failed int // Those of which a child call failed, and which failed for it.
}

// Recorder counts the runs of the last second at one target, by class. It is not safe for
// concurrent use. The zero value is not usable; call NewRecorder.
type Recorder struct {
	classes map[string]*window
}

type window struct {
	start time.Time // Start of the newest bucket.
	runs  [buckets]Runs
}

// NewRecorder returns a Recorder without runs.
func NewRecorder() *Recorder { return &Recorder{classes: make(map[string]*window)} }

// Record records the end of a run. failed tells that it failed because a child call did.
func (r *Recorder) Record(now time.Time, class string, failed bool) {
	w := r.classes[class]
	if w == nil {
		w = &window{start: now}
		r.classes[class] = w
	}
	w.advance(now)
	w.runs[0].Total++
	if failed {
		w.runs[0].Failed++
	}
}

// Runs returns the runs of a class in the last second.
func (r *Recorder) Runs(now time.Time, class string) Runs {
	w := r.classes[class]
	if w == nil {
		return Runs{}
	}
	w.advance(now)
	var sum Runs
	for _, b := range w.runs {
		sum.Total += b.Total
		sum.Failed += b.Failed
	}
	return sum
}

func (w *window) advance(now time.Time) {
	steps := int(now.Sub(w.start) / bucketTime)
	if steps <= 0 {
		return
	}
	w.start = w.start.Add(time.Duration(steps) * bucketTime)
	steps = min(steps, buckets)
	copy(w.runs[steps:], w.runs[:buckets-steps])
	clear(w.runs[:steps])
}
