package dogadmit

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogramp"
)

// Options configure an Admission. Zero fields take the defaults.
type Options struct {
	Slots       int           // Concurrent requests that the target announces; required.
	MinLimit    int           // Lower bound of the concurrency limit; default 2.
	TargetDelay time.Duration // Persistent queueing delay that is accepted; default 20 ms.
	MaxDelay    time.Duration // Queueing delay of a full queue; default 100 ms.
	Rand        *rand.Rand    // Source of the jitter of Retry-After; required.
	// ExemptChildCalls exempts child calls, which a target makes for another
	// request, from the cutoff and from the bound of the queue: they wait as
	// long as their deadline permits. Work has already been done for them, so
	// demand is reduced where their root requests enter, by the cutoff that
	// answers report.
	ExemptChildCalls bool
	// Ramp begins a ramp of the limit at each Restart. Without it, Restart has no
	// effect.
	Ramp bool
}

// Admission implements dogwoodford.Admission for one target.
type Admission struct {
	opts    Options
	limiter limiter
	ramp    dogramp.Ramp
	alone   bool // The ramp is that of a whole service.
	service serviceTime
	rate    rate // As the target asks.
	queue   queue
	cutoff  cutoff
	running map[string]struct{}
}

var _ dogwoodford.Admission = (*Admission)(nil)

// New returns an Admission for one target. It panics if Slots is below 1 or
// Rand is nil.
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
		cutoff:  cutoff{drainBacklog: o.ExemptChildCalls},
	}
}

// Offer decides on a new request; see dogwoodford.Admission. A request whose ID
// is already running or queued is refused as a duplicate.
func (a *Admission) Offer(now time.Time, r dogwoodford.Request) (dogwoodford.Verdict, []dogwoodford.Dequeued) {
	a.advance(now)
	if _, ok := a.running[r.ID()]; ok || a.queue.has(r.ID()) {
		return dogwoodford.RefuseVerdict(dogwoodford.ReasonDuplicate, 0), nil
	}
	if r.Expired(now) {
		return dogwoodford.RefuseVerdict(dogwoodford.ReasonDeadline, 0), nil
	}
	// Later attempts were counted at the target that refused the first one.
	// Counting them again would raise the cutoff above what the demand
	// requires.
	if r.Attempt() <= 1 {
		a.cutoff.arrived(r.Priority())
	}
	exempt := a.opts.ExemptChildCalls && r.Hop() > 0
	if r.Priority() < a.cutoff.value && !exempt {
		return a.refuse(dogwoodford.ReasonOverload), nil
	}
	free := len(a.running) < a.limit() && a.rate.allows(now)
	if free && a.queue.len() == 0 {
		if a.missesDeadline(now, r, 0) {
			return a.refuse(dogwoodford.ReasonDeadline), nil
		}
		a.start(r.ID())
		return dogwoodford.RunVerdict(), nil
	}
	ahead := a.queue.ahead(r.Priority())
	if a.missesDeadline(now, r, a.waitForPlaces(ahead+1)) {
		return a.refuse(dogwoodford.ReasonDeadline), nil
	}
	maxLen := a.maxQueueLen()
	// A first attempt that does not fit may find a place at another target, unless
	// all have started. A later one has found none.
	room := maxLen
	if a.alone || r.Attempt() > 1 {
		room += a.withheld()
	}
	if ahead >= room && !exempt {
		return a.refuse(dogwoodford.ReasonQueueFull), nil
	}
	a.queue.push(now, r)
	var out []dogwoodford.Dequeued
	for a.queue.len() > maxLen+a.withheld() {
		last, ok := a.displaceLast()
		if !ok {
			break
		}
		out = append(out, dogwoodford.Dequeued{ID: last.r.ID(), Verdict: a.refuse(dogwoodford.ReasonQueueFull)})
	}
	return dogwoodford.WaitVerdict(), out
}

