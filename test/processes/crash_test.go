package processes

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestCrashingRequest guards against a request whose content crashes one target
// after another while its caller resends it under new keys and through all nodes.
func TestCrashingRequest(t *testing.T) {
	f := newSerialFleet(t, 9)
	t.Parallel()
	for i, dataCentre := range []string{"midrand", "germiston", "soweto", "midrand"} {
		f.addWorker(fmt.Sprintf("rounds-%d", i+1), dataCentre, "")
	}
	f.startAll()
	reads := f.callers(2, 8, http.MethodGet, "/rounds/sheets/1", entriesOf(f.workers...))
	posts := f.callers(2, 8, http.MethodPost, "/rounds/collections", entriesOf(f.workers...))
	reads.waitForMore(20)
	posts.waitForMore(20)
	sendCrashing := func() map[string]int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		reasons := make(map[string]int)
		for _, w := range f.workers {
			wg.Go(func() {
				r := f.send(context.Background(), w.entry, http.MethodPost, "/rounds/collections", "CRASH-TARGET", "Dogwoodford-Key", newKey())
				mu.Lock()
				defer mu.Unlock()
				reasons[r.outcome+" "+r.reason]++
			})
		}
		wg.Wait()
		return reasons
	}
	allQuarantined := fmt.Sprint(map[string]int{"unknown quarantined": 4})
	f.eventually("all nodes refuse the request as quarantined", func() error {
		got := fmt.Sprint(sendCrashing())
		if !strings.Contains(got, "quarantined") || got != allQuarantined {
			return fmt.Errorf("%s", got)
		}
		return nil
	})
	if n := f.countDeadTargets(); n > 2 {
		t.Errorf("%d targets died", n)
	}
	reads.waitForMore(30)
	posts.waitForMore(30)
	// The targets that died are restarted; the request must not reach them.
	for _, w := range f.workers {
		if hasEnded(w.target) {
			w.target.kill()
			f.startTarget(w)
		}
	}
	for _, w := range f.workers {
		f.eventually("the target is back", func() error { return f.checkMemberState(f.workers[0], w.name, "ready") })
	}
	for range 5 {
		if got := fmt.Sprint(sendCrashing()); got != allQuarantined {
			t.Errorf("after the restart: %s", got)
		}
	}
	reads.waitForMore(30)
	posts.waitForMore(30)
	if n := f.countDeadTargets(); n > 0 {
		t.Errorf("%d targets died after the restart", n)
	}
	reads.stop()
	posts.stop()
	posts.checkOutcomes(t)
	reads.checkAllRan(t)
}

func hasEnded(p *process) bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (f *fleet) countDeadTargets() int {
	n := 0
	for _, w := range f.workers {
		if hasEnded(w.target) {
			n++
		}
	}
	return n
}
