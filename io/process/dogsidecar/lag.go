package dogsidecar

import (
	"log/slog"
	"runtime"
	"runtime/metrics"
	"time"

	"dogwoodford/io/process/doglag"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

const (
	// loggedLag is the lag from which a node logs that it lags. A node with enough
	// processor time lags by a few milliseconds.
	loggedLag = 150 * time.Millisecond
	// lagLogInterval bounds how often it does.
	lagLogInterval = time.Second
)

// runtimeMetrics are the metrics of the Go runtime that explain a lag.
var runtimeMetrics = []string{"/gc/cycles/total:gc-cycles", "/memory/classes/heap/objects:bytes"}

// newLagMonitor returns a monitor of this process, which logs while the node lags.
func (n *node) newLagMonitor() *doglag.Monitor {
	var logged time.Time
	return doglag.New(func(lag time.Duration) {
		n.metrics.Observe(dogmetric.SchedulingLag, lag)
		if n.quotas != nil {
			n.quotas.checkPause()
		}
		if now := time.Now(); lag >= loggedLag && now.Sub(logged) >= lagLogInterval {
			logged = now
			n.log.event(doglog.NodeLagging, append(n.progress.attrs(now), lagAttrs(lag)...)...)
		}
	})
}

// lagAttrs returns the lag and what the runtime is occupied with.
func lagAttrs(lag time.Duration) []slog.Attr {
	samples := make([]metrics.Sample, len(runtimeMetrics))
	for i, name := range runtimeMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	return []slog.Attr{slog.Int64("lag_ms", lag.Milliseconds()), slog.Int("goroutines", runtime.NumGoroutine()),
		slog.Uint64("gc_cycles", samples[0].Value.Uint64()), slog.Uint64("heap_bytes", samples[1].Value.Uint64())}
}
