package dogdeparture

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford/core/process/dogtarget"
	"dogwoodford/internal/dogscript"
)

// TestScripts runs the scripts in testdata. They guard against departures that are
// acknowledged while no other node would remember them, and against copies that are lost
// before the store holds the departure, or that are kept for good.
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/ledger.txtar", func() func(*testing.T, []string) string {
		l := New()
		return func(t *testing.T, words []string) string { return step(t, l, words) }
	})
}

// step executes one command of a script at the time with which it begins.
func step(t *testing.T, l *Ledger, words []string) string {
	t.Helper()
	at, err := time.ParseDuration(words[0])
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0).Add(at)
	switch words[1] {
	case "own":
		l.SetOwn(departure(t, words[2]))
	case "copied":
		l.Copied(words[2], departure(t, words[3]))
	case "safe":
		others, err := strconv.Atoi(words[2])
		if err != nil {
			t.Fatal(err)
		}
		return strconv.FormatBool(l.Safe(others))
	case "keep":
		return strconv.FormatBool(l.Keep(now, Copy{Node: words[2], Departure: departure(t, words[3])}))
	case "keep-many":
		return strconv.FormatBool(keepMany(l, now))
	case "stored":
		l.Stored(words[2], departure(t, words[3]))
	case "copies":
		var out []string
		for _, c := range l.Copies(now) {
			out = append(out, fmt.Sprintf("%s:%s@%d", c.Node, c.Departure.ID, c.Departure.Born))
		}
		return strings.Join(append(out, fmt.Sprint(len(out))), " ")
	case "copies-of":
		return fmt.Sprint(l.CopiesOf(now, words[2]))
	default:
		t.Fatalf("unknown command %q", words[1])
	}
	return ""
}

// keepMany keeps as many copies as there is room for, and reports whether all were kept.
func keepMany(l *Ledger, now time.Time) bool {
	for i := range maxCopies {
		if !l.Keep(now, Copy{Node: "many", Departure: dogtarget.Departure{ID: strconv.Itoa(i)}}) {
			return false
		}
	}
	return true
}

// departure parses an id and a start, as in "a@1".
func departure(t *testing.T, text string) dogtarget.Departure {
	t.Helper()
	id, start, _ := strings.Cut(text, "@")
	born, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return dogtarget.Departure{ID: id, Born: born}
}

// TestAssures guards against a node that takes another's word for it that it acknowledged
// nothing, though that one has started too recently to know.
func TestAssures(t *testing.T) {
	for _, c := range []struct {
		peer, own time.Duration
		nodes     int
		want      bool
	}{
		{time.Minute, 2 * time.Second, 13, true},
		{5 * time.Second, 5 * time.Second, 13, false},
		{12 * time.Second, 2 * time.Second, 13, false},
		{13 * time.Second, 2 * time.Second, 13, true},
		{20 * time.Second, 2 * time.Second, 600, false},
	} {
		if got := Assures(c.peer, c.own, c.nodes); got != c.want {
			t.Errorf("a node that has run for %v for one that has run for %v, of %d: %v, want %v", c.peer, c.own, c.nodes, got, c.want)
		}
	}
}

// TestInterval guards against messages about a departure that take a growing part of the
// processor time in a large fleet.
func TestInterval(t *testing.T) {
	for _, c := range []struct {
		nodes int
		want  time.Duration
	}{{3, time.Second}, {50, time.Second}, {600, 12 * time.Second}} {
		if got := Interval(c.nodes); got != c.want {
			t.Errorf("%d nodes: %v, want %v", c.nodes, got, c.want)
		}
	}
}
