package dogrelay

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
)

// TestTargetRate guards against sending a target more requests than the rate that it
// names in its responses, from one entry or from several, and after a restart of the
// guard that had heard it.
func TestTargetRate(t *testing.T) {
	first, second := newTestNode(t, "entry-1", "billing", "refuse", time.Second), newTestNode(t, "entry-2", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "limited", time.Second)
	first.addGuards(guard)
	second.addGuards(guard)
	const rate = 10.5
	send := func(n *testNode, name string, count int) int {
		var refused atomic.Int64
		var wg sync.WaitGroup
		for i := range count {
			wg.Go(func() {
				status, h, _, err := post(t, n, "idempotent", fmt.Sprint(name, i), "")
				if err != nil {
					t.Error(err)
				}
				if status == http.StatusServiceUnavailable && h.Get("Retry-After") != "" {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		return int(refused.Load())
	}
	post(t, first, "idempotent", "first", "")
	start := time.Now()
	refused := send(first, "a", 30) + send(second, "b", 30)
	most := int(rate*time.Since(start).Seconds()) + 3
	if got := guard.target.count(); got > most || got < 2 || refused == 0 {
		t.Errorf("the target got %d of 61 requests, want 2 to %d; %d refused", got, most, refused)
	}

	restarted := newTestNode(t, "guard", "rounds", "limited", time.Second)
	first.targets[0].Peer = restarted.guard.Listener.Addr().String()
	post(t, first, "idempotent", "c", "")
	if got := restarted.relay.advised.of("guard"); got.rate != rate {
		t.Fatalf("after the first response, the restarted guard has advice %+v, want rate %v", got, rate)
	}
	restarted = newTestNode(t, "guard", "rounds", "hang", time.Second)
	first.targets[0].Peer = restarted.guard.Listener.Addr().String()
	post(t, first, "idempotent", "d", "")
	if got := restarted.relay.advised.of("guard"); got.rate != rate {
		t.Errorf("without a response, the restarted guard has advice %+v, want rate %v from the entry", got, rate)
	}
}

// TestTargetLeaving guards against sending a request to a target after it has said in a
// response that it is leaving, also by a guard that was restarted since.
func TestTargetLeaving(t *testing.T) {
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "leaving", time.Second)
	entry.addGuards(guard)
	if status, _, _, err := post(t, entry, "idempotent", "a", ""); err != nil || status != http.StatusOK {
		t.Fatalf("first request: status %d, error %v; want 200", status, err)
	}
	restarted := newTestNode(t, "guard", "rounds", "leaving", time.Second)
	for name, g := range map[string]*testNode{"the same guard": guard, "a restarted guard": restarted} {
		entry.targets[0].Peer = g.guard.Listener.Addr().String()
		before := g.target.count()
		status, h, _, err := post(t, entry, "non-idempotent", "b", "")
		if err != nil || status != http.StatusServiceUnavailable || h.Get(dogcall.HeaderReason) != string(dogwoodford.ReasonDraining) {
			t.Errorf("%s: status %d, reason %q, error %v; want 503 as it drains", name, status, h.Get(dogcall.HeaderReason), err)
		}
		if g.target.count() != before {
			t.Errorf("%s: the leaving target got a request", name)
		}
	}
}

// TestAdvice guards against advice that is lost between nodes, and against responses
// whose rate cannot be read.
func TestAdvice(t *testing.T) {
	for _, a := range []advice{
		{target: "i-1", rate: 42.8}, {target: "i-1", rate: minNamedRate, leaving: true}, {target: "i-1", leaving: true}, {},
	} {
		h := make(http.Header)
		a.format(h)
		if got, err := parseAdvice(h); err != nil || got != a {
			t.Errorf("advice %+v became %+v, error %v", a, got, err)
		}
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e999", "ten", "1 2"} {
		if r, err := parseRate(text); err == nil {
			t.Errorf("rate %q is read as %v", text, r)
		}
	}
}
