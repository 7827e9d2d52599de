package processes

import (
	"net/http"
	"syscall"
	"testing"
)

// entriesOf returns the entries of workers.
func entriesOf(workers ...*worker) func() []string {
	var out []string
	for _, w := range workers {
		out = append(out, w.entry)
	}
	return func() []string { return out }
}

// TestGracefulStops guards against planned stops that cut requests, give work
// to a leaving target, run a key twice at a handover, or end with an error.
func TestGracefulStops(t *testing.T) {
	f := newFleet(t, 11)
	stays := f.add("billing-4", "midrand", "")
	onlyNode := f.add("billing-1", "midrand", "")
	targetFirst := f.add("billing-2", "germiston", "")
	nodeFirst := f.add("billing-3", "germiston", "")
	rounds := f.add("rounds-1", "midrand", "/sheets/ sequence GET /billing/invoices/1")
	f.run()
	f.reach("/billing/invoices", rounds)

	entries := entriesOf(stays, rounds)
	posts := f.callers(4, 10, http.MethodPost, "/billing/invoices", entries)
	reads := f.callers(4, 4, http.MethodGet, "/rounds/sheets/1", entries)
	// Callers of the nodes that leave. They go on to another entry when a
	// connection is refused.
	leaving := f.callers(3, 10, http.MethodPost, "/billing/invoices", entriesOf(onlyNode, targetFirst, nodeFirst, stays))
	more := func() { posts.more(30); reads.more(30); leaving.more(10) }
	more()

	// A target that drains gets no new work once all nodes know of it.
	f.control(targetFirst.address, "/control/drain", `{"exit":false}`)
	for _, w := range f.workers {
		f.eventually("the drain is known", func() error { return f.memberIs(w, targetFirst.name, "draining") })
	}
	before := f.started(targetFirst)
	more()
	if after := f.started(targetFirst); after != before {
		t.Errorf("the draining target got %d requests", after-before)
	}
	stop := func(p *process) {
		p.signal(t, syscall.SIGTERM)
		more()
		if code := p.wait(t); code != 0 {
			t.Errorf("%s ended with code %d", p.name, code)
		}
		more()
	}
	stop(targetFirst.target)
	stop(targetFirst.node)
	stop(onlyNode.node)
	nodeFirst.node.signal(t, syscall.SIGTERM)
	nodeFirst.target.signal(t, syscall.SIGTERM)
	more()
	for _, p := range []*process{nodeFirst.node, nodeFirst.target} {
		if code := p.wait(t); code != 0 {
			t.Errorf("%s ended with code %d", p.name, code)
		}
	}
	more()

	for _, c := range []*callers{posts, reads, leaving} {
		c.stop()
		c.whole(t)
	}
	posts.check(t)
	leaving.check(t)
	posts.stated(t, false)
	reads.stated(t, false)
	leaving.stated(t, true)
}

// started returns how many requests a target started.
func (f *fleet) started(w *worker) int64 {
	f.t.Helper()
	var ran struct{ Total struct{ Started int64 } }
	if err := f.get("http://"+w.address+"/control/ran", &ran); err != nil {
		f.t.Fatal(err)
	}
	return ran.Total.Started
}

// stated checks that nothing was cut: each send was answered whole or refused
// as not run. With refused, the connection to the entry may have been refused.
func (c *callers) stated(t *testing.T, refused bool) {
	t.Helper()
	counts := make(map[string]int)
	for _, h := range c.requests {
		for _, r := range h.answers {
			counts[r.outcome+" "+r.reason]++
			switch {
			case r.err != nil && !(refused && isRefused(r.err)):
				t.Errorf("cut: %v", r)
			case r.err == nil && r.outcome != "not-run" && (r.outcome != "ran" || r.status != http.StatusOK):
				t.Errorf("%v", r)
			}
		}
	}
	t.Logf("answers %v", counts)
}
