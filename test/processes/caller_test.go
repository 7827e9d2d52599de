package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodford"
)

// result is the answer to one request.
type result struct {
	status          int
	outcome, reason string
	header          http.Header
	body            string
	err             error // Set if no complete answer arrived.
}

func (r result) String() string {
	return fmt.Sprintf("%d %s %s %v %.80s", r.status, r.outcome, r.reason, r.err, r.body)
}

// send sends one request to an entry. header holds alternating names and values.
func (f *fleet) send(ctx context.Context, entry, method, path, body string, header ...string) result {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	req.Header.Set("Dogwoodford-Customer", "firm-1")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, outcome: resp.Header.Get("Dogwoodford-Outcome"),
		reason: resp.Header.Get("Dogwoodford-Reason"), header: resp.Header, body: string(b), err: err,
	}
}

func newKey() string {
	return dogwoodford.MakeKey(time.Now(), rand.Uint64(), rand.Uint64()).String()
}

// history holds the answers that a caller received to one request and its
// resends.
type history struct {
	key     string
	answers []result
}

func (h *history) last() result { return h.answers[len(h.answers)-1] }

func (h *history) succeeded() bool {
	r := h.last()
	return r.err == nil && r.outcome == "ran" && r.status == http.StatusOK
}

// callers is a group of callers that send requests in a loop until stop is
// called.
type callers struct {
	f           *fleet
	method      string
	path        string
	maxAttempts int
	entries     func() []string // Returns the entries in use.
	mu          sync.Mutex
	requests    []*history
	wg          sync.WaitGroup
	cancel      context.CancelFunc
}

// callers starts n callers. Each sends a request under one key through the
// entries in turn until it succeeds, at most maxAttempts times, and goes on to
// the next request.
func (f *fleet) callers(n, maxAttempts int, method, path string, entries func() []string) *callers {
	ctx, cancel := context.WithCancel(f.t.Context())
	c := &callers{f: f, method: method, path: path, maxAttempts: maxAttempts, entries: entries, cancel: cancel}
	f.t.Cleanup(c.stop)
	for i := range n {
		c.wg.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				c.sendUntilRan(i, j)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return c
}

// sendUntilRan sends one request until it succeeds, at most maxAttempts times.
// Its body is one of ten, because content that has not completed before is
// restricted to two targets.
func (c *callers) sendUntilRan(i, j int) {
	h := &history{key: newKey()}
	for n := 1; n <= c.maxAttempts; n++ {
		entries := c.entries()
		entry := entries[(i+j+n)%len(entries)]
		header := []string{"Dogwoodford-Attempt", strconv.Itoa(n)}
		if c.method != http.MethodGet {
			header = append(header, "Dogwoodford-Key", h.key)
		}
		h.answers = append(h.answers, c.f.send(context.Background(), entry, c.method, c.path, fmt.Sprintf("body %d", j%10), header...))
		if h.succeeded() {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, h)
}

func (c *callers) stop() { c.cancel(); c.wg.Wait() }

// completed returns the number of requests that have succeeded so far.
func (c *callers) completed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range c.requests {
		if h.succeeded() {
			n++
		}
	}
	return n
}

// waitForMore waits until n more requests have succeeded.
func (c *callers) waitForMore(n int) {
	c.f.t.Helper()
	want := c.completed() + n
	c.f.eventually(fmt.Sprintf("%d more requests ran", n), func() error {
		if got := c.completed(); got < want {
			return fmt.Errorf("%d of %d", got, want)
		}
		return nil
	})
}

// checkOutcomes compares the answers with the starts at the targets: no key ran
// twice, each key answered with "ran" ran once, and no key ran whose last answer
// is "not-run".
func (c *callers) checkOutcomes(t *testing.T) {
	t.Helper()
	startCounts := c.f.startCounts()
	ok := 0
	for _, h := range c.requests {
		n := startCounts[h.key]
		if n > 1 {
			t.Errorf("key %s ran %d times: %v", h.key, n, h.answers)
		}
		if h.last().outcome == "not-run" && n > 0 {
			t.Errorf("key %s ran, but its answers are %v", h.key, h.answers)
		}
		if h.succeeded() {
			ok++
			if n != 1 {
				t.Errorf("key %s ran %d times, answered %v", h.key, n, h.answers)
			}
		}
	}
	t.Logf("%d requests, %d ran", len(c.requests), ok)
}

// checkAllRan checks that each request succeeded. It does not count the runs, as
// idempotent requests may run again.
func (c *callers) checkAllRan(t *testing.T) {
	t.Helper()
	for _, h := range c.requests {
		if !h.succeeded() {
			t.Errorf("%s %s did not complete: %v", c.method, c.path, h.answers)
		}
	}
	t.Logf("%d requests", len(c.requests))
}
