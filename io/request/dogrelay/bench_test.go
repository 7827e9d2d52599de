package dogrelay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// BenchmarkHop measures one request through entry and guard on two nodes, for
// several body sizes in bytes. The figures include caller and target, which run
// in the same process.
func BenchmarkHop(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			entry := newTestNode(b, "entry", "billing", "refuse", time.Second)
			guard := newTestNode(b, "guard", "rounds", "ok", time.Second)
			entry.addGuards(guard)
			body := make([]byte, size)
			client := &http.Transport{MaxIdleConnsPerHost: 64}
			b.Cleanup(client.CloseIdleConnections)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				req, err := http.NewRequestWithContext(b.Context(), "POST", entry.entry.URL+"/idempotent/x", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "h"
				req.Header[testHeaders.Attempt] = []string{fmt.Sprint(n)}
				resp, err := client.RoundTrip(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("%v, error %v", resp, err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
				resp.Body.Close()
			}
		})
	}
}
