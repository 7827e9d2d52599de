package dogstatus

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFetch guards against a status that differs from the one served, and against
// responses of other servers that are accepted as a status.
func TestFetch(t *testing.T) {
	want := Status{
		Node: "rounds-1", Service: "rounds", State: "ready", Now: time.Unix(1_800_000_000, 0).UTC(),
		Contracts: []Contract{{Customer: "firm-1", Generation: 4, Source: "platform"}},
		Members:   []Member{{Node: "rounds-2", State: "draining", Peer: "127.0.0.1:7203"}},
		Ranges:    []Range{{Service: "billing", Number: 3, Epoch: 9, Owner: "billing-1", Witness: "billing-2"}},
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, Handler(func() Status { return want }))
	srv := httptest.NewServer(mux)
	defer srv.Close()
	got, err := Fetch(t.Context(), srv.Client(), strings.TrimPrefix(srv.URL, "http://"))
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("error %v; -want +got:\n%s", err, diff)
	}
	if got.Generation("firm-1") != 4 || got.Generation("firm-2") != 0 {
		t.Errorf("generations %d, %d, want 4, 0", got.Generation("firm-1"), got.Generation("firm-2"))
	}
	for name, answer := range map[string]string{"text": "hello", "other": `{"a":1}`} {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer))
		}))
		if _, err := Fetch(t.Context(), other.Client(), strings.TrimPrefix(other.URL, "http://")); !errors.Is(err, ErrBadResponse) {
			t.Errorf("%s: %v", name, err)
		}
		other.Close()
	}
	if _, err := Fetch(t.Context(), srv.Client(), strings.TrimPrefix(srv.URL, "http://")+"/none"); err == nil {
		t.Error("a response with status 404 is accepted as a status")
	}
}
