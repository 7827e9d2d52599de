package doglog

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Event is one kind of log line. Events are defined only in the table of this
// package.
type Event struct {
	number int
	name   string
	level  slog.Level
}

// Number returns the number, which is unique and never reused for another event.
func (e Event) Number() int { return e.number }

// Name returns the name in lower case with hyphens.
func (e Event) Name() string { return e.name }

// Level returns the level at which the event is logged.
func (e Event) Level() slog.Level { return e.level }

// String returns the number and the name, separated by a space.
func (e Event) String() string { return fmt.Sprintf("%d %s", e.number, e.name) }

var table = make(map[int]Event)

// define adds an event to the table. It panics if the number is taken.
func define(number int, name string, level slog.Level) Event {
	if e, ok := table[number]; ok {
		panic(fmt.Sprintf("doglog: event %d is defined as %s and %s", number, e.name, name))
	}
	e := Event{number: number, name: name, level: level}
	table[number] = e
	return e
}

// Events returns all events, sorted by number.
func Events() []Event {
	var out []Event
	for _, e := range table {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.number, b.number) })
	return out
}

// Formats of log lines, for New.
const (
	JSON = "json"
	Text = "text"
)

// New returns a logger that writes lines of the given format to w and discards
// those below level. It panics if the format is neither JSON nor Text.
func New(w io.Writer, level slog.Level, format string) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	switch format {
	case JSON:
		return slog.New(slog.NewJSONHandler(w, opts))
	case Text:
		return slog.New(slog.NewTextHandler(w, opts))
	}
	panic("doglog: unknown format " + format)
}

// Log writes the event with its name as the message, its number as the attribute
// "event", and attrs.
func Log(ctx context.Context, log *slog.Logger, e Event, attrs ...slog.Attr) {
	if !log.Enabled(ctx, e.level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.number))
	log.LogAttrs(ctx, e.level, e.name, append(all, attrs...)...)
}

// Err returns the attribute "error" with the text of err.
func Err(err error) slog.Attr { return slog.String("error", fmt.Sprint(err)) }

// Limiter limits the rate of log lines per event, for events that can occur for
// each request. Use NewLimiter; the zero value is not valid. It is safe for
// concurrent use.
type Limiter struct {
	log      *slog.Logger
	interval time.Duration
	burst    int

	mu     sync.Mutex
	states map[int]*limitState
}

type limitState struct {
	limiter    *rate.Limiter
	suppressed int
}

// NewLimiter returns a limiter that logs to log. It has one token bucket per
// event, with burst tokens and one new token per interval; a line takes a token.
func NewLimiter(log *slog.Logger, interval time.Duration, burst int) *Limiter {
	return &Limiter{log: log, interval: interval, burst: burst, states: make(map[int]*limitState)}
}

// Log writes the event unless its token bucket is empty. The next line of the
// event that is written has the number of suppressed lines as the attribute
// "suppressed".
func (l *Limiter) Log(ctx context.Context, e Event, attrs ...slog.Attr) {
	if !l.log.Enabled(ctx, e.level) {
		return
	}
	l.mu.Lock()
	s := l.states[e.number]
	if s == nil {
		s = &limitState{limiter: rate.NewLimiter(rate.Every(l.interval), l.burst)}
		l.states[e.number] = s
	}
	if !s.limiter.Allow() {
		s.suppressed++
		l.mu.Unlock()
		return
	}
	n := s.suppressed
	s.suppressed = 0
	l.mu.Unlock()
	if n > 0 {
		attrs = append(slices.Clone(attrs), slog.Int("suppressed", n))
	}
	Log(ctx, l.log, e, attrs...)
}
