package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodford/platform/standin"
)

const (
	// crowdPerPort is the number of clients at each of the five listeners.
	crowdPerPort = 40
	// manyPerPort is the same for clients that hold connections rather than memory. Five
	// times as many exceed the descriptors of the process.
	manyPerPort = 150
	// endlessBytes is the number of bytes after which a client ends what is meant to be
	// endless. It is 64 times the limit of a header section.
	endlessBytes = 64 * maxHeaderBytes
	// stallTimeout is the time after which a client gives up writing to a process that
	// reads no more.
	stallTimeout = time.Second
)

// script is what one client sends. start is the request line with the headers of an
// ordinary request to its listener, without the empty line that ends them.
type script func(w io.Writer, start string) error

// starts returns the beginning of an ordinary request with this method, by listener.
func starts(get bool) map[int]string {
	const headers = " HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 5000\r\nAttempt-Id: %016x\r\n"
	if get {
		return map[int]string{
			portOutbound: "GET /a/x" + headers, portInbound: "GET /a/x" + headers, portReady: "GET /dogwoodford/ready" + headers,
			portControl: "GET /dogwoodford/instances/x" + headers, portMetrics: "GET /" + headers,
		}
	}
	return map[int]string{
		portOutbound: "POST /a/x" + headers, portInbound: "POST /a/x" + headers, portReady: "POST /dogwoodford/ready" + headers,
		portControl: "PUT /dogwoodford/instances/x" + headers, portMetrics: "POST /" + headers,
	}
}

// runCrowd lets perPort clients run s at each listener of a new process, and checks the
// process while they keep their connections open without reading from them.
func runCrowd(t *testing.T, perPort int, get bool, s script) {
	t.Helper()
	n := startNode(t)
	leave := n.startCrowd(t, perPort, get, s)
	n.check(t)
	leave()
}

// startCrowd is the part of runCrowd up to the check. The clients keep their connections
// until leave is called.
func (n *node) startCrowd(t *testing.T, perPort int, get bool, s script) (leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go n.countFds(ctx)
	var sending, holding sync.WaitGroup
	for port, start := range starts(get) {
		for range perPort {
			sending.Add(1)
			holding.Go(func() {
				conn, err := net.DialTimeout("tcp", at(port), stallTimeout)
				if err == nil {
					defer func() { _ = conn.Close() }()
					w := bufio.NewWriterSize(stallWriter{conn}, 4<<10)
					if s(w, fmt.Sprintf(start, rand.Uint64())) == nil { // Failures are refusals.
						_ = w.Flush()
					}
				}
				sending.Done()
				<-ctx.Done()
			})
		}
	}
	sending.Wait()
	time.Sleep(settleTime)
	return func() {
		cancel()
		holding.Wait()
	}
}

// settleTime is the time for which the crowd holds its connections before the check, so
// that the process has read what was sent.
const settleTime = 300 * time.Millisecond

// stallWriter fails if the other side reads nothing for stallTimeout.
type stallWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w stallWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// repeat writes pieces until n bytes are written. The piece may depend on its number.
func repeat(w io.Writer, n int, piece func(i int) string) error {
	for i := 0; n > 0; i++ {
		p := piece(i)
		if _, err := io.WriteString(w, p); err != nil {
			return err
		}
		n -= len(p)
	}
	return nil
}

// same returns a function that returns text.
func same(text string) func(int) string { return func(int) string { return text } }

// shortLines returns n bytes or a little more of short header lines, all different.
func shortLines(n int) string {
	var out strings.Builder
	for i := 0; out.Len() < n; i++ {
		fmt.Fprintf(&out, "%x:\r\n", i)
	}
	return out.String()
}

// endlessLines are the header lines of a section that is meant to be endless. They are made
// once, so that the crowd is as fast as the process under test.
var endlessLines = shortLines(endlessBytes)

// write writes all texts.
func write(w io.Writer, texts ...string) error {
	_, err := io.WriteString(w, strings.Join(texts, ""))
	return err
}

// TestLongHeads guards against memory that is taken by complete header sections over the
// limit.
func TestLongHeads(t *testing.T) {
	runCrowd(t, crowdPerPort, true, func(w io.Writer, start string) error {
		if err := write(w, start, "Filler: "); err != nil {
			return err
		}
		if err := repeat(w, endlessBytes, same(strings.Repeat("x", 64))); err != nil {
			return err
		}
		return write(w, "\r\n\r\n")
	})
}

// TestManyHeaders guards against memory that is taken by complete header sections of many
// short lines, which take much more memory than bytes.
func TestManyHeaders(t *testing.T) {
	runCrowd(t, crowdPerPort, true, func(w io.Writer, start string) error {
		return write(w, start, endlessLines, "\r\n")
	})
}

// TestEndlessHeaderLine guards against a header line without end.
func TestEndlessHeaderLine(t *testing.T) {
	runCrowd(t, crowdPerPort, true, func(w io.Writer, start string) error {
		if err := write(w, start, "Filler: "); err != nil {
			return err
		}
		return repeat(w, endlessBytes, same(strings.Repeat("x", 64)))
	})
}

// TestEndlessHeaderLines guards against header sections of short lines without end.
func TestEndlessHeaderLines(t *testing.T) {
	runCrowd(t, crowdPerPort, true, func(w io.Writer, start string) error {
		return write(w, start, endlessLines)
	})
}

// TestHalfHeads guards against memory and descriptors that are taken by many header
// sections within the limit of which each is half sent.
func TestHalfHeads(t *testing.T) {
	half := shortLines(maxHeaderBytes / 2)
	runCrowd(t, manyPerPort, true, func(w io.Writer, start string) error {
		return write(w, start, half)
	})
}

