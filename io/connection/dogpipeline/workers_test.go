package dogpipeline

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestWorkers guards against a goroutine for each request, whose stack would have to grow
// again, against workers that pile up after many requests at the same time, and against
// workers that outlast their server.
func TestWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		var mu sync.Mutex
		goroutines := make(map[string]bool)
		srv := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			id := goroutineID()
			mu.Lock()
			goroutines[id] = true
			mu.Unlock()
			time.Sleep(time.Second)
		})}
		go func() { _ = srv.Serve(ln) }()
		client, server := net.Pipe()
		ln.conns <- server
		br := bufio.NewReader(client)
		for range 20 {
			fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if _, err := http.ReadResponse(br, nil); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if len(goroutines) != 1 {
			t.Errorf("20 requests in sequence ran in %d goroutines", len(goroutines))
		}
		client.Close()
		for range 3 * maxIdleWorkers {
			c, s := net.Pipe()
			defer c.Close()
			ln.conns <- s
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		time.Sleep(time.Minute)
		if n := len(srv.workers.idle); n > maxIdleWorkers {
			t.Errorf("%d workers wait", n)
		}
		srv.Close()
		synctest.Wait() // The bubble fails if a worker is left.
	})
}

// goroutineID returns the name of the calling goroutine in its stack trace.
func goroutineID() string {
	var b [32]byte
	n := runtime.Stack(b[:], false)
	var id string
	_, _ = fmt.Sscanf(string(b[:n]), "goroutine %s", &id)
	return id
}
