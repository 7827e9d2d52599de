package doghttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
)

// counterSums implements Counters and sums the counts by name.
type counterSums struct {
	noop
	mu sync.Mutex
	n  map[string]int64
}

func (c *counterSums) add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name] += n
}

func (c *counterSums) CountAnswer(role Role, _, _ string, o dogwoodford.Outcome, _ dogwoodford.Reason, _ time.Duration) {
	c.add(fmt.Sprint("answered ", role, " ", o), 1)
}
func (c *counterSums) CountAttempt(_ Role, t dogwoodford.Target, n int) {
	c.add(fmt.Sprint("attempt ", n, " ", t.Node), 1)
}
func (c *counterSums) CountGuardDecision(reason dogwoodford.Reason, _ time.Duration) {
	c.add("guarded "+string(reason), 1)
}
func (c *counterSums) CountTargetCall(time.Duration) { c.add("served", 1) }
func (c *counterSums) CountBodyBytes(role Role, in, out int64) {
	c.add(fmt.Sprint("in ", role), in)
	c.add(fmt.Sprint("out ", role), out)
}

// Guards against counters that are never incremented.
func TestCounters(t *testing.T) {
	c := &counterSums{n: map[string]int64{}}
	m := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("answer"))
	})
	m.nodes[1].cfg.Counters = c
	m.targets = m.targets[1:]
	entry := httptest.NewServer(m.nodes[1].Entry())
	srv := entry.URL
	if got := do(t, newRequest(t, "GET", srv+"/rounds/a", nil)); got != "200 ran - answer" {
		t.Fatal(got)
	}
	if got := do(t, newRequest(t, "PUT", srv+"/rounds/a", strings.NewReader("12345"))); got != "200 ran - answer" {
		t.Fatal(got)
	}
	m.flags["draining"] = true
	if got := do(t, newRequest(t, "GET", srv+"/rounds/a", nil)); got != "503 not-run draining -" {
		t.Fatal(got)
	}
	want := map[string]int64{
		"answered entry ran": 2, "answered entry not-run": 1, "attempt 1 rounds-2": 3,
		"guarded ": 2, "guarded draining": 1, "served": 2,
		"in entry": 5, "out entry": int64(2*len("answer") + len("not-run: draining\n")),
	}
	entry.Close() // Waits for the handlers, which may count after the answer.
	c.mu.Lock()
	defer c.mu.Unlock()
	if diff := cmp.Diff(want, c.n); diff != "" {
		t.Error(diff)
	}
}

// Guards against a refusal that leaves the request body unread on a connection,
// on which the next request then makes the server panic.
func TestRefusalBeforeTheBody(t *testing.T) {
	m := serveTarget(t, func(http.ResponseWriter, *http.Request) {})
	m.flags["cutoff"] = true
	for range 20 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(m.entry, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		br := bufio.NewReader(conn)
		for i := range 2 {
			fmt.Fprintf(conn, "POST /rounds/a HTTP/1.1\r\nHost: x\r\nDogwoodford-Customer: firm-1\r\n"+
				"Authorization: Bearer s3cret\r\nContent-Length: 5\r\n\r\n12345")
			resp, err := http.ReadResponse(br, nil)
			if got := describe(resp, err); got != "503 not-run overload -" {
				t.Fatalf("request %d: %s", i, got)
			}
			if resp.Close {
				break
			}
		}
		conn.Close()
	}
}
