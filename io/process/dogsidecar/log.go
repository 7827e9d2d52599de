package dogsidecar

import (
	"context"
	"io"
	"log/slog"
	"time"

	"dogwoodford/io/process/doglog"
)

const (
	// logEvery and logBurst bound the lines of each event that can occur for
	// each request. At 20 lines a second a line costs well under a percent of
	// a small VM's processor.
	logEvery = 50 * time.Millisecond
	logBurst = 40
	// logLines is the number of lines that wait for a slow reader.
	logLines = 1024
)

// logger writes the events of a node. It never blocks.
type logger struct {
	async   *doglog.Async
	limiter *doglog.Limiter
	plain   *slog.Logger
}

func newLogger(w io.Writer, node string) *logger {
	async := doglog.NewAsync(w, logLines)
	plain := doglog.New(async, slog.LevelInfo, doglog.JSON).With(slog.String("node", node))
	return &logger{async: async, plain: plain, limiter: doglog.NewLimiter(plain, logEvery, logBurst)}
}

// Event implements dogrelay.Log.
func (l *logger) Event(ctx context.Context, e doglog.Event, attrs ...slog.Attr) {
	l.limiter.Log(ctx, e, attrs...)
}

// event logs an event that belongs to no request.
func (l *logger) event(e doglog.Event, attrs ...slog.Attr) {
	l.limiter.Log(context.Background(), e, attrs...)
}

// close writes the lines that wait.
func (l *logger) close() {
	if n := l.async.Dropped(); n > 0 {
		l.event(doglog.LogLinesDropped, slog.Int64("lines", n))
	}
	l.async.Close()
}
