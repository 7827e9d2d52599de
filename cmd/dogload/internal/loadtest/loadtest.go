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
var ErrWay = eris.New("malformed way, want NAME=URL")

// maxLatency is the upper bound of the histograms; longer latencies are recorded
// as maxLatency.
const maxLatency = time.Minute

// Way is one way to reach the target: directly or through nodes.
type Way struct {
	Name string
	URL  string
}

// ParseWay parses NAME=URL. The scheme of the URL must be http.
func ParseWay(s string) (Way, error) {
	name, url, ok := strings.Cut(s, "=")
	if !ok || name == "" || !strings.HasPrefix(url, "http://") {
		return Way{}, fmt.Errorf("parse %q: %w", s, ErrWay)
	}
	return Way{Name: name, URL: url}, nil
}

// Config describes a run.
type Config struct {
	Ways          []Way // The first is the baseline.
	Rate          float64
	Duration      time.Duration
	Warmup        time.Duration // Requests due in this time are not counted.
	Header        http.Header
	MaxInProgress int // Maximum number of requests in progress per way; 0 means 1000.
	Timeout       time.Duration
	// Transport replaces the transport of each way, for tests.
	Transport http.RoundTripper
}

// Result holds the measurements of one way, without the warm-up. Latencies are
// in milliseconds.
type Result struct {
	Name     string  `json:"name"`
	Sent     int64   `json:"sent"`
	OK       int64   `json:"ok"`
	Failed   int64   `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
	AddedP50 float64 `json:"added_p50_ms"` // Difference from the quantile of the baseline.
	AddedP99 float64 `json:"added_p99_ms"`
	// AddedP999 is the difference from the p99.9 of the baseline.
	AddedP999 float64 `json:"added_p999_ms"`
}

// Report is the result of a run.
type Report struct {
	Rate    float64  `json:"rate_per_way"`
	Seconds float64  `json:"seconds"`
	Calls   int64    `json:"calls"` // On all ways, including the warm-up.
	Results []Result `json:"results"`
	Usage   []Usage  `json:"usage,omitempty"`
}

// sender sends the requests of one way and records their latencies.
type sender struct {
	way    Way
	client *http.Client
	slots  chan struct{}

	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	sent   int64
	ok     int64
	failed int64
}

func newSender(w Way, cfg Config) *sender {
	n := cfg.MaxInProgress
	if n <= 0 {
		n = 1000
	}
	transport := cfg.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: n, MaxConnsPerHost: n}
	}
	return &sender{
		way:    w,
		client: &http.Client{Timeout: cfg.Timeout, Transport: transport},
		slots:  make(chan struct{}, n),
		hist:   hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// Run sends requests until the warm-up and the duration have passed or ctx ends,
// waits for the answers, and returns the measurements.
func Run(ctx context.Context, cfg Config) Report {
	senders := make([]*sender, len(cfg.Ways))
	for i, w := range cfg.Ways {
		senders[i] = newSender(w, cfg)
	}
	start := time.Now()
	countFrom := start.Add(cfg.Warmup)
	end := countFrom.Add(cfg.Duration)
	interval := time.Duration(float64(time.Second) / cfg.Rate / float64(len(senders)))
	var wg sync.WaitGroup
	var calls int64
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.After(end) || !sleepUntil(ctx, due) {
			break
		}
		s := senders[i%len(senders)]
		calls++
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.send(ctx, cfg, due, !due.Before(countFrom))
		}()
	}
	wg.Wait()
	rep := report(cfg, senders)
	rep.Calls = calls
	return rep
}

// sleepUntil waits until t. It returns false if ctx ends first.
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

// send makes one request, once fewer than the maximum are in progress, and
// records it if count is true. Its latency counts from due.
func (s *sender) send(ctx context.Context, cfg Config, due time.Time, count bool) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	ok := s.request(ctx, cfg.Header)
	d := min(time.Since(due), maxLatency)
	if !count {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if !ok {
		s.failed++
		return
	}
	s.ok++
	// The latency is within the bounds of the histogram, so RecordValue cannot
	// fail.
	_ = s.hist.RecordValue(max(d.Microseconds(), 1))
}

// request makes one request and reports whether a complete answer with status
// 200 arrived.
func (s *sender) request(ctx context.Context, header http.Header) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.way.URL, nil)
	if err != nil {
		return false
	}
	req.Header = header.Clone()
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func report(cfg Config, senders []*sender) Report {
	rep := Report{Rate: cfg.Rate, Seconds: cfg.Duration.Seconds()}
	ms := func(s *sender, q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }
	baseline := senders[0]
	for _, s := range senders {
		rep.Results = append(rep.Results, Result{
			Name: s.way.Name, Sent: s.sent, OK: s.ok, Failed: s.failed,
			P50: ms(s, 50), P99: ms(s, 99), P999: ms(s, 99.9), Max: float64(s.hist.Max()) / 1000,
			AddedP50: ms(s, 50) - ms(baseline, 50), AddedP99: ms(s, 99) - ms(baseline, 99),
			AddedP999: ms(s, 99.9) - ms(baseline, 99.9),
		})
	}
	return rep
}

// WriteTable writes the latencies and the usage of processes as tables.
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
