package doggate

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodford"
)

// expireEvery is the interval of Admission.Expire while requests wait; the
// contract of Admission asks for at most 10 ms.
const expireEvery = 10 * time.Millisecond

// Gate is an Admission with the lock around it and the requests that wait. It
// is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	adm     dogwoodford.Admission
	waiting map[string]chan dogwoodford.Verdict
	ticking bool
}

// NewGate returns a gate around adm, which must not be used elsewhere.
func NewGate(adm dogwoodford.Admission) *Gate {
	return &Gate{adm: adm, waiting: make(map[string]chan dogwoodford.Verdict)}
}

// SetSlots tells how many requests the target says that it can run at once.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adm.SetSlots(n)
}

// Load returns the present load.
func (g *Gate) Load() dogwoodford.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.adm.Load(time.Now())
}

// Enter waits until r may run or is refused. If the verdict is Run, Leave must
// follow. A request whose ctx ends is taken out of the queue.
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
	v, releases := g.adm.Offer(time.Now(), r)
	g.deliver(releases)
	if v.Action() != dogwoodford.Wait {
		return nil, v
	}
	ch := make(chan dogwoodford.Verdict, 1)
	g.waiting[r.ID()] = ch
	if !g.ticking {
		g.ticking = true
		time.AfterFunc(expireEvery, g.expire)
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
		g.adm.Cancel(now, id)
		return dogwoodford.RefuseVerdict(reason, 0)
	}
	// The verdict came just before the cancellation.
	v := <-ch
	if v.Action() == dogwoodford.Run {
		g.deliver(g.adm.Done(now, id, dogwoodford.Sample{Cancelled: true}))
		return dogwoodford.RefuseVerdict(reason, 0)
	}
	return v
}

// ReasonOf returns why ctx has ended.
func ReasonOf(ctx context.Context) dogwoodford.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return dogwoodford.ReasonDeadline
	}
	return dogwoodford.ReasonCancelled
}

// Leave records the end of a request that ran.
func (g *Gate) Leave(id string, s dogwoodford.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.adm.Done(time.Now(), id, s))
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.adm.Expire(time.Now()))
	g.ticking = len(g.waiting) > 0
	if g.ticking {
		time.AfterFunc(expireEvery, g.expire)
	}
}

// deliver needs g.mu.
func (g *Gate) deliver(releases []dogwoodford.Dequeued) {
	for _, r := range releases {
		if ch, ok := g.waiting[r.ID]; ok {
			delete(g.waiting, r.ID)
			ch <- r.Verdict
		}
	}
}
