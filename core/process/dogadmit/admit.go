package dogadmit

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Options are the settings of an Admission. Zero fields take the defaults.
type Options struct {
	Slots       int           // Requests that the target says it can run at once; required.
	MinLimit    int           // Lowest limit; default 2.
	TargetDelay time.Duration // Wait that the queue may cause persistently; default 20 ms.
	MaxDelay    time.Duration // Wait that the full queue may cause; default 100 ms.
	Rand        *rand.Rand    // Source of the jitter of Retry-After; required.
	// KeepCalls lets requests that a target makes for another one wait as long
	// as their deadline permits, whatever the cutoff and the length of the
	// queue. Work has been done for them already, so demand is cut where their
	// roots enter, by the cutoff that answers report.
	KeepCalls bool
}

// Admission implements dogwoodford.Admission for one target.
type Admission struct {
	opts    Options
	limiter limiter
	queue   queue
	cutoff  cutoff
	running map[string]struct{}
}

var _ dogwoodford.Admission = (*Admission)(nil)

// New returns the admission of a target. It panics if Slots is below 1 or Rand
// is nil.
func New(o Options) *Admission {
	if o.Slots < 1 || o.Rand == nil {
		panic("dogadmit: Options need Slots and Rand")
	}
	if o.MinLimit == 0 {
		o.MinLimit = 2
	}
	if o.TargetDelay == 0 {
		o.TargetDelay = 20 * time.Millisecond
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = 100 * time.Millisecond
	}
	return &Admission{
		opts:    o,
		limiter: newLimiter(o.Slots, o.MinLimit),
		running: make(map[string]struct{}),
		cutoff:  cutoff{drain: o.KeepCalls},
	}
}

// Offer decides on a new request; see dogwoodford.Admission. A request whose ID
// runs or waits already is refused as a duplicate.
func (a *Admission) Offer(now time.Time, r dogwoodford.Request) (dogwoodford.Verdict, []dogwoodford.Dequeued) {
	a.advance(now)
	if _, ok := a.running[r.ID()]; ok || a.queue.has(r.ID()) {
		return dogwoodford.RefuseVerdict(dogwoodford.ReasonDuplicate, 0), nil
	}
	if r.Expired(now) {
		return dogwoodford.RefuseVerdict(dogwoodford.ReasonDeadline, 0), nil
	}
	// A request that another target refused counts there; counted here again,
	// it would raise the cutoff above what the demand calls for.
	if r.Attempt() <= 1 {
		a.cutoff.arrived(r.Priority())
	}
	kept := a.opts.KeepCalls && r.Hop() > 0
	if r.Priority() < a.cutoff.value && !kept {
		return a.refuse(dogwoodford.ReasonOverload), nil
	}
	free := len(a.running) < a.limiter.limit()
	if free && a.queue.len() == 0 {
		if a.late(now, r, 0) {
			return a.refuse(dogwoodford.ReasonDeadline), nil
		}
		a.start(r.ID())
		return dogwoodford.RunVerdict(), nil
	}
	ahead := a.queue.ahead(r.Priority())
	if a.late(now, r, a.waitOf(ahead+1)) {
		return a.refuse(dogwoodford.ReasonDeadline), nil
	}
	most := a.queueMost()
	if ahead >= most && !kept {
		return a.refuse(dogwoodford.ReasonQueueFull), nil
	}
	a.queue.push(now, r)
	var out []dogwoodford.Dequeued
	for a.queue.len() > most {
		last, ok := a.displaced()
		if !ok {
			break
		}
		out = append(out, dogwoodford.Dequeued{ID: last.r.ID(), Verdict: a.refuse(dogwoodford.ReasonQueueFull)})
	}
	return dogwoodford.WaitVerdict(), out
}

// displaced takes the last request that may be refused for the length of the
// queue out of it; false if there is none.
func (a *Admission) displaced() (entry, bool) {
	for i := a.queue.len() - 1; i >= 0; i-- {
		if !a.opts.KeepCalls || a.queue.entries[i].r.Hop() == 0 {
			return a.queue.take(i), true
		}
	}
	return entry{}, false
}

