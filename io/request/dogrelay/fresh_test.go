package dogrelay

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFreshHeader guards against an age that arrives as a smaller one, and against numbers
// of another node that overflow and so stand for a moment in the future.
func TestFreshHeader(t *testing.T) {
	h := make(http.Header)
	FormatFresh(h, 7, 1200*time.Microsecond)
	version, age, ok, err := ParseFresh(h)
	if version != 7 || age != 2*time.Millisecond || !ok || err != nil {
		t.Errorf("got %d %v %v %v, want version 7 with an age of 2ms", version, age, ok, err)
	}
	for text, malformed := range map[string]bool{
		"": false, "7 9223372036854775807": false, "7 18446744073709551": false, "7 -1": true, "7": true, "7 1 1": true, "7 x": true,
	} {
		if _, _, ok, err := ParseFresh(http.Header{headerFresh: {text}}); ok || (err != nil) != malformed {
			t.Errorf("%q: used %v, error %v; want an error %v", text, ok, err, malformed)
		}
	}
}

// TestFreshAnswers guards against an entry that takes the moment of an answer, and not that
// before its question, for the moment that another node vouches for; against keys that are
// judged by another version than that of the table which routes the request; and against a
// header that reaches a caller.
func TestFreshAnswers(t *testing.T) {
	entry, guard := newTestNode(t, "entry", "billing", "refuse", time.Second), newTestNode(t, "guard", "rounds", "ok", time.Second)
	entry.addGuards(guard)
	asker, voucher := &fakeKeys{trusted: true, tokens: 1, now: time.Minute}, &fakeKeys{trusted: true, age: 3 * time.Second}
	voucher.told = func() { asker.now += time.Hour }
	for n, keys := range map[*testNode]*fakeKeys{entry: asker, guard: voucher} {
		n.relay.cfg.Tables.Offer(workspaceTable(t))
		n.relay.cfg.Keys = keys
	}
	entry.relay.cfg.Quotas = asker
	req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+entry.entry.Listener.Addr().String()+"/closed/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(testHeaders.Attempt, "a1")
	req.Header.Set(testHeaders.Key, "n1")
	resp, err := testClient.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get(headerFresh) != "" {
		t.Errorf("status %d, header to the caller %q; want 200 and none", resp.StatusCode, resp.Header.Get(headerFresh))
	}
	if diff := cmp.Diff([]string{"2 57s"}, asker.vouched); diff != "" || asker.version != 2 {
		t.Errorf("keys of version %d were asked for; vouched (-want +got):\n%s", asker.version, diff)
	}
}

// TestNoFreshHeader guards against a header between nodes that have no bound on the trust
// in keys.
func TestNoFreshHeader(t *testing.T) {
	h := make(http.Header)
	n := newTestNode(t, "node", "rounds", "ok", time.Second)
	n.relay.formatFresh(h)
	n.relay.cfg.Keys = &fakeKeys{}
	n.relay.formatFresh(h)
	if len(h) != 0 {
		t.Errorf("headers %v, want none", h)
	}
}
