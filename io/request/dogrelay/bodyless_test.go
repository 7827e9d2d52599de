package dogrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/internal/dogscript"
)

// TestBodylessMessages guards against an answer without a body that ends its connection, or
// becomes 502, though its request has run, and against a length that changes on the way.
func TestBodylessMessages(t *testing.T) {
	dogscript.RunLines(t, "testdata/bodyless.txtar", func() func(*testing.T, []string) string { return sendBodyless })
}

// sendBodyless returns what target and caller get, which must depend neither on the kind of
// the request nor on the nodes on the way.
func sendBodyless(t *testing.T, w []string) string {
	t.Helper()
	unescape(t, w)
	m := bodyless{method: w[0], fields: w[1], body: w[2], answer: rawAnswer(w[3], w[4], w[5])}
	var got []string
	for _, kind := range []string{"idempotent", "non-idempotent"} {
		for _, newNodes := range []func(*testing.T, rawResponse) (*testNode, *fakeTarget){oneNode, twoNodes, fromNode} {
			got = append(got, m.send(t, kind, newNodes))
		}
	}
	return strings.Join(slices.Compact(got), " | ")
}

// bodylessTimeout is the timeout of routes. No line of the data waits for it.
const bodylessTimeout = 10 * time.Second

// nextAnswer follows the answer that is tested.
var nextAnswer = rawAnswer("HTTP/1.1 200", "Content-Length: 4\r\n", "next")

// oneNode returns a node whose own target sends answer and then nextAnswer, and the target.
func oneNode(t *testing.T, answer rawResponse) (*testNode, *fakeTarget) {
	n := newTestNode(t, "entry", "rounds", "", bodylessTimeout)
	n.targets = []dogwoodford.Target{{Node: "entry", Service: "rounds", State: dogwoodford.StateReady}}
	n.target.raw = []rawResponse{answer, nextAnswer}
	return n, n.target
}

// twoNodes is like oneNode, but the target is beside another node.
func twoNodes(t *testing.T, answer rawResponse) (*testNode, *fakeTarget) {
	n := newTestNode(t, "entry", "billing", "refuse", bodylessTimeout)
	guard := newTestNode(t, "guard", "rounds", "", bodylessTimeout)
	n.addGuards(guard)
	n.targets[0].Peer = listen(t, guard.relay.Guard())
	guard.target.raw = []rawResponse{answer, nextAnswer}
	return n, guard.target
}

// fromNode is like twoNodes, but the target takes the place of the other node.
func fromNode(t *testing.T, answer rawResponse) (*testNode, *fakeTarget) {
	n, target := twoNodes(t, answer)
	n.targets[0].Peer = target.addr
	return n, target
}

// bodyless is a request and its answer, of which one or both have no body.
type bodyless struct {
	method, fields, body string
	answer               rawResponse
}

// send sends the request and a GET over one connection, and returns what target and caller
// get.
func (m bodyless) send(t *testing.T, kind string, newNodes func(*testing.T, rawResponse) (*testNode, *fakeTarget)) string {
	t.Helper()
	n, target := newNodes(t, m.answer)
	c, err := net.Dial("tcp", listen(t, n.relay.Entry()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	answer := exchangeOn(c, br, m.method, kind, m.fields, m.body)
	next := exchangeOn(c, br, http.MethodGet, kind, "", "")
	target.mu.Lock()
	defer target.mu.Unlock()
	received := ""
	if len(target.bodies) > 0 {
		received = target.bodies[0]
	}
	return fmt.Sprintf("target %q; caller %s, %s; %d ran", received, answer, next, len(target.requests))
}

// exchangeOn sends a request on c and returns the status, the declared length and the body of
// its answer.
func exchangeOn(c net.Conn, br *bufio.Reader, method, kind, fields, body string) string {
	if _, err := fmt.Fprintf(c, "%s /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt: a1\r\n%s\r\n%s", method, kind, fields, body); err != nil {
		return "closed"
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return "closed"
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken off"
	}
	return fmt.Sprintf("%d %s[%s]", resp.StatusCode, resp.Header.Get("Content-Length"), data)
}