// Done records the end of a request that ran; see dogwoodford.Admission. An ID
// that does not run is ignored.
func (a *Admission) Done(now time.Time, id string, s dogwoodford.Sample) []dogwoodford.Dequeued {
	if _, ok := a.running[id]; !ok {
		return nil
	}
	full := len(a.running) >= a.limiter.limit()
	delete(a.running, id)
	a.limiter.observe(now, s, full)
	a.advance(now)
	return a.fill(now)
}

// Cancel removes a queued request whose caller went away. It reports whether
// the request was queued.
func (a *Admission) Cancel(now time.Time, id string) bool {
	a.advance(now)
	return a.queue.remove(id)
}

// Expire refuses queued requests that can no longer be served in time, and
// starts others if the limit has risen.
func (a *Admission) Expire(now time.Time) []dogwoodford.Dequeued {
	a.advance(now)
	var out []dogwoodford.Dequeued
	for _, e := range a.queue.removeIf(func(e entry) bool { return a.late(now, e.r, 0) }) {
		out = append(out, dogwoodford.Dequeued{ID: e.r.ID(), Verdict: a.refuse(dogwoodford.ReasonDeadline)})
	}
	return append(out, a.fill(now)...)
}

// SetSlots tells how many requests the target says that it can run at once.
// Values below 1 are ignored.
func (a *Admission) SetSlots(n int) {
	if n >= 1 {
		a.limiter.setSlots(n)
	}
}

// Load returns the present load.
func (a *Admission) Load(now time.Time) dogwoodford.Load {
	a.advance(now)
	return dogwoodford.Load{
		InFlight: len(a.running),
		Queued:   a.queue.len(),
		Limit:    a.limiter.limit(),
		Cutoff:   a.cutoff.value,
	}
}

func (a *Admission) start(id string) {
	a.running[id] = struct{}{}
	a.cutoff.started()
}

// fill starts queued requests while the limit permits it.
func (a *Admission) fill(now time.Time) []dogwoodford.Dequeued {
	var out []dogwoodford.Dequeued
	for len(a.running) < a.limiter.limit() && a.queue.len() > 0 {
		e := a.queue.popFirst()
		if a.late(now, e.r, 0) {
			out = append(out, dogwoodford.Dequeued{ID: e.r.ID(), Verdict: a.refuse(dogwoodford.ReasonDeadline)})
			continue
		}
		a.start(e.r.ID())
		out = append(out, dogwoodford.Dequeued{ID: e.r.ID(), Verdict: dogwoodford.RunVerdict()})
	}
	a.cutoff.sawQueue(a.queue.len())
	return out
}

// late reports whether r would not be answered before its deadline if it
// started after wait. A target that runs few requests takes any that has not
// expired, so that it can learn that it became faster.
func (a *Admission) late(now time.Time, r dogwoodford.Request, wait time.Duration) bool {
	if len(a.running) < a.opts.MinLimit && wait == 0 {
		return r.Expired(now)
	}
	// Half of the mean service time: a smaller share of the requests than that
	// is answered faster.
	return r.Expired(now.Add(wait + a.limiter.self/2))
}

// waitOf returns the time in which n places become free.
func (a *Admission) waitOf(n int) time.Duration {
	return time.Duration(n) * a.limiter.interval()
}

// queueMost returns how many requests may wait.
func (a *Admission) queueMost() int {
	// Below four places, bursts at targets with few slots are refused while
	// the target is not busy.
	const least = 4
	iv := a.limiter.interval()
	if iv <= 0 {
		return max(least, a.limiter.limit())
	}
	return max(least, int(a.opts.MaxDelay/iv))
}

// refuse returns a refusal with a hint that spreads the callers over a second.
func (a *Admission) refuse(reason dogwoodford.Reason) dogwoodford.Verdict {
	base := time.Second
	if reason != dogwoodford.ReasonOverload {
		base = max(a.opts.MaxDelay, a.waitOf(a.queue.len()))
	}
	return dogwoodford.RefuseVerdict(reason, base+time.Duration(a.opts.Rand.Int64N(int64(time.Second))))
}

// advance applies what follows from the passage of time.
func (a *Admission) advance(now time.Time) {
	a.limiter.advance(now)
	// Two places are the least wait that is not noise at targets with few slots.
	delay := max(a.opts.TargetDelay, a.waitOf(2))
	allowed := 0
	if iv := a.limiter.interval(); iv > 0 {
		allowed = int(delay / iv)
	}
	a.cutoff.advance(now, a.queue.len(), allowed)
}
