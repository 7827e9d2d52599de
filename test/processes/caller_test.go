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

// result is the answer to one send.
type result struct {
	status          int
	outcome, reason string
	header          http.Header
	body            string
	err             error // No whole answer.
}

func (r result) String() string {
	return fmt.Sprintf("%d %s %s %v %.80s", r.status, r.outcome, r.reason, r.err, r.body)
}

// send sends one request to an entry. header holds pairs of name and value.
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

// history is what a caller was told about one request.
type history struct {
	key     string
	answers []result
}

func (h *history) last() result { return h.answers[len(h.answers)-1] }

func (h *history) ran() bool {
	r := h.last()
	return r.err == nil && r.outcome == "ran" && r.status == http.StatusOK
}

// callers send requests without pause until stop.
type callers struct {
	f        *fleet
	method   string
	path     string
	tries    int
	entries  func() []string // Entries that are in use.
	mu       sync.Mutex
	requests []*history
	wg       sync.WaitGroup
	cancel   context.CancelFunc
}

// callers starts n callers. Each sends a request until it ran, through one
// entry after the other with the same key, at most tries times.
func (f *fleet) callers(n, tries int, method, path string, entries func() []string) *callers {
	ctx, cancel := context.WithCancel(f.t.Context())
	c := &callers{f: f, method: method, path: path, tries: tries, entries: entries, cancel: cancel}
	f.t.Cleanup(c.stop)
	for i := range n {
		c.wg.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				c.one(i, j)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return c
}

// one sends one request to its end. Its content is one of ten, which become
// known, so that the rule of two targets does not stand in the way.
func (c *callers) one(i, j int) {
	h := &history{key: newKey()}
	for n := 1; n <= c.tries; n++ {
		entries := c.entries()
		entry := entries[(i+j+n)%len(entries)]
		header := []string{"Dogwoodford-Attempt", strconv.Itoa(n)}
		if c.method != http.MethodGet {
			header = append(header, "Dogwoodford-Key", h.key)
		}
		h.answers = append(h.answers, c.f.send(context.Background(), entry, c.method, c.path, fmt.Sprintf("body %d", j%10), header...))
		if h.ran() {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, h)
}

func (c *callers) stop() { c.cancel(); c.wg.Wait() }

// completed returns the number of requests that ran to their end so far.
func (c *callers) completed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range c.requests {
		if h.ran() {
			n++
		}
	}
	return n
}

// more waits until n further requests ran.
func (c *callers) more(n int) {
	c.f.t.Helper()
	want := c.completed() + n
	c.f.eventually(fmt.Sprintf("%d more requests ran", n), func() error {
		if got := c.completed(); got < want {
			return fmt.Errorf("%d of %d", got, want)
		}
		return nil
	})
}

// check compares what the callers were told with what ran: no key ran twice,
// each key answered "ran" ran, and none whose last answer is "not run" did.
func (c *callers) check(t *testing.T) {
	t.Helper()
	ran := c.f.ran()
	ok := 0
	for _, h := range c.requests {
		n := ran[h.key]
		if n > 1 {
			t.Errorf("key %s ran %d times: %v", h.key, n, h.answers)
		}
		if h.last().outcome == "not-run" && n > 0 {
			t.Errorf("key %s ran, its last answer is %v", h.key, h.answers)
		}
		if h.ran() {
			ok++
			if n != 1 {
				t.Errorf("key %s ran %d times, answered %v", h.key, n, h.answers)
			}
		}
	}
	t.Logf("%d requests, %d ran", len(c.requests), ok)
}

// whole checks that each request completed; idempotent ones may run again.
func (c *callers) whole(t *testing.T) {
	t.Helper()
	for _, h := range c.requests {
		if !h.ran() {
			t.Errorf("%s %s did not complete: %v", c.method, c.path, h.answers)
		}
	}
	t.Logf("%d requests", len(c.requests))
}
