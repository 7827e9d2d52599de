package dogrelay

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"dogwoodford/core/process/dogadmit"
	"dogwoodford/io/connection/dogpipeline"
	"dogwoodford/io/request/doggate"
)

// TestQueuedCallerLeft guards against a guard that sends a queued call with a body to its
// target although the entry has left meanwhile (GONE).
func TestQueuedCallerLeft(t *testing.T) {
	for _, size := range []int{4, 60000} {
		guard := newTestNode(t, "guard", "rounds", "slow", 5*time.Second)
		guard.relay.cfg.Gate = doggate.NewGate(dogadmit.New(dogadmit.Options{Slots: 1, MinLimit: 1, Rand: rand.New(rand.NewPCG(1, 2))}))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := &dogpipeline.Server{Handler: guard.relay.Guard()}
		defer srv.Close()
		go func() { _ = srv.Serve(ln) }()
		var queued []net.Conn
		for i := range 4 {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\n%s: a%d\r\n%s: 1 0 5000 1 0 0 0 %d sheet 127.0.0.1:1 rounds billing\r\nContent-Length: %d\r\n\r\n%s",
				testHeaders.Attempt, i, headerCall, i+1, size, strings.Repeat("x", size))
			if i > 0 {
				queued = append(queued, c)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, c := range queued {
			c.Close()
		}
		time.Sleep(time.Second)
		guard.target.mu.Lock()
		n := guard.target.begun
		guard.target.mu.Unlock()
		if n != 1 {
			t.Errorf("bodies of %d bytes: %d calls at the target, want the one whose caller waits", size, n)
		}
		if n := guard.relay.buffers.used.Load(); n != 0 {
			t.Errorf("bodies of %d bytes: %d bytes are still reserved", size, n)
		}
	}
}
