package dogrelay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/version/dogtable"
)

// TestForwardedRequest guards against requests that are changed on the way to the
// target, that carry the service a caller claims instead of the real one, or that
// lack the ID of the expected instance.
func TestForwardedRequest(t *testing.T) {
	for _, uri := range []string{"/upload/x?q=1", "/upload/a|b^\"{}\xff%7C?", "/upload//%2f/\u00e9?q=|"} {
		checkForwarded(t, uri)
	}
}

// checkForwarded checks what a target gets of a request with this URI.
func checkForwarded(t *testing.T, uri string) {
	t.Helper()
	entry := newTestNode(t, "entry", "billing", "refuse", time.Second)
	guard := newTestNode(t, "guard", "rounds", "ok", time.Second)
	entry.addGuards(guard)
	c, err := net.Dial("tcp", entry.entry.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: a1\r\n%s: forged\r\nIdempotency-Key: k\r\nContent-Length: 7\r\n\r\npayload",
		uri, testHeaders.Attempt, testHeaders.Caller)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%q: response %v, error %v", uri, resp, err)
	}
	resp.Body.Close()
	r := guard.target.requests[0]
	got := []string{r.Method, r.Host, r.RequestURI, guard.target.bodies[0], r.Header.Get(testHeaders.Attempt),
		r.Header.Get(testHeaders.Caller), r.Header.Get(testHeaders.ExpectInstance), r.Header.Get("Idempotency-Key")}
	if diff := cmp.Diff([]string{"POST", "h", uri, "payload", "a1", "billing", "i-1", "k"}, got); diff != "" {
		t.Errorf("request at the target (-want +got):\n%s", diff)
	}
	for name := range r.Header {
		if dogcall.IsReservedHeader(name) {
			t.Errorf("the target sees the header %s", name)
		}
	}
}

// TestHeaderRoundTrip guards against formatting and parsing the fields between
// nodes in a different order.
func TestHeaderRoundTrip(t *testing.T) {
	n := newTestNode(t, "node", "rounds", "ok", time.Second)
	now := time.Now()
	c := &call{
		id: "a1.b2", service: "all rounds", caller: "billing\n", kind: dogtable.Upload, attempt: 2,
		deadline: now.Add(300 * time.Millisecond),
		lineage:  lineage{root: "a1", class: "time sheet 100%" + strings.Repeat("x", 1000), priority: 5, hop: 1, retried: true},
		content:  contentOf("billing\n", 1<<63-1), cleared: true,
	}
	r, err := http.NewRequest("GET", "http://h/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(testHeaders.Attempt, c.id)
	n.relay.formatCall(r.Header, c, now)
	got, err := n.relay.parseCall(r, now)
	if err != nil {
		t.Fatal(err)
	}
	got.source = nil
	if diff := cmp.Diff(c, got, cmp.AllowUnexported(call{}, lineage{})); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
	res := &result{
		outcome: dogwoodford.OutcomeNotRun, reason: dogwoodford.ReasonOverload, retryAfter: 1200 * time.Millisecond,
		childFailed: true, load: &dogwoodford.Load{InFlight: 1, Queued: 2, Limit: 3, Cutoff: 4, ServiceTime: 6 * time.Millisecond},
		downstreamCutoff: 5,
	}
	h := make(http.Header)
	formatAnswer(h, res, 7)
	parsed, version, err := parseAnswer(h)
	if err != nil || version != 7 {
		t.Fatalf("version %d, error %v", version, err)
	}
	if diff := cmp.Diff(res, parsed, cmp.AllowUnexported(result{})); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestPace guards against an answer that is rejected for its service time, which nodes
// of earlier builds do not send, and against one that no target has.
func TestPace(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "x": 0, "-1": 0, "1500": 1500 * time.Microsecond, "9223372036854775807": 0,
	} {
		h := make(http.Header)
		formatAnswer(h, &result{load: &dogwoodford.Load{Limit: 3}}, 7)
		if text != "" {
			h.Set(headerPace, text)
		}
		res, _, err := parseAnswer(h)
		if err != nil || res.load.ServiceTime != want {
			t.Errorf("service time %q: %v, error %v, want %v", text, res.load.ServiceTime, err, want)
		}
	}
}

// TestEndToEnd guards against forwarding hop-by-hop headers or headers between
// nodes, and against dropping others.
func TestEndToEnd(t *testing.T) {
	in := http.Header{
		"Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		dogcall.HeaderReason: {"x"}, "X-Seal": {"s"}, "Content-Type": {"a/b"}, "Cookie": {"a", "b"},
	}
	want := http.Header{"X-Seal": {"s"}, "Content-Type": {"a/b"}, "Cookie": {"a", "b"}}
	if diff := cmp.Diff(want, endToEnd(in)); diff != "" {
		t.Errorf("copied headers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, keepEndToEnd(in)); diff != "" {
		t.Errorf("kept headers (-want +got):\n%s", diff)
	}
}

// FuzzParseCall guards against panics on headers of other nodes.
func FuzzParseCall(f *testing.F) {
	f.Add("1 1 300 1 2 0 0 9 sheet 10.0.0.1:1 rounds billing")
	f.Add("")
	h := New(Config{Headers: testHeaders, Fleet: &fakeDeps{}, Tables: new(dogtable.Holder)})
	f.Fuzz(func(_ *testing.T, text string) {
		r := &http.Request{Header: http.Header{headerCall: {text}}}
		if c, err := h.parseCall(r, time.Now()); err == nil {
			c.body = &body{}
			c.request()
		}
	})
}
