package loadtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// ErrWay is returned for a malformed way.
var ErrWay = eris.New("a way is NAME=URL")

// maxLatency bounds the histograms; longer latencies count as this long.
const maxLatency = time.Minute

// Way is one way to the target.
type Way struct {
	Name string
	URL  string
}

// ParseWay parses NAME=URL.
func ParseWay(s string) (Way, error) {
	name, url, ok := strings.Cut(s, "=")
	if !ok || name == "" || !strings.HasPrefix(url, "http://") {
		return Way{}, fmt.Errorf("parse %q: %w", s, ErrWay)
	}
	return Way{Name: name, URL: url}, nil
}

// Config describes a run.
type Config struct {
	Ways       []Way // The first is the baseline.
	Rate       float64
	Duration   time.Duration
	Warmup     time.Duration // Requests due in this time are not counted.
	Header     http.Header
	Concurrent int // Bound on requests in progress per way; 0 means 1000.
	Timeout    time.Duration
	// Transport takes the place of the transport of each way, for tests.
	Transport http.RoundTripper
}

// Result is what was measured of one way. Times are in milliseconds.
type Result struct {
	Name     string  `json:"name"`
	Sent     int64   `json:"sent"`
	OK       int64   `json:"ok"`
	Failed   int64   `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
	AddedP50 float64 `json:"added_p50_ms"` // Above the baseline.
	AddedP99 float64 `json:"added_p99_ms"`
	// AddedP999 is above the baseline's p99.9.
	AddedP999 float64 `json:"added_p999_ms"`
}

// Report is the result of a run.
type Report struct {
	Rate    float64  `json:"rate_per_way"`
	Seconds float64  `json:"seconds"`
	Calls   int64    `json:"calls"` // On all ways, the warm-up included.
	Results []Result `json:"results"`
	Usage   []Usage  `json:"usage,omitempty"`
}

// lane sends the requests of one way.
type lane struct {
	way    Way
	client *http.Client
	slots  chan struct{}

	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	sent   int64
	ok     int64
	failed int64
}

func newLane(w Way, cfg Config) *lane {
	n := cfg.Concurrent
	if n <= 0 {
		n = 1000
	}
	transport := cfg.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: n, MaxConnsPerHost: n}
	}
	return &lane{
		way:    w,
		client: &http.Client{Timeout: cfg.Timeout, Transport: transport},
		slots:  make(chan struct{}, n),
		hist:   hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// Run sends requests until the duration is over or ctx ends, and waits for the
// answers.
func Run(ctx context.Context, cfg Config) Report {
	lanes := make([]*lane, len(cfg.Ways))
	for i, w := range cfg.Ways {
		lanes[i] = newLane(w, cfg)
	}
	start := time.Now()
	counted := start.Add(cfg.Warmup)
	end := counted.Add(cfg.Duration)
	step := time.Duration(float64(time.Second) / cfg.Rate / float64(len(lanes)))
	var wg sync.WaitGroup
	var calls int64
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * step)
		if due.After(end) || !sleepUntil(ctx, due) {
			break
		}
		l := lanes[i%len(lanes)]
		calls++
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(ctx, cfg, due, !due.Before(counted))
		}()
	}
	wg.Wait()
	rep := report(cfg, lanes)
	rep.Calls = calls
	return rep
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send makes one request. Its latency counts from due.
func (l *lane) send(ctx context.Context, cfg Config, due time.Time, count bool) {
	l.slots <- struct{}{}
	defer func() { <-l.slots }()
	ok := l.request(ctx, cfg.Header)
	d := min(time.Since(due), maxLatency)
	if !count {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if !ok {
		l.failed++
		return
	}
	l.ok++
	// Values are bounded above, so that the histogram takes each of them.
	_ = l.hist.RecordValue(max(d.Microseconds(), 1))
}

func (l *lane) request(ctx context.Context, header http.Header) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.way.URL, nil)
	if err != nil {
		return false
	}
	req.Header = header.Clone()
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func report(cfg Config, lanes []*lane) Report {
	rep := Report{Rate: cfg.Rate, Seconds: cfg.Duration.Seconds()}
	ms := func(l *lane, q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1000 }
	base := lanes[0]
	for _, l := range lanes {
		rep.Results = append(rep.Results, Result{
			Name: l.way.Name, Sent: l.sent, OK: l.ok, Failed: l.failed,
			P50: ms(l, 50), P99: ms(l, 99), P999: ms(l, 99.9), Max: float64(l.hist.Max()) / 1000,
			AddedP50: ms(l, 50) - ms(base, 50), AddedP99: ms(l, 99) - ms(base, 99),
			AddedP999: ms(l, 99.9) - ms(base, 99.9),
		})
	}
	return rep
}

// WriteTable writes the report as tables.
func (r Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "way\tsent\tok\tfailed\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\tadded p50\tadded p99\tadded p99.9\t")
	for _, v := range r.Results {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", v.Name, v.Sent, v.OK, v.Failed,
			v.P50, v.P99, v.P999, v.Max, v.AddedP50, v.AddedP99, v.AddedP999)
	}
	if len(r.Usage) > 0 {
		fmt.Fprintln(tw, "\nprocess\tCPU s\tus a call\tallocations a call\tbytes a call\theap MB\tRSS MB\t")
	}
	for _, u := range r.Usage {
		fmt.Fprintf(tw, "%s\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", u.Name, u.CPUSeconds, u.CPUPerCall*1e6,
			u.AllocsPerCall, u.BytesPerCall, u.HeapMB, u.RSSMB)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