// displaceLast removes and returns the last queued request that may be refused
// because the queue is full; false if there is none.
func (a *Admission) displaceLast() (entry, bool) {
	for i := a.queue.len() - 1; i >= 0; i-- {
		if !a.opts.ExemptChildCalls || a.queue.entries[i].r.Hop() == 0 {
			return a.queue.take(i), true
		}
	}
	return entry{}, false
}

// Done records the end of a running request; see dogwoodford.Admission. An ID
// that is not running is ignored.
func (a *Admission) Done(now time.Time, id string, s dogwoodford.Sample) []dogwoodford.Dequeued {
	if _, ok := a.running[id]; !ok {
		return nil
	}
	atLimit := len(a.running) >= a.limit()
	delete(a.running, id)
	a.observe(now, s, atLimit)
	a.advance(now)
	return a.fill(now)
}

// Cancel removes a queued request whose caller has disconnected. It reports
// whether the request was queued.
func (a *Admission) Cancel(now time.Time, id string) bool {
	a.advance(now)
	return a.queue.remove(id)
}

// Expire refuses queued requests that can no longer be answered before their
// deadlines, and starts others if the limit has risen.
func (a *Admission) Expire(now time.Time) []dogwoodford.Dequeued {
	a.advance(now)
	var out []dogwoodford.Dequeued
	for _, e := range a.queue.removeIf(func(e entry) bool { return a.missesDeadline(now, e.r, 0) }) {
		out = append(out, dogwoodford.Dequeued{ID: e.r.ID(), Verdict: a.refuse(dogwoodford.ReasonDeadline)})
	}
	return append(out, a.fill(now)...)
}

// SetSlots sets the number of concurrent requests that the target announces.
// Values below 1 are ignored.
func (a *Admission) SetSlots(n int) {
	if n >= 1 {
		a.limiter.setSlots(n)
	}
}

// Restart begins a ramp of the limit, if Options.Ramp is set; see
// dogwoodford.Admission. What was measured of another target, or of this one
// before its restart, no longer holds.
func (a *Admission) Restart(now time.Time, st dogwoodford.Start) {
	if !a.opts.Ramp {
		return
	}
	if st.Fresh {
		a.limiter = newLimiter(a.limiter.slots, a.opts.MinLimit)
		a.service = serviceTime{}
	}
	a.alone = st.Alone
	a.ramp.Start(now, a.limiter.limit(), dogramp.Conditions{Cold: st.Cold, Alone: st.Alone})
}

// Ramping reports whether a ramp holds the limit down; see dogwoodford.Admission.
func (a *Admission) Ramping() bool { return a.ramp.Active() }

// observe records the end of a request that ran.
func (a *Admission) observe(now time.Time, s dogwoodford.Sample, atLimit bool) {
	if s.Cancelled {
		return
	}
	if !s.Failed {
		a.service.observe(now, max(0, s.Latency-s.ChildTime))
	}
	if !a.ramp.Active() {
		a.limiter.observe(now, s, atLimit)
		return
	}
	a.limiter.average(s)
	a.ramp.Observe(now, dogramp.Answer{
		Time: max(0, s.Latency-s.ChildTime),
		// The failure of a child call says nothing about this target.
		Failed: s.Failed && s.ChildTime == 0,
	}, a.limiter.limit())
	if !a.ramp.Active() {
		a.limiter.setLimit(a.ramp.Limit())
	}
}

// limit returns the number of requests that may run concurrently.
func (a *Admission) limit() int {
	if a.ramp.Active() {
		return min(a.limiter.limit(), a.ramp.Limit())
	}
	return a.limiter.limit()
}

// withheld returns the number of places that the ramp takes from the ordinary
// limit. As many more requests may wait meanwhile.
func (a *Admission) withheld() int { return a.limiter.limit() - a.limit() }

// SetRate sets the number of requests that the target takes per second; 0 means that
// it does not limit them.
func (a *Admission) SetRate(now time.Time, perSecond float64) {
	if perSecond != a.rate.perSecond {
		a.rate.set(now, max(0, perSecond))
	}
}

