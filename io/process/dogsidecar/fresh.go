package dogsidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford/core/process/dogfresh"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/dogrelay"
)

const (
	// freshWait is how long a watch call for the configuration waits at a node that bounds
	// the trust in keys. A watch proves only the moment before it was sent, so that a
	// longer one proves an earlier moment.
	freshWait = 400 * time.Millisecond
	// urgentWait is the same near the end of the lifetime.
	urgentWait = 50 * time.Millisecond
	// restJitter is the fraction by which the time between two watch calls varies.
	restJitter = 0.1
	// vouchInterval is the least time between two answers to calls that carry the age. It
	// bounds their bytes and the readings of the clock, each of which takes a system call.
	vouchInterval = 50 * time.Millisecond
	// maxFreshQuestions bounds the questions to other nodes that wait for an answer.
	maxFreshQuestions = 8
)

// freshness decides whether the keys of the configuration in force are trusted. A nil
// *freshness belongs to a node that trusts them without a bound. It implements
// dogrelay.Keys and is safe for concurrent use.
type freshness struct {
	clock   func() time.Duration
	log     *logger
	metrics *dogmetric.Set
	reading atomic.Int64 // Latest reading of the clock.
	// wakeStore receives a value when the store should be asked before its turn.
	wakeStore chan struct{}
	// lapsed receives a value when a request finds that the keys are no longer trusted: the
	// timers of a process that was suspended are late.
	lapsed chan struct{}

	mu      sync.Mutex
	tracker *dogfresh.Tracker
	trusted bool      // As last logged.
	vouched time.Time // Last time at which an answer to a call carried the age.
}

var _ dogrelay.Keys = (*freshness)(nil)

// newFreshness returns the freshness of a node; nil if the lifetime is 0.
func newFreshness(lifetime time.Duration, clock func() time.Duration, log *logger, metrics *dogmetric.Set) *freshness {
	if lifetime <= 0 {
		return nil
	}
	return &freshness{
		clock: clock, log: log, metrics: metrics, wakeStore: make(chan struct{}, 1), lapsed: make(chan struct{}, 1),
		tracker: dogfresh.New(dogfresh.Options{Lifetime: lifetime, Rand: newRand()}),
	}
}

// read returns the present moment.
func (f *freshness) read() time.Duration {
	now := f.clock()
	f.reading.Store(int64(now))
	return now
}

// Now implements dogrelay.Keys. It returns the latest reading and makes no new one: an
// earlier moment is safe, and a node in use reads the clock all the time.
func (f *freshness) Now() time.Duration {
	if at := f.reading.Load(); at > 0 {
		return time.Duration(at)
	}
	return f.read()
}

// Trusted implements dogrelay.Keys.
func (f *freshness) Trusted(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.read()
	before := f.trusted
	if f.logChange(now); before && !f.trusted {
		notify(f.lapsed)
	}
	return f.tracker.Trusted(version, now)
}

// Age implements dogrelay.Keys.
func (f *freshness) Age() (version int64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.vouched) >= vouchInterval {
		f.vouched = now
		return f.tracker.Age(f.read())
	}
	return 0, 0, false
}

// Vouched implements dogrelay.Keys.
func (f *freshness) Vouched(version int64, moment time.Duration) { f.observe(version, moment) }

// observe records that version was the newest at a moment.
func (f *freshness) observe(version int64, moment time.Duration) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Observe(version, moment)
}

// adopt records that version is put in force.
func (f *freshness) adopt(version int64) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Adopt(version)
}

// logChange logs the first moment at which keys are no longer trusted, or are again. The
// caller must hold f.mu.
func (f *freshness) logChange(now time.Duration) {
	version, age, known := f.tracker.Age(now)
	trusted := f.tracker.Trusted(version, now)
	if trusted == f.trusted {
		return
	}
	f.trusted = trusted
	e := doglog.KeysUntrusted
	if trusted {
		e = doglog.KeysTrusted
	}
	f.log.event(e, slog.Int64("version", version), slog.Int64("age_ms", age.Milliseconds()), slog.Bool("known", known))
}