// TestSlowHeads guards against descriptors that are taken by header sections that arrive
// with one byte a second.
func TestSlowHeads(t *testing.T) {
	runCrowd(t, manyPerPort, true, func(w io.Writer, start string) error {
		for _, b := range []byte(start[:3]) {
			if err := flush(w, string(b)); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		return nil
	})
}

// flush writes text and sends it at once.
func flush(w io.Writer, text string) error {
	if err := write(w, text); err != nil {
		return err
	}
	if f, ok := w.(interface{ Flush() error }); ok {
		return f.Flush()
	}
	return nil
}

// TestEmptyLines guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) {
	runCrowd(t, crowdPerPort, true, func(w io.Writer, _ string) error {
		return repeat(w, endlessBytes, same("\r\n"))
	})
}

// TestSilentConnections guards against descriptors that are taken by connections that send
// nothing.
func TestSilentConnections(t *testing.T) {
	runCrowd(t, manyPerPort, true, func(io.Writer, string) error { return nil })
}

// TestEndlessBodies guards against memory that is taken by request bodies without end.
func TestEndlessBodies(t *testing.T) {
	runCrowd(t, crowdPerPort, false, func(w io.Writer, start string) error {
		if err := write(w, start, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		return repeat(w, 2<<20, same("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"))
	})
}

// TestSilentBodies guards against descriptors and places among the requests in progress that
// are taken by requests whose bodies never come.
func TestSilentBodies(t *testing.T) {
	runCrowd(t, manyPerPort, false, func(w io.Writer, start string) error {
		return write(w, start, "Content-Length: 1000\r\n\r\n")
	})
}

// TestEndlessChunkHeaders guards against a chunk size without end.
func TestEndlessChunkHeaders(t *testing.T) {
	runCrowd(t, crowdPerPort, false, func(w io.Writer, start string) error {
		if err := write(w, start, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		return repeat(w, endlessBytes, same("0"))
	})
}

// TestEndlessChunkExtensions guards against a chunk extension without end, and against many
// long ones.
func TestEndlessChunkExtensions(t *testing.T) {
	runCrowd(t, crowdPerPort, false, func(w io.Writer, start string) error {
		if err := write(w, start, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		if err := repeat(w, endlessBytes/2, same("1;"+strings.Repeat("e", 1000)+"\r\nx\r\n")); err != nil {
			return err
		}
		if err := write(w, "1;"); err != nil {
			return err
		}
		return repeat(w, endlessBytes/2, same("e"))
	})
}

// TestEndlessTrailers guards against trailers without end.
func TestEndlessTrailers(t *testing.T) {
	runCrowd(t, crowdPerPort, false, func(w io.Writer, start string) error {
		return write(w, start, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", endlessLines)
	})
}

// TestUnreadResponses guards against memory that is taken by pipelined requests whose
// responses, some of them long, are never read.
func TestUnreadResponses(t *testing.T) {
	runCrowd(t, manyPerPort, true, func(w io.Writer, start string) error {
		large := strings.Replace(start, "/a/x", "/a"+standin.LargePath, 1)
		return repeat(w, 2*endlessBytes, func(i int) string {
			if i%2 == 0 {
				return large + "\r\n"
			}
			return start + "\r\n"
		})
	})
}

// TestHeadsBehindSlowRequest guards against memory that is taken by complete requests whose
// header sections are long and that wait for the response to a slow one.
func TestHeadsBehindSlowRequest(t *testing.T) {
	long := shortLines(maxHeaderBytes - 512)
	runCrowd(t, manyPerPort, true, func(w io.Writer, start string) error {
		slow := strings.Replace(start, "/a/x", "/a"+standin.LongPath, 1)
		if err := write(w, slow, "\r\n"); err != nil {
			return err
		}
		return repeat(w, 32*maxHeaderBytes, same(start+long+"\r\n"))
	})
}

// TestForeignBytes guards against clients that speak another protocol: half of them send
// the greeting of TLS, the others random bytes.
func TestForeignBytes(t *testing.T) {
	runCrowd(t, crowdPerPort, true, func(w io.Writer, _ string) error {
		if rand.IntN(2) == 0 {
			// A record of the type handshake that announces 512 bytes of client hello.
			return write(w, "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", strings.Repeat("\x00", 500))
		}
		return repeat(w, endlessBytes, func(int) string { return string([]byte{byte(rand.Uint32())}) })
	})
}

// TestNoDescriptorsLeft guards against a listener that accepts no more once it lacked
// descriptors: here the system permits fewer than the settings say.
func TestNoDescriptorsLeft(t *testing.T) {
	const permitted = 120
	n := startNode(t)
	limit := unix.Rlimit{Cur: permitted, Max: permitted}
	if err := unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	n.startCrowd(t, manyPerPort, true, func(io.Writer, string) error { return nil })()
	n.check(t)
}

// TestLargestHead guards against bounds that a client within the limits meets: its header
// section is as long as the configuration permits, of lines as short as can be.
func TestLargestHead(t *testing.T) {
	startNode(t)
	conn, err := net.Dial("tcp", at(portOutbound))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := fmt.Sprintf(starts(true)[portOutbound], rand.Uint64())
	const longestLine = 8
	head := start + shortLines(maxHeaderBytes-len(start)-longestLine) + "\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("a head of %d bytes is answered %s, want 200", len(head), resp.Status)
	}
}
