package dogrelay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"dogwoodford/core/process/dogadmit"
	"dogwoodford/internal/dogscript"
	"dogwoodford/io/request/doggate"
)

// TestEndlessBodies guards against a node that runs out of memory because a faulty target
// sends bodies without end, while callers read slowly.
func TestEndlessBodies(t *testing.T) {
	const (
		requests    = 150
		timeout     = 30 * time.Second // The test closes the connections long before.
		bufferBytes = 8 << 20
		// maxHeapBytes is what both nodes and the target, which share this process, may
		// take: the bounds of both nodes for buffers, and what a node sets aside for a
		// request, twice.
		maxHeapBytes = 2*bufferBytes + requests*2*160<<10
	)
	entry := newTestNode(t, "entry", "billing", "refuse", timeout)
	guard := newTestNode(t, "guard", "rounds", "endless-sealed", timeout)
	guard.relay.cfg.Gate = doggate.NewGate(dogadmit.New(dogadmit.Options{Slots: 2 * requests, Rand: rand.New(rand.NewPCG(1, 2))}))
	guard.target.hold = make(chan struct{})
	entry.relay.buffers.limit, guard.relay.buffers.limit = bufferBytes, bufferBytes
	entry.addGuards(guard)
	before := liveBytes()
	var callers []net.Conn
	for i := range requests {
		c, err := net.Dial("tcp", entry.entry.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
		fmt.Fprintf(c, "GET /download/x HTTP/1.1\r\nHost: h\r\n%s: a%d\r\n\r\n", testHeaders.Attempt, i)
		eventually(timeout/2, func() bool { return guard.target.count() > i })
	}
	if n := guard.target.count(); n < requests {
		t.Errorf("%d requests reached the target, want %d", n, requests)
	}
	close(guard.target.hold)
	buffered := func() int64 { return entry.relay.buffers.used.Load() + guard.relay.buffers.used.Load() }
	if !eventually(timeout/2, func() bool { return buffered() > bufferBytes }) {
		t.Errorf("%d MB are buffered, want more than %d", buffered()>>20, bufferBytes>>20)
	}
	// Responses wait for their callers to read by then. What is allocated meanwhile only
	// adds to a sample.
	time.Sleep(time.Second)
	held := liveBytes() - before
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		held = min(held, liveBytes()-before)
	}
	if held > maxHeapBytes {
		t.Errorf("%d MB are held, want at most %d", held>>20, maxHeapBytes>>20)
	}
	if n := buffered(); n > 2*bufferBytes {
		t.Errorf("%d MB are buffered, want at most %d", n>>20, 2*bufferBytes>>20)
	}
	for _, c := range callers {
		c.Close()
	}
	if !eventually(timeout/2, func() bool { return buffered() == 0 }) {
		t.Errorf("%d bytes are reserved after the requests have ended", buffered())
	}
}

// eventually reports whether f returns true within d.
func eventually(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return int64(live[0].Value.Uint64())
}

// TestBufferedBodies guards against bodies that are changed by the bounds of buffers, and
// against reservations that are not given back. Each line of testdata/buffers.txtar has the
// bound of all buffers, the length of a body, whether it is declared, how much is
// buffered, whether the rest is streamed, and what is reserved.
func TestBufferedBodies(t *testing.T) {
	dogscript.RunLines(t, "testdata/buffers.txtar", func() func(*testing.T, []string) string { return bufferBody })
}

// bufferBody buffers a body and frees it.
func bufferBody(t *testing.T, words []string) string {
	t.Helper()
	var limit int64
	var length int
	var declared string
	if _, err := fmt.Sscan(strings.Join(words, " "), &limit, &length, &declared); err != nil {
		t.Fatal(err)
	}
	want := largeBody[:length]
	known := int64(length)
	if declared == "chunked" {
		known = -1
	}
	bs := &buffers{limit: limit}
	b, err := bs.read(iotest.HalfReader(bytes.NewReader(want)), known)
	if err != nil {
		t.Fatal(err)
	}
	out := fmt.Sprintf("%d streamed=%v reserved=%d", len(b.buffered), b.rest != nil, bs.used.Load())
	var whole bytes.Buffer
	if err := b.writeTo(&whole); err != nil || !bytes.Equal(want, whole.Bytes()) {
		t.Errorf("%s: the body is changed, error %v", words, err)
	}
	b.free()
	b.free()
	if n := bs.used.Load(); n != 0 {
		t.Errorf("%s: %d bytes are reserved at the end", words, n)
	}
	return out
}
