package dogsidecar

import (
	"context"
	"io"
	"log/slog"
	"time"

	"dogwoodford/io/process/doglog"
)

const (
	// logInterval and logBurst limit the rate of the lines of each event, as some
	// events can occur for each request. 20 lines a second cost well under a
	// percent of a small VM's processor.
	logInterval = 50 * time.Millisecond
	logBurst    = 40
	// maxQueuedLines is the number of lines that are queued for a slow reader;
	// further ones are dropped.
	maxQueuedLines = 1024
)

// logger logs the events of a node. It drops lines rather than block, and is
// safe for concurrent use.
type logger struct {
	async   *doglog.AsyncWriter
	limiter *doglog.Limiter
	plain   *slog.Logger
}

func newLogger(w io.Writer, node string) *logger {
	async := doglog.NewAsyncWriter(w, maxQueuedLines)
	plain := doglog.New(async, slog.LevelInfo, doglog.JSON).With(slog.String("node", node))
	return &logger{async: async, plain: plain, limiter: doglog.NewLimiter(plain, logInterval, logBurst)}
}

// Event implements dogrelay.Log.
func (l *logger) Event(ctx context.Context, e doglog.Event, attrs ...slog.Attr) {
	l.limiter.Log(ctx, e, attrs...)
}

// event logs an event that does not belong to a request.
func (l *logger) event(e doglog.Event, attrs ...slog.Attr) {
	l.limiter.Log(context.Background(), e, attrs...)
}

// close logs the number of dropped lines, if any, and writes the queued lines.
func (l *logger) close() {
	if n := l.async.Dropped(); n > 0 {
		l.event(doglog.LogLinesDropped, slog.Int64("lines", n))
	}
	l.async.Close()
}
