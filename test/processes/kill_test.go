package processes

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dogwoodford"
)

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// largestOwner returns the worker that owns the most key ranges as seen by at.
func (f *fleet) largestOwner(at *worker) *worker {
	f.t.Helper()
	s, err := f.status(at)
	if err != nil {
		f.t.Fatal(err)
	}
	counts := make(map[string]int)
	for _, r := range s.Ranges {
		counts[r.Owner]++
	}
	var best *worker
	for _, w := range f.workers {
		if best == nil || counts[w.name] > counts[best.name] {
			best = w
		}
	}
	return best
}

// otherWorker returns a worker other than w.
func (f *fleet) otherWorker(w *worker) *worker {
	for _, o := range f.workers {
		if o != w {
			return o
		}
	}
	return nil
}

// waitTakenOver waits until at sees other owners for all ranges of owner, and all
// windows have begun.
func (f *fleet) waitTakenOver(at, owner *worker) {
	f.t.Helper()
	f.eventually("the ranges of "+owner.name+" are taken over", func() error {
		s, err := f.status(at)
		if err != nil {
			return err
		}
		started := 0
		for _, r := range s.Ranges {
			if r.Owner == owner.name {
				return fmt.Errorf("range %d is still owned by %s", r.Number, r.Owner)
			}
			if !r.Start.After(time.Now()) {
				started++
			}
		}
		if started != dogwoodford.KeyRanges {
			return fmt.Errorf("%d windows have begun", started)
		}
		return nil
	})
}

// TestKills guards against a key that runs twice, or that runs although its
// last answer is "not-run", when targets and owners are killed or frozen while
// callers resend the same keys through other nodes.
func TestKills(t *testing.T) {
	f := newSerialFleet(t, 7)
	t.Parallel()
	one := f.addWorker("billing-1", "midrand", "")
	two := f.addWorker("billing-2", "germiston", "")
	three := f.addWorker("billing-3", "soweto", "")
	f.startAll()
	f.client.Timeout = 2 * time.Second // A frozen entry does not answer.
	posts := f.callers(8, 6, http.MethodPost, "/billing/invoices", entriesOf(one, two, three))
	posts.waitForMore(50)

	t.Log("a target is killed and restarted")
	two.target.kill()
	posts.waitForMore(50)
	f.startTarget(two)
	f.eventually("the target is ready", func() error { return f.checkMemberState(one, two.name, "ready") })
	posts.waitForMore(50)

	t.Log("an owner is killed and restarted")
	killed := f.largestOwner(one)
	observer := f.otherWorker(killed)
	killed.node.kill()
	f.waitTakenOver(observer, killed)
	posts.waitForMore(50)
	f.startNode(killed)
	f.eventually("the node is ready", func() error { return f.checkMemberState(observer, killed.name, "ready") })
	posts.waitForMore(50)

	t.Log("an owner is frozen beyond the end of its window")
	frozen := f.largestOwner(one)
	observer = f.otherWorker(frozen)
	frozen.node.signal(t, syscall.SIGSTOP)
	f.waitTakenOver(observer, frozen)
	posts.waitForMore(50)
	frozen.node.signal(t, syscall.SIGCONT)
	posts.waitForMore(50)
	f.eventually("the node is ready", func() error { return f.checkMemberState(observer, frozen.name, "ready") })
	posts.waitForMore(50)
	posts.stop()
	posts.checkOutcomes(t)
}
