package dogsidecar

import (
	"log/slog"
	"net/http"
	"sync"
	"time"
)

// progress holds the requests in progress at a node. It is safe for concurrent use.
type progress struct {
	mu      sync.Mutex
	started map[*http.Request]startedRequest
}

type startedRequest struct {
	part string // Part of the node that handles the request.
	at   time.Time
}

// Parts of a node that handle requests.
const (
	entryPart = "entry"
	guardPart = "guard"
)

func newProgress() *progress { return &progress{started: make(map[*http.Request]startedRequest)} }

// track returns a handler that counts the requests in progress in h.
func (p *progress) track(part string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.started[r] = startedRequest{part: part, at: time.Now()}
		p.mu.Unlock()
		defer func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.started, r)
		}()
		h.ServeHTTP(w, r)
	})
}

func (p *progress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.started)
}

// attrs returns the number of requests in progress in each part and the age of the
// oldest one.
func (p *progress) attrs(now time.Time) []slog.Attr {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int)
	var oldest time.Duration
	for _, s := range p.started {
		counts[s.part]++
		oldest = max(oldest, now.Sub(s.at))
	}
	return []slog.Attr{slog.Int(entryPart, counts[entryPart]), slog.Int(guardPart, counts[guardPart]),
		slog.Int64("oldest_ms", oldest.Milliseconds())}
}
