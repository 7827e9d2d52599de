package dogsidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/request/dogrelay"
)

// namedDialect is a plainDialect with names of headers.
type namedDialect struct{ plainDialect }

func (namedDialect) Headers() dogrelay.Headers {
	return dogrelay.Headers{
		Attempt: "X-Attempt", Deadline: "X-Left", Seal: "X-Seal", ExpectInstance: "X-Expect", NotExecuted: "X-Not-Run",
		Caller: "X-Caller", Rate: "X-Rate", Leaving: "X-Leaving",
	}
}

// recordingTarget serves a target that counts the requests it gets, by method.
type recordingTarget struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *recordingTarget) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				r.mu.Lock()
				r.runs[req.Method]++
				r.mu.Unlock()
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Attempt: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt"))
			}
		}()
	}
}

// Addresses of the node of TestGuardCallerLeft, which no other test uses.
const (
	guardInbound  = "127.77.1.1:7302"
	guardOutbound = "127.77.1.1:7301"
	guardReady    = "127.77.1.1:7303"
	guardControl  = "127.77.1.1:7304"
)

// TestGuardCallerLeft guards against a guard that is short of processor time and sends
// requests to its target whose entries had left before it came to read them (GONE).
func TestGuardCallerLeft(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	target := &recordingTarget{runs: make(map[string]int)}
	go target.serve(ln)
	settings := testSettings()
	settings.Target, settings.Advertised, settings.Inbound = ln.Addr().String(), guardInbound, guardInbound
	settings.Outbound, settings.Ready, settings.Control = guardOutbound, guardReady, guardControl
	n := newNode(settings, namedDialect{}, newFakeStore(), io.Discard)
	defer n.log.close()
	receiveHeartbeat(n.state, dogtarget.Heartbeat{
		ID: "i-1", Service: "rounds", Address: settings.Target, Born: 1, Sequence: 1, Slots: 100,
	})
	if err := n.listen(); err != nil {
		t.Fatal(err)
	}
	const calls = 40
	for i := range calls + 1 {
		c := sendCall(t, i, [...]string{http.MethodGet, http.MethodPost}[i%2])
		if i < calls {
			c.Close()
			continue
		}
		defer c.Close() // The last caller waits.
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := n.supervise(ctx)
	defer func() { cancel(); <-done }()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		target.mu.Lock()
		ran := target.runs[http.MethodGet] > 0
		target.mu.Unlock()
		if ran {
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	target.mu.Lock()
	defer target.mu.Unlock()
	if diff := cmp.Diff(map[string]int{http.MethodGet: 1}, target.runs); diff != "" {
		t.Errorf("requests at the target (-want +got):\n%s", diff)
	}
}

// sendCall sends a call of another node to the guard and returns the connection.
func sendCall(t *testing.T, i int, method string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", guardInbound)
	if err != nil {
		t.Fatal(err)
	}
	kind := 1 // Idempotent.
	body := ""
	if method == http.MethodPost {
		kind, body = 0, "Content-Length: 4\r\n\r\nbody"
	} else {
		body = "\r\n"
	}
	_, err = fmt.Fprintf(c, "%s /x HTTP/1.1\r\nHost: h\r\nX-Attempt: a%d\r\nDogwoodford-Call: 1 %d 5000 1 0 0 0 %d sheet 127.77.1.1:1 rounds billing\r\n%s",
		method, i, kind, i+1, body)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
