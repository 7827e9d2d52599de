package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a client with what the client got.
type attempt struct {
	id, method, path string
	machine          *machine
	at               time.Time
	status           int // 0 if the connection ended without a complete answer.
	seal             string
	body             []byte
	err              error
	took             time.Duration
	partial          int // Bytes of the body that arrived before the connection ended.
}

func (a attempt) String() string {
	return fmt.Sprintf("%s %s %s at %s: status %d, error %v", a.id, a.method, a.path, a.machine.name, a.status, a.err)
}

var ids atomic.Int64

// send makes one attempt on a new connection, or on one that is kept.
func send(m *machine, method, path, body string, deadline time.Duration, c *http.Client) attempt {
	a := attempt{id: fmt.Sprintf("a%07x", ids.Add(1)), method: method, path: path, machine: m, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.at(m.p.outbound)+path, strings.NewReader(body))
	req.GetBody = nil
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	m.rec.log("send   %s %s %s to %s", a.id, method, path, m.name)
	resp, err := c.Do(req)
	if err == nil {
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.partial = len(a.body)
		a.seal = resp.Header.Get("Response-Seal")
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.at)
	m.rec.log("got    %s: status %d, %d bytes, error %v", a.id, a.status, len(a.body), err)
	return a
}

// newClient returns an HTTP client. Without keep each attempt has a new connection.
func newClient(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 16}}
}

// traffic is a stream of attempts at several machines.
type traffic struct {
	mu       sync.Mutex
	attempts []attempt
	stop     chan struct{}
	samePath bool // All attempts have the same path.
	wg       sync.WaitGroup
}

// start sends attempts at each machine every interval until end is called.
func (t *traffic) start(machines []*machine, interval time.Duration, method, path, body string, deadline time.Duration) {
	if t.stop == nil {
		t.stop = make(chan struct{})
	}
	for i, m := range machines {
		t.wg.Go(func() {
			c := newClient(true)
			defer c.CloseIdleConnections()
			time.Sleep(interval * time.Duration(i) / time.Duration(len(machines)))
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-t.stop:
					return
				case <-tick.C:
				}
				t.wg.Go(func() { t.add(send(m, method, t.path(path), body, deadline, c)) })
			}
		})
	}
}

// path returns the path of the next attempt.
func (t *traffic) path(prefix string) string {
	if t.samePath {
		return prefix
	}
	return prefix + strconv.FormatInt(ids.Load(), 16)
}

func (t *traffic) add(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
}

// end ends the stream and waits for the answers.
func (t *traffic) end() {
	close(t.stop)
	t.wg.Wait()
}

// between returns the attempts that were sent in a span of time.
func (t *traffic) between(from, to time.Time) []attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []attempt
	for _, a := range t.attempts {
		if !a.at.Before(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// served returns the number of attempts that were answered with success.
func served(list []attempt) int {
	n := 0
	for _, a := range list {
		if a.status/100 == 2 && a.seal == seal(a.id, a.body) {
			n++
		}
	}
	return n
}
