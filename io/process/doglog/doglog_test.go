package doglog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCatalogue guards against events without a description in docs/events.md,
// and against descriptions of events that do not exist.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(string(data)) {
		f := strings.Split(strings.TrimSpace(line), "|")
		if len(f) != 7 {
			continue
		}
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		if _, err := strconv.Atoi(f[1]); err != nil {
			continue // The header of the table.
		}
		if f[4] == "" || f[5] == "" {
			t.Errorf("event %s has no meaning or no advice", f[1])
		}
		got = append(got, strings.Join(f[1:4], " "))
	}
	var want []string
	for _, e := range Events() {
		want = append(want, fmt.Sprintf("%d %s %s", e.Number(), e.Name(), strings.ToLower(e.Level().String())))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("code (-) and docs/events.md (+) differ:\n%s", diff)
	}
}

// TestNames guards against two events with the same name, which a search for the
// name in the logs would mix up, and against two events with the same number.
func TestNames(t *testing.T) {
	seen := map[string]Event{}
	for _, e := range Events() {
		if other, ok := seen[e.Name()]; ok {
			t.Errorf("events %v and %v share a name", e, other)
		}
		seen[e.Name()] = e
	}
	defer func() {
		if recover() == nil {
			t.Error("two events can be defined with the same number")
		}
	}()
	define(NodeStarted.number, "another", slog.LevelInfo)
}

// TestLog guards against lines without a number or a name, and against lines
// below the level.
func TestLog(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, slog.LevelInfo, JSON)
	Log(t.Context(), log, TargetDied, slog.String("target", "rounds-1"))
	Log(t.Context(), log, RequestFinished)
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil {
		t.Fatalf("%v in %s", err, b.String())
	}
	delete(line, "time")
	want := map[string]any{"level": "WARN", "msg": "target-died", "event": 1202.0, "target": "rounds-1"}
	if diff := cmp.Diff(want, line); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	b.Reset()
	Log(t.Context(), New(&b, slog.LevelDebug, Text), RequestFinished)
	if !strings.Contains(b.String(), "msg=request-finished event=1110") {
		t.Errorf("text line %q", b.String())
	}
}

// TestLimiter guards against an unlimited number of lines during an overload, and
// against suppressed lines that are not counted.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l := NewLimiter(New(&b, slog.LevelInfo, Text), time.Second, 2)
		for range 10 {
			l.Log(t.Context(), RequestUnknown)
		}
		l.Log(t.Context(), TargetDied) // Has its own token bucket.
		time.Sleep(time.Second)
		l.Log(t.Context(), RequestUnknown)
		lines := strings.Count(b.String(), "\n")
		if lines != 4 || !strings.Contains(b.String(), "suppressed=8") {
			t.Errorf("%d lines, want 4 with 8 suppressed:\n%s", lines, b.String())
		}
	})
}

func ExampleLog() {
	opts := &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}}
	log := slog.New(slog.NewTextHandler(os.Stdout, opts))
	Log(context.Background(), log, TargetDied, slog.String("target", "127.0.0.1:7105"))
	// Output: level=WARN msg=target-died event=1202 target=127.0.0.1:7105
}
