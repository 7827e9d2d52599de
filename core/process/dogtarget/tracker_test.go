package dogtarget

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

// TestScripts runs the scripts in testdata. Each guards against requests that
// are sent to a target that is leaving, has failed or was replaced. Each line
// is a time, an event, "->" and the state after it.
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/target.txtar", func() func(*testing.T, []string) string {
		w := New(Options{Service: "rounds", Address: "10.0.0.1:80", Silence: 4500 * time.Millisecond, Confirmation: 750 * time.Millisecond})
		return func(t *testing.T, words []string) string { return step(t, w, words) }
	})
}

// step applies one event and returns its effect, if any, and the state.
func step(t *testing.T, w *Tracker, f []string) string {
	t.Helper()
	at, err := time.ParseDuration(f[0])
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0).Add(at)
	effect := ""
	switch f[1] {
	case "beat":
		effect = w.Observe(now, parseHeartbeat(t, f[2:])).String() + " "
	case "leave":
		w.MarkLeft(now, f[2])
	case "leaving":
		w.MarkDraining(f[2])
	case "lost":
		w.MarkFailed(f[2])
	case "answered":
		w.RecordAnswer(now, f[2])
	case "restored":
		w.Restore(Departure{ID: f[2], Born: parseHeartbeat(t, f[2:]).Born})
	case "departed":
		return strings.TrimSpace(fmt.Sprintf("%s %d", w.Departure().ID, w.Departure().Born))
	case "unsure":
		w.RequireConfirmation(true)
	case "sure":
		w.RequireConfirmation(false)
	case "wait":
	default:
		t.Fatalf("unknown event %q", f[1])
	}
	state := w.State(now).String()
	if c, ok := w.Current(now); ok {
		state += " " + c.ID
	}
	return effect + state
}

func parseHeartbeat(t *testing.T, f []string) Heartbeat {
	r := Heartbeat{ID: f[0], Service: "rounds", Address: "10.0.0.1:80", Slots: 4}
	for _, field := range f[1:] {
		k, v, _ := strings.Cut(field, "=")
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil && (k == "born" || k == "seq" || k == "slots") {
			t.Fatal(err)
		}
		switch k {
		case "born":
			r.Born = n
		case "seq":
			r.Sequence = n
		case "slots":
			r.Slots = int(n)
		case "service":
			r.Service = v
		case "address":
			r.Address = v
		case "draining":
			r.Draining = true
		}
	}
	return r
}
