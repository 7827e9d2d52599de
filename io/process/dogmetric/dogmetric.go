package dogmetric

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter       Kind = "counter"        // An integer that only increases.
	Gauge         Kind = "gauge"          // A current integer value.
	Labelled      Kind = "labelled"       // A counter for each label.
	LabelledGauge Kind = "labelled-gauge" // A gauge for each label.
	Latency       Kind = "latency"        // The count, quantiles and maximum of durations.
)

// MaxLabels is the maximum number of distinct labels of one metric. Further labels
// are counted under OtherLabel, so that callers cannot exhaust the memory.
const MaxLabels = 512

// OtherLabel is the label that stands for all labels beyond MaxLabels.
const OtherLabel = "other"

// Metric is one entry of the table of metrics.
type Metric struct {
	index int
	name  string
	kind  Kind
	unit  string
}

// Name returns the name, which is also the name of the expvar variable.
func (m Metric) Name() string { return m.name }

// Kind returns the kind.
func (m Metric) Kind() Kind { return m.kind }

// Unit returns the unit of the values or, for labelled metrics, what the labels
// name.
func (m Metric) Unit() string { return m.unit }

var table []Metric

func define(name string, kind Kind, unit string) Metric {
	for _, m := range table {
		if m.name == name {
			panic("dogmetric: metric " + name + " is defined twice")
		}
	}
	m := Metric{index: len(table), name: name, kind: kind, unit: unit}
	table = append(table, m)
	return m
}

// Metrics returns all metrics in the order of the table.
func Metrics() []Metric { return append([]Metric(nil), table...) }

// Set holds the values of all metrics of one node. It is safe for concurrent use.
type Set struct {
	vars  []expvar.Var
	root  *expvar.Map
	start time.Time
}

// NewSet returns a set in which all values are zero.
func NewSet() *Set {
	s := &Set{root: new(expvar.Map), start: time.Now()}
	for _, m := range table {
		var v expvar.Var
		switch m.kind {
		case Labelled, LabelledGauge:
			v = new(labelledInts)
		case Latency:
			v = newLatency()
		default:
			v = new(expvar.Int)
		}
		s.vars = append(s.vars, v)
		s.root.Set(m.name, v)
	}
	s.root.Set("process", expvar.Func(s.process))
	return s
}

// Add adds n to a counter or gauge. It panics for other kinds.
func (s *Set) Add(m Metric, n int64) { s.number(m).Add(n) }

// Store sets a gauge to n. It panics for other kinds.
func (s *Set) Store(m Metric, n int64) {
	if m.kind != Gauge {
		panic("dogmetric: Store of " + m.name + ", which is not a gauge")
	}
	s.number(m).Set(n)
}

// AddTo adds n to the counter or gauge of one label. It panics for metrics without
// labels.
func (s *Set) AddTo(m Metric, label string, n int64) { s.labelled(m).get(label).Add(n) }

// StoreTo sets the gauge of one label to n. It panics for other kinds than
// LabelledGauge.
func (s *Set) StoreTo(m Metric, label string, n int64) {
	if m.kind != LabelledGauge {
		panic("dogmetric: StoreTo of " + m.name + ", which is not a labelled gauge")
	}
	s.labelled(m).get(label).Set(n)
}

// Observe records a duration; one over 10 minutes is recorded as 10 minutes. It
// panics if m is not of kind Latency.
func (s *Set) Observe(m Metric, d time.Duration) {
	l, ok := s.vars[m.index].(*latency)
	if !ok {
		panic("dogmetric: Observe of " + m.name + ", which is not a latency")
	}
	l.observe(d)
}

// Value returns the value of a counter or gauge. It panics for other kinds.
func (s *Set) Value(m Metric) int64 { return s.number(m).Value() }

// ValueOf returns the value of one label. It panics for metrics without labels.
func (s *Set) ValueOf(m Metric, label string) int64 { return s.labelled(m).get(label).Value() }

func (s *Set) number(m Metric) *expvar.Int {
	v, ok := s.vars[m.index].(*expvar.Int)
	if !ok {
		panic("dogmetric: " + m.name + " is neither a counter nor a gauge")
	}
	return v
}

func (s *Set) labelled(m Metric) *labelledInts {
	v, ok := s.vars[m.index].(*labelledInts)
	if !ok {
		panic("dogmetric: " + m.name + " has no labels")
	}
	return v
}

// Handler returns a handler that serves all values as one JSON object.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintln(w, s.root.String())
	})
}

// Publish publishes the set as the expvar variable "dogwoodford". It panics if it
// is called twice in one process.
func (s *Set) Publish() { expvar.Publish("dogwoodford", s.root) }

// process returns values that describe the process. It does not call
// runtime.ReadMemStats, which stops all goroutines.
func (s *Set) process() any {
	return map[string]any{
		"goroutines": runtime.NumGoroutine(),
		"uptime_s":   int64(time.Since(s.start).Seconds()),
		"go":         runtime.Version(),
	}
}

// labelledInts is an expvar.Map of integers with a limit on the number of labels.
type labelledInts struct {
	values  expvar.Map
	byLabel sync.Map // Maps each label (string) to its *expvar.Int.
	n       atomic.Int64
}

func (l *labelledInts) String() string { return l.values.String() }

func (l *labelledInts) get(label string) *expvar.Int {
	if v, ok := l.byLabel.Load(label); ok {
		return v.(*expvar.Int)
	}
	if l.n.Add(1) > MaxLabels && label != OtherLabel {
		l.n.Add(-1)
		return l.get(OtherLabel)
	}
	v, loaded := l.byLabel.LoadOrStore(label, new(expvar.Int))
	if loaded {
		l.n.Add(-1)
	} else {
		l.values.Set(label, v.(*expvar.Int))
	}
	return v.(*expvar.Int)
}

// latency is a histogram of durations from 10 us to 10 minutes with a precision of
// two significant digits. It takes about 20 KB.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const latencyResolution = 10 * time.Microsecond

func newLatency() *latency {
	return &latency{h: hdrhistogram.New(1, int64(10*time.Minute/latencyResolution), 2)}
}

func (l *latency) observe(d time.Duration) {
	v := min(max(int64(d/latencyResolution), 0), l.h.HighestTrackableValue())
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the range, so RecordValue returns no error.
	_ = l.h.RecordValue(v)
}

func (l *latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(v int64) string {
		return strconv.FormatFloat(float64(v)*latencyResolution.Seconds()*1000, 'f', 2, 64)
	}
	return fmt.Sprintf(`{"count":%d,"p50":%s,"p90":%s,"p99":%s,"p999":%s,"max":%s}`, l.h.TotalCount(),
		ms(l.h.ValueAtQuantile(50)), ms(l.h.ValueAtQuantile(90)), ms(l.h.ValueAtQuantile(99)),
		ms(l.h.ValueAtQuantile(99.9)), ms(l.h.Max()))
}
