package fakeload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row holds the results of the customer requests of one class.
type Row struct {
	Class     string  `json:"class"`
	Asked     int     `json:"asked"`
	Completed int     `json:"completed"`
	Refused   int     `json:"refused"`
	Unknown   int     `json:"unknown"`
	Failed    int     `json:"failed"`
	Attempts  int     `json:"attempts"` // Including resends.
	P50       float64 `json:"p50_ms"`   // Latency of completed requests.
	P99       float64 `json:"p99_ms"`
	// Reasons counts the requests that did not complete, by reason.
	Reasons map[string]int `json:"reasons,omitempty"`

	latency *hdrhistogram.Histogram
}

// Second counts the requests that were due in one second of the run.
type Second struct {
	At        int `json:"at"`
	Asked     int `json:"asked"`
	Completed int `json:"completed"`
}

// Report is the result of a run.
type Report struct {
	Rows    []Row    `json:"rows"`
	Total   Row      `json:"total"`
	Seconds []Second `json:"seconds"`
	// Unsent counts the requests that the generator did not send because too
	// many were in progress. Asked does not include them.
	Unsent int `json:"unsent"`
}

// result is the result of a customer request or of one attempt. The package
// comment defines its values.
type result int

const (
	completed result = iota
	refused
	unknown
	failed
)

// collector accumulates results. Its methods are safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	rows    map[string]*Row
	total   *Row
	seconds map[int]*Second // By second since the start.
	unsent  int             // Only changed by the goroutine of Run.
}

func newCollector() *collector {
	return &collector{rows: make(map[string]*Row), total: newRow("total"), seconds: make(map[int]*Second)}
}

func newRow(class string) *Row {
	// From 10 us to 10 minutes in units of 10 us, with three significant digits.
	return &Row{Class: class, Reasons: make(map[string]int), latency: hdrhistogram.New(1, 60_000_000, 3)}
}

// add counts a customer request that was due at the time sent since the start.
func (c *collector) add(class string, sent time.Duration, res result, reason string, attempts int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows[class] == nil {
		c.rows[class] = newRow(class)
	}
	c.rows[class].add(res, reason, attempts, took)
	c.total.add(res, reason, attempts, took)
	at := int(sent / time.Second)
	if c.seconds[at] == nil {
		c.seconds[at] = &Second{At: at}
	}
	c.seconds[at].Asked++
	if res == completed {
		c.seconds[at].Completed++
	}
}

func (r *Row) add(res result, reason string, attempts int, took time.Duration) {
	r.Asked++
	r.Attempts += attempts
	switch res {
	case completed:
		r.Completed++
		// A value above the range is counted, but not included in the quantiles.
		_ = r.latency.RecordValue(int64(took / (10 * time.Microsecond)))
		return
	case refused:
		r.Refused++
	case unknown:
		r.Unknown++
	case failed:
		r.Failed++
	}
	r.Reasons[reason]++
}

// finish sets the quantiles and returns a copy of the row.
func (r *Row) finish() Row {
	r.P50 = float64(r.latency.ValueAtQuantile(50)) / 100
	r.P99 = float64(r.latency.ValueAtQuantile(99)) / 100
	return *r
}

func (c *collector) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := Report{Total: c.total.finish(), Unsent: c.unsent}
	for _, class := range slices.Sorted(maps.Keys(c.rows)) {
		rep.Rows = append(rep.Rows, c.rows[class].finish())
	}
	for _, at := range slices.Sorted(maps.Keys(c.seconds)) {
		rep.Seconds = append(rep.Seconds, *c.seconds[at])
	}
	return rep
}

// WriteTable writes the report as a table with a row for each class, followed by
// the reasons.
func (r Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "class\tasked\tcompleted\trefused\tunknown\tfailed\tattempts\tp50 ms\tp99 ms\t")
	for _, row := range append(slices.Clone(r.Rows), r.Total) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", row.Class, row.Asked, row.Completed,
			row.Refused, row.Unknown, row.Failed, row.Attempts, row.P50, row.P99)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Total.Reasons)) {
		fmt.Fprintf(w, "  %-20s %d\n", reason, r.Total.Reasons[reason])
	}
	if r.Unsent > 0 {
		fmt.Fprintf(w, "held back by the generator: %d\n", r.Unsent)
	}
	return nil
}
