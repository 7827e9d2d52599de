package processes

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogcontract"
)

// pastWindow exceeds the length of a window, 6 s, so that a key issued this long
// after the start of an outage needs a promise.
const pastWindow = 8 * time.Second

// TestPlatform guards against an outage, lost answers or a restore of the
// platform that stop traffic, revert a contract to an earlier generation, run a
// key twice, or lead to a surge of calls when the platform is back.
func TestPlatform(t *testing.T) {
	f := newSerialFleet(t, 9)
	t.Parallel()
	one := f.addWorker("billing-1", "midrand", "")
	two := f.addWorker("billing-2", "germiston", "")
	three := f.addWorker("billing-3", "soweto", "")
	initial := []*worker{one, two, three}
	f.startAll()
	posts := f.callers(3, 8, http.MethodPost, "/billing/invoices", entriesOf(initial...))
	reads := f.callers(3, 4, http.MethodGet, "/billing/invoices/1", entriesOf(initial...))
	waitForMore := func() { posts.waitForMore(20); reads.waitForMore(20) }
	waitForMore()
	f.postControl(f.platformAddress, "/control/snapshot", `{"name":"first"}`)

	t.Log("answers to writes are lost")
	f.postControl(f.platformAddress, "/control/fault", `{"kind":"lose_answer","count":20}`)
	f.applyContract(2)
	f.waitInForce(2, initial...)
	f.waitStored(2)
	waitForMore()

	t.Log("the platform is restored to an earlier snapshot")
	f.postControl(f.platformAddress, "/control/restore", `{"name":"first","rewind":true}`)
	f.waitStored(2) // A watcher writes back the generation in force.
	f.waitInForce(2, initial...)
	waitForMore()
	f.applyContract(3)
	f.waitInForce(3, initial...)

	t.Log("the platform is down for longer than a window")
	f.resetCounts()
	f.postControl(f.platformAddress, "/control/fault", `{"kind":"down"}`)
	down := time.Now()
	if code, out := f.runCommand("contract", "apply", "--timeout", "3s", "--platform", f.platformAddress, f.writeFile("late.ini", contractText)); code != 5 && code != 6 {
		t.Errorf("apply without a platform: code %d\n%s", code, out)
	}
	// A node that reaches neither the platform nor peers refuses requests.
	isolated := f.addWorker("depot-1", "midrand", "")
	f.startNode(isolated)
	f.eventually("the node without a contract answers", func() error {
		r := f.send(t.Context(), isolated.entry, http.MethodGet, "/billing/invoices/1", "")
		if r.err == nil && (r.outcome != "not-run" || r.reason != "no-config") {
			t.Errorf("without a contract: %v", r)
		}
		return r.err
	})
	// A new node with seeds obtains the contract from its peers.
	seeded := f.addWorker("rounds-1", "germiston", "")
	f.startNode(seeded, one.peer, two.peer)
	f.waitInForce(3, seeded)
	f.waitIssuedAfter(posts, down.Add(pastWindow))
	f.eventually("a non-idempotent request runs through the new node", func() error {
		if r := f.send(t.Context(), seeded.entry, http.MethodPost, "/billing/invoices", "late", "Dogwoodford-Key", newKey(), "Dogwoodford-Attempt", "1"); r.outcome != "ran" {
			return fmt.Errorf("%v", r)
		}
		return nil
	})
	waitForMore()
	f.checkOutageCalls(down)

	t.Log("the platform is back")
	f.resetCounts()
	f.postControl(f.platformAddress, "/control/fault", `{"kind":"none"}`)
	back := time.Now()
	f.eventually("the windows are renewed at the platform", func() error { return f.checkRenewed(back) })
	f.waitInForce(3, append(initial, seeded, isolated)...)
	waitForMore()
	f.checkRecoveryCalls(back)
	f.waitStored(3)
	posts.stop()
	reads.stop()
	posts.checkOutcomes(t)
	reads.checkAllRan(t)
	f.checkGenerationsIncrease(f.workers...)
}

// waitInForce waits until each worker has the generation in force.
// checkGenerationsIncrease reports a lower one after that.
func (f *fleet) waitInForce(generation int64, workers ...*worker) {
	f.t.Helper()
	for _, w := range workers {
		f.eventually(fmt.Sprintf("%s has generation %d in force", w.name, generation), func() error {
			s, err := f.status(w)
			if got := s.Generation("firm-1"); err == nil && got != generation {
				return fmt.Errorf("generation %d", got)
			}
			return err
		})
	}
}

// waitStored waits until the platform stores the generation.
func (f *fleet) waitStored(generation int64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("the platform stores generation %d", generation), func() error {
		var o struct{ Value []byte }
		if err := f.get("http://"+f.platformAddress+"/v1/objects/contract/firm-1", &o); err != nil {
			return err
		}
		c, err := dogcontract.Parse("platform", o.Value)
		if err == nil && c.Generation() != generation {
			return fmt.Errorf("generation %d", c.Generation())
		}
		return err
	})
}

