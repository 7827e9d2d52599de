package doggate

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodford"
)

// expireInterval is the interval between calls of Admission.Expire while requests
// are queued. Admission requires at most 10 ms.
const expireInterval = 10 * time.Millisecond

// Gate wraps a dogwoodford.Admission with a lock and blocks the goroutines of
// queued requests until their verdict. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	admission dogwoodford.Admission
	waiting   map[string]chan dogwoodford.Verdict // Queued requests by ID.
	timerSet  bool                                // The timer that calls expire is set.
}

// NewGate returns a gate that wraps admission. The caller must not use
// admission afterwards.
func NewGate(admission dogwoodford.Admission) *Gate {
	return &Gate{admission: admission, waiting: make(map[string]chan dogwoodford.Verdict)}
}

// SetSlots sets the number of requests that the target reports it can run
// concurrently.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SetSlots(n)
}

// SetRate sets the number of requests that the target takes per second; 0 means
// that it does not limit them.
func (g *Gate) SetRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SetRate(time.Now(), perSecond)
}

// Restart records that the target has started or recovered.
func (g *Gate) Restart(s dogwoodford.Start) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Restart(time.Now(), s)
}

// Ramping reports whether the limit is held down after a start of the target.
func (g *Gate) Ramping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Ramping()
}

// Load returns the current load.
func (g *Gate) Load() dogwoodford.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load(time.Now())
}

// Enter blocks until r may run or is refused. If the verdict is Run, the caller
// must call Leave when the request has ended. If ctx ends first, r is removed
// from the queue and refused.
func (g *Gate) Enter(ctx context.Context, r dogwoodford.Request) dogwoodford.Verdict {
	if ctx.Err() != nil {
		return dogwoodford.RefuseVerdict(ReasonOf(ctx), 0)
	}
	ch, v := g.offer(r)
	if v.Action() != dogwoodford.Wait {
		return v
	}
	select {
	case v = <-ch:
		return v
	case <-ctx.Done():
		return g.cancel(ctx, r.ID(), ch)
	}
}

func (g *Gate) offer(r dogwoodford.Request) (chan dogwoodford.Verdict, dogwoodford.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, dequeued := g.admission.Offer(time.Now(), r)
	g.deliver(dequeued)
	if v.Action() != dogwoodford.Wait {
		return nil, v
	}
	ch := make(chan dogwoodford.Verdict, 1)
	g.waiting[r.ID()] = ch
	if !g.timerSet {
		g.timerSet = true
		time.AfterFunc(expireInterval, g.expire)
	}
	return ch, v
}

func (g *Gate) cancel(ctx context.Context, id string, ch chan dogwoodford.Verdict) dogwoodford.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := ReasonOf(ctx)
	now := time.Now()
	if _, queued := g.waiting[id]; queued {
		delete(g.waiting, id)
		g.admission.Cancel(now, id)
		return dogwoodford.RefuseVerdict(reason, 0)
	}
	// The verdict was delivered just before the cancellation. A request that may
	// run is ended at once, as the caller does not run it.
	v := <-ch
	if v.Action() == dogwoodford.Run {
		g.deliver(g.admission.Done(now, id, dogwoodford.Sample{Cancelled: true}))
		return dogwoodford.RefuseVerdict(reason, 0)
	}
	return v
}

// ReasonOf returns the reason for refusing a request whose ctx has ended:
// ReasonDeadline or ReasonCancelled.
func ReasonOf(ctx context.Context) dogwoodford.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return dogwoodford.ReasonDeadline
	}
	return dogwoodford.ReasonCancelled
}

// Leave records the end of the request with this ID, which Enter let run.
func (g *Gate) Leave(id string, s dogwoodford.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admission.Done(time.Now(), id, s))
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admission.Expire(time.Now()))
	g.timerSet = len(g.waiting) > 0
	if g.timerSet {
		time.AfterFunc(expireInterval, g.expire)
	}
}

// deliver passes the verdicts on requests that left the queue to the goroutines
// that wait for them. The caller must hold g.mu.
func (g *Gate) deliver(dequeued []dogwoodford.Dequeued) {
	for _, r := range dequeued {
		if ch, ok := g.waiting[r.ID]; ok {
			delete(g.waiting, r.ID)
			ch <- r.Verdict
		}
	}
}
