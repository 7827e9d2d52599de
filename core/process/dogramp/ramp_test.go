package dogramp

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

// TestScripts runs the scripts in testdata. Each guards against a target that is
// flooded after its start, or left idle. A line is a command, "->" and the limit
// after it, with "ramp" while the ramp is active. Commands:
//
//	start ORDINARY [cold] [alone]      the target starts
//	pause D                            nothing happens for this time
//	answers N every D time=D [failed]  N answers, one each D
func TestScripts(t *testing.T) {
	dogscript.RunLines(t, "testdata/ramp.txtar", func() func(*testing.T, []string) string {
		s := &script{now: time.Unix(0, 0)}
		return s.run
	})
}

type script struct {
	ramp     Ramp
	now      time.Time
	ordinary int
}

func (s *script) run(t *testing.T, w []string) string {
	t.Helper()
	switch w[0] {
	case "start":
		s.ordinary = number(t, w[1])
		s.ramp.Start(s.now, s.ordinary, Conditions{Cold: slices.Contains(w, "cold"), Alone: slices.Contains(w, "alone")})
	case "pause":
		s.now = s.now.Add(duration(t, w[1]))
	case "answers":
		s.answers(t, w)
	default:
		t.Fatalf("unknown command %q", w[0])
	}
	if s.ramp.Active() {
		return fmt.Sprint("ramp ", s.ramp.Limit())
	}
	return fmt.Sprint("done ", s.ramp.Limit())
}

func (s *script) answers(t *testing.T, w []string) {
	t.Helper()
	every := duration(t, w[3])
	a := Answer{Failed: w[4] == "failed"}
	if !a.Failed {
		a.Time = duration(t, strings.TrimPrefix(w[4], "time="))
	}
	for range number(t, w[1]) {
		s.now = s.now.Add(every)
		s.ramp.Observe(s.now, a, s.ordinary)
	}
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
