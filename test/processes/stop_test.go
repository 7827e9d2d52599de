package processes

import (
	"net/http"
	"syscall"
	"testing"
)

// entriesOf returns a function that returns the entries of workers.
func entriesOf(workers ...*worker) func() []string {
	var out []string
	for _, w := range workers {
		out = append(out, w.entry)
	}
	return func() []string { return out }
}

// TestGracefulStops guards against planned stops that cut off requests, dispatch
// requests to a draining target, run a key twice at a handover, or exit with an
// error.
func TestGracefulStops(t *testing.T) {
	f := newFleet(t, 11)
	stays := f.addWorker("billing-4", "midrand", "")
	onlyNode := f.addWorker("billing-1", "midrand", "")
	targetFirst := f.addWorker("billing-2", "germiston", "")
	nodeFirst := f.addWorker("billing-3", "germiston", "")
	rounds := f.addWorker("rounds-1", "midrand", "/sheets/ sequence GET /billing/invoices/1")
	f.startAll()
	f.waitRangesReachable("/billing/invoices", rounds)

	entries := entriesOf(stays, rounds)
	posts := f.callers(4, 10, http.MethodPost, "/billing/invoices", entries)
	reads := f.callers(4, 4, http.MethodGet, "/rounds/sheets/1", entries)
	// Callers of the nodes that are stopped. They go on to the next entry when a
	// connection is refused.
	leaving := f.callers(3, 10, http.MethodPost, "/billing/invoices", entriesOf(onlyNode, targetFirst, nodeFirst, stays))
	waitForMore := func() { posts.waitForMore(30); reads.waitForMore(30); leaving.waitForMore(10) }
	waitForMore()

	// A draining target gets no new requests once all nodes know of the drain.
	f.postControl(targetFirst.targetAddress, "/control/drain", `{"exit":false}`)
	for _, w := range f.workers {
		f.eventually("the drain is known", func() error { return f.checkMemberState(w, targetFirst.name, "draining") })
	}
	before := f.startedRequests(targetFirst)
	waitForMore()
	if after := f.startedRequests(targetFirst); after != before {
		t.Errorf("the draining target got %d requests", after-before)
	}
	stop := func(p *process) {
		p.signal(t, syscall.SIGTERM)
		waitForMore()
		if code := p.wait(t); code != 0 {
			t.Errorf("%s ended with code %d", p.name, code)
		}
		waitForMore()
	}
	stop(targetFirst.target)
	stop(targetFirst.node)
	stop(onlyNode.node)
	nodeFirst.node.signal(t, syscall.SIGTERM)
	nodeFirst.target.signal(t, syscall.SIGTERM)
	waitForMore()
	for _, p := range []*process{nodeFirst.node, nodeFirst.target} {
		if code := p.wait(t); code != 0 {
			t.Errorf("%s ended with code %d", p.name, code)
		}
	}
	waitForMore()

	for _, c := range []*callers{posts, reads, leaving} {
		c.stop()
		c.checkAllRan(t)
	}
	posts.checkOutcomes(t)
	leaving.checkOutcomes(t)
	posts.checkNoneCut(t, false)
	reads.checkNoneCut(t, false)
	leaving.checkNoneCut(t, true)
}

// startedRequests returns the number of requests that the target of w started.
func (f *fleet) startedRequests(w *worker) int64 {
	f.t.Helper()
	var ran struct{ Total struct{ Started int64 } }
	if err := f.get("http://"+w.targetAddress+"/control/ran", &ran); err != nil {
		f.t.Fatal(err)
	}
	return ran.Total.Started
}

// checkNoneCut checks that no request was cut off: each was answered completely
// or refused as not run. With refused set, connections to the entry may also have
// been refused.
func (c *callers) checkNoneCut(t *testing.T, refused bool) {
	t.Helper()
	counts := make(map[string]int)
	for _, h := range c.requests {
		for _, r := range h.answers {
			counts[r.outcome+" "+r.reason]++
			switch {
			case r.err != nil && !(refused && isConnectionRefused(r.err)):
				t.Errorf("cut off: %v", r)
			case r.err == nil && r.outcome != "not-run" && (r.outcome != "ran" || r.status != http.StatusOK):
				t.Errorf("%v", r)
			}
		}
	}
	t.Logf("answers %v", counts)
}