// Load returns the current load. The limit of a target that limits the rate is the
// number of requests that run on average at that rate.
func (a *Admission) Load(now time.Time) dogwoodford.Load {
	a.advance(now)
	l := dogwoodford.Load{
		InFlight: len(a.running),
		Queued:   a.queue.len(),
		Limit:    a.limit(),
		Cutoff:   a.cutoff.value,

		ServiceTime: a.service.value(),
	}
	if a.rate.limits() {
		l.Limit = max(1, min(l.Limit, int(a.rate.perSecond*a.limiter.latency.Seconds())))
		if !a.rate.allows(now) {
			l.InFlight = max(l.InFlight, l.Limit)
		}
	}
	return l
}

func (a *Admission) start(id string) {
	a.running[id] = struct{}{}
	a.rate.take()
	a.cutoff.started()
}

// fill starts queued requests while fewer than the limit run, and refuses those
// that would miss their deadlines.
func (a *Admission) fill(now time.Time) []dogwoodford.Dequeued {
	var out []dogwoodford.Dequeued
	for len(a.running) < a.limit() && a.queue.len() > 0 && a.rate.allows(now) {
		e := a.queue.popFirst()
		if a.missesDeadline(now, e.r, 0) {
			out = append(out, dogwoodford.Dequeued{ID: e.r.ID(), Verdict: a.refuse(dogwoodford.ReasonDeadline)})
			continue
		}
		a.start(e.r.ID())
		out = append(out, dogwoodford.Dequeued{ID: e.r.ID(), Verdict: dogwoodford.RunVerdict()})
	}
	a.cutoff.observeQueueLen(a.queue.len())
	return out
}

// missesDeadline reports whether r would not be answered before its deadline if
// it started after wait. Below MinLimit running requests, any that has not
// expired is started, so that the limiter can observe that the target became
// faster.
func (a *Admission) missesDeadline(now time.Time, r dogwoodford.Request, wait time.Duration) bool {
	if len(a.running) < a.opts.MinLimit && wait == 0 {
		return r.Expired(now)
	}
	// Half of the mean service time is assumed, because few requests are
	// answered faster than that.
	return r.Expired(now.Add(wait + a.limiter.selfTime/2))
}

// waitForPlaces returns the expected time until n places have become free.
func (a *Admission) waitForPlaces(n int) time.Duration {
	return time.Duration(n) * a.interval()
}

// interval returns the mean time between the starts of two requests while others wait.
func (a *Admission) interval() time.Duration {
	return max(a.limiter.latency/time.Duration(a.limit()), a.rate.interval())
}

// maxQueueLen returns the number of requests that may wait.
func (a *Admission) maxQueueLen() int {
	// With fewer than four places, targets with few slots refuse bursts while
	// they are not busy.
	minLen := 4
	if a.rate.limits() {
		minLen = 1 // Others can run sooner what waits for a low rate.
	}
	iv := a.interval()
	if iv <= 0 {
		return max(minLen, a.limit())
	}
	return max(minLen, int(a.opts.MaxDelay/iv))
}

// refuse returns a refusal whose Retry-After has one second of jitter, so that
// callers do not return together.
func (a *Admission) refuse(reason dogwoodford.Reason) dogwoodford.Verdict {
	base := time.Second
	if reason != dogwoodford.ReasonOverload {
		base = max(a.opts.MaxDelay, a.waitForPlaces(a.queue.len()))
	}
	return dogwoodford.RefuseVerdict(reason, base+time.Duration(a.opts.Rand.Int64N(int64(time.Second))))
}

// advance closes the measurement windows that have ended by now.
func (a *Admission) advance(now time.Time) {
	a.limiter.advance(now)
	// At targets with few slots, a wait for fewer than two places is noise.
	delay := max(a.opts.TargetDelay, a.waitForPlaces(2))
	allowed := 0
	if iv := a.interval(); iv > 0 {
		allowed = int(delay / iv)
	}
	a.cutoff.advance(now, a.queue.len(), allowed+a.withheld())
}