// checkGenerationsIncrease checks in the log of each node that no contract was
// replaced by one of the same or an earlier generation.
func (f *fleet) checkGenerationsIncrease(workers ...*worker) {
	f.t.Helper()
	for _, w := range workers {
		last := int64(0)
		for _, line := range f.logLines("node-" + w.name) {
			var e struct {
				Msg        string
				Generation int64
			}
			if err := json.Unmarshal([]byte(line), &e); err != nil || e.Msg != "contract-in-force" {
				continue
			}
			if e.Generation <= last {
				f.t.Errorf("%s: generation %d after %d", w.name, e.Generation, last)
			}
			last = e.Generation
		}
	}
}

// waitIssuedAfter waits until a request whose key was issued after at has
// succeeded in each key range.
func (f *fleet) waitIssuedAfter(c *callers, at time.Time) {
	f.t.Helper()
	f.eventually("keys issued after the windows run", func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		ranges := make(map[int]bool)
		for _, h := range c.requests {
			if k, err := dogwoodford.ParseKey(h.key); err == nil && h.succeeded() && k.Issued().After(at) {
				ranges[k.Range()] = true
			}
		}
		if len(ranges) < dogwoodford.KeyRanges {
			return fmt.Errorf("%d of %d ranges", len(ranges), dogwoodford.KeyRanges)
		}
		f.t.Logf("keys of %d ranges run", len(ranges))
		return nil
	})
}

func (f *fleet) resetCounts() {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.platformAddress+"/control/counts", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (f *fleet) callCounts() map[string]int64 {
	f.t.Helper()
	counts := make(map[string]int64)
	if err := f.get("http://"+f.platformAddress+"/control/counts", &counts); err != nil {
		f.t.Fatal(err)
	}
	return counts
}

var errNotRenewed = errors.New("not renewed")

// checkRenewed returns an error unless each window at the platform ends later
// than one written before at can, which is 6 s after at.
func (f *fleet) checkRenewed(at time.Time) error {
	var l struct{ Objects []struct{ Value []byte } }
	if err := f.get("http://"+f.platformAddress+"/v1/objects?prefix=range/billing/", &l); err != nil {
		return err
	}
	n := 0
	for _, o := range l.Objects {
		var v struct{ End int64 }
		if err := json.Unmarshal(o.Value, &v); err == nil && v.End >= at.Add(6*time.Second).UnixMilli() {
			n++
		}
	}
	if n != dogwoodford.KeyRanges {
		return fmt.Errorf("%w: %d of %d ranges", errNotRenewed, n, dogwoodford.KeyRanges)
	}
	return nil
}

// nodeCount is the number of nodes that call the platform in TestPlatform.
const nodeCount = 5

// checkOutageCalls bounds the calls while the platform is down. An open circuit
// breaker permits one trial at a time, with a backoff that doubles from 0.1 s to
// 10 s and that jitter reduces to half at the least: at most 8 trials in the first
// 6.4 s and one every 5 s from then on. Before the circuit opens, 4 calls fail, up
// to 4 more are in progress, and 2 watches break.
func (f *fleet) checkOutageCalls(down time.Time) {
	f.t.Helper()
	seconds := int64(time.Since(down).Seconds()) + 1
	maxCalls := nodeCount * (4 + 4 + 2 + 8 + seconds/5)
	if got := f.callCounts(); got["total"] > maxCalls {
		f.t.Errorf("%d s of outage: %v, want at most %d", seconds, got, maxCalls)
	} else {
		f.t.Logf("%d s of outage: %v, at most %d", seconds, got, maxCalls)
	}
}

// checkRecoveryCalls bounds the calls after the outage. Each of the 8 ranges is
// read once and then written at intervals of at least 1.8 s (2 s less 10%). Each
// node resumes its two watches, each answer of which requires one more call, reads
// members and contracts, and makes its trials: 20 calls, and 4 per second for
// watches, seeds and comparisons. The calls by which the test polls are deducted.
func (f *fleet) checkRecoveryCalls(back time.Time) {
	f.t.Helper()
	seconds := int64(time.Since(back).Seconds()) + 1
	got := f.callCounts()
	maxCalls := int64(dogwoodford.KeyRanges)*(2+seconds) + nodeCount*(20+4*seconds)
	pollCalls := 20 * seconds // List calls of checkRenewed, one every 50 ms.
	if sum := got["total"] - min(got["list"], pollCalls); sum > maxCalls {
		f.t.Errorf("%d s after the outage: %v, want at most %d", seconds, got, maxCalls)
	} else {
		f.t.Logf("%d s after the outage: %v, at most %d", seconds, got, maxCalls)
	}
}

func (f *fleet) logLines(name string) []string {
	f.t.Helper()
	return strings.Split(f.readFile(name+".log"), "\n")
}