// next returns what to ask now in a fleet of the given number of nodes, and reports the age.
func (f *freshness) next(nodes int) dogfresh.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.read()
	f.logChange(now)
	if _, age, ok := f.tracker.Age(now); ok {
		f.metrics.Store(dogmetric.ConfigAgeMs, age.Milliseconds())
	}
	return f.tracker.Next(now, nodes)
}

// moment returns the moment before a question, 0 if it is not needed.
func (f *freshness) moment() time.Duration {
	if f == nil {
		return 0
	}
	return f.read()
}

// storeWait returns how long the next watch call waits, at most interval.
func (f *freshness) storeWait(interval time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tracker.Urgent(f.read()) {
		return min(interval, urgentWait)
	}
	return min(interval, freshWait)
}

// rest sleeps for about d from one watch call to the next, or until the store should be
// asked before if it can help. The jitter separates nodes that started together.
func (f *freshness) rest(ctx context.Context, d time.Duration, helps bool) {
	select {
	case <-f.wakeStore: // Of a time before the last answer.
	default:
	}
	wake := f.wakeStore
	if !helps {
		wake = nil
	}
	jitter := 1 + restJitter*(2*rand.Float64()-1)
	sleepUntil(ctx, time.Duration(jitter*float64(d)), wake)
}

// format sets the header of an answer to a control request, if the age is known.
func (f *freshness) format(out http.Header) {
	if f == nil {
		return
	}
	if version, age, ok := f.age(); ok {
		dogrelay.FormatFresh(out, version, age)
	}
}

// age returns the version in force and how long ago it is known to have been the newest,
// false if that is not known.
func (f *freshness) age() (version int64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Age(f.read())
}

// readAnswer records what the answer to a control request that was sent after asked tells,
// and returns the version of the node that answered, 0 if it does not tell.
func (f *freshness) readAnswer(in http.Header, asked time.Duration) int64 {
	if f == nil {
		return 0
	}
	version, age, ok, err := dogrelay.ParseFresh(in)
	if err != nil {
		f.log.event(doglog.AnswerMalformed, doglog.Err(err))
	}
	if !ok {
		return 0
	}
	f.observe(version, asked-age)
	return version
}

// keepFresh asks the store and other nodes when the tracker wants it, until ctx ends. It
// does not wait for answers.
func (p *peers) keepFresh(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxFreshQuestions)
	for ctx.Err() == nil {
		a := p.keys.next(p.state.NodeCount())
		if a.Store {
			notify(p.keys.wakeStore)
		}
		for _, e := range p.state.randomPeers(a.Peers) {
			select {
			case slots <- struct{}{}:
				wg.Go(func() {
					defer func() { <-slots }()
					p.askFresh(ctx, e.Node, e.Peer)
				})
			default: // As many questions have no answer yet.
			}
		}
		sleepUntil(ctx, a.Wait, p.keys.lapsed)
	}
	return ctx.Err()
}

// notify sends a value unless one is waiting.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepUntil sleeps for d, or until ctx ends or there is a value in c.
func sleepUntil(ctx context.Context, d time.Duration, c <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-c:
	}
}

// askFresh asks another node until when its configuration is known to have been the newest.
// Its answer may also show that there is a newer one.
func (p *peers) askFresh(ctx context.Context, node, addr string) {
	resp, err := p.exchange(ctx, p.kept, http.MethodGet, node, addr, freshPath, nil)
	if err == nil && resp.version > 0 {
		p.state.ConfigSeen(resp.version, addr)
	}
}

// inspect returns how long ago the version in force is known to have been the newest, and
// whether the keys of a version are trusted. It changes nothing.
func (f *freshness) inspect(version int64) (age time.Duration, known, trusted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	_, age, known = f.tracker.Age(now)
	return age, known, f.tracker.Trusted(version, now)
}
