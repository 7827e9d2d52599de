package dogpipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"dogwoodford/internal/dogscript"
)

// TestBodylessResponses guards against an empty write that fails, and against a response
// without a body that ends its connection or is followed by the bytes of one.
func TestBodylessResponses(t *testing.T) {
	dogscript.RunLines(t, "testdata/bodyless.txtar", func() func(*testing.T, []string) string { return serveBodyless })
}

// serveBodyless serves two requests on a connection, and returns what handler and client see
// of the second one.
func serveBodyless(t *testing.T, w []string) string {
	t.Helper()
	method, length, body := w[0], w[2], strings.TrimPrefix(w[3], "-")
	status, err := strconv.Atoi(w[1])
	if err != nil {
		t.Fatal(err)
	}
	wrote := make(chan string, 2)
	srv := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if length != "-" {
			w.Header().Set("Content-Length", length)
		}
		w.WriteHeader(status)
		n, err := io.WriteString(w, body)
		wrote <- fmt.Sprintf("wrote %d %v", n, err)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	var seen string
	for range 2 {
		if _, err := fmt.Fprintf(c, "%s /x HTTP/1.1\r\nHost: h\r\n\r\n", method); err != nil {
			return seen + "; closed"
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return seen + "; closed"
		}
		data, err := io.ReadAll(resp.Body)
		seen = fmt.Sprintf("%s; read %d %s%s[%s] %v",
			<-wrote, resp.StatusCode, resp.Header.Get("Content-Length"), strings.Join(resp.TransferEncoding, ""), data, err)
	}
	return seen
}
