package loadtest

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestLatencyIncludesStall guards against coordinated omission: the latency of
// requests that are due while the target stalls must include their wait.
func TestLatencyIncludesStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := time.Now().Add(300 * time.Millisecond)
		stalled := roundTripFunc(func(*http.Request) (*http.Response, error) {
			time.Sleep(time.Until(release))
			return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
		})
		rep := Run(t.Context(), Config{
			Ways: []Way{{Name: "direct", URL: "http://127.0.0.1/"}}, Rate: 200, Duration: 200 * time.Millisecond,
			MaxInProgress: 1, Header: http.Header{}, Transport: stalled,
		})
		r := rep.Results[0]
		got := [...]int64{r.Sent, r.OK, rep.Calls}
		// Due at 0, 5, ..., 200 ms.
		if diff := cmp.Diff([...]int64{41, 41, 41}, got); diff != "" {
			t.Errorf("sent, ok, calls mismatch (-want +got):\n%s", diff)
		}
		// The median request was due at 100 ms and answered at 300 ms. A closed
		// loop would have measured only one slow request.
		if diff := cmp.Diff(200.0, r.P50, cmpopts.EquateApprox(0.01, 0)); diff != "" {
			t.Errorf("median mismatch (-want +got):\n%s", diff)
		}
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestParse guards against malformed ways and processes that are accepted.
func TestParse(t *testing.T) {
	for _, s := range []string{"", "direct", "=http://x", "a=ftp://x"} {
		if w, err := ParseWay(s); err == nil {
			t.Errorf("ParseWay(%q) = %v", s, w)
		}
	}
	for _, s := range []string{"", "n", "n=", "n=-1", "=12", "n=x,127.0.0.1:1"} {
		if p, err := ParseProcess(s); err == nil {
			t.Errorf("ParseProcess(%q) = %v", s, p)
		}
	}
}
