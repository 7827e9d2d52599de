package dogsuspect_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/internal/dogscript"
)

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	dogscript.Run(t, func(out *strings.Builder) func(t *testing.T, words []string) {
		s := &script{now: time.Unix(1e6, 0), s: dogsuspect.New(dogsuspect.Options{}), g: dogsuspect.NewGate(), out: out}
		return s.run
	})
}

type script struct {
	now time.Time
	s   *dogsuspect.Suspects
	g   *dogsuspect.Gate
	out *strings.Builder
}

func digests(words []string) []uint64 {
	var out []uint64
	for _, w := range words {
		n, err := strconv.ParseUint(w, 10, 64)
		if err != nil {
			panic(err)
		}
		out = append(out, n)
	}
	return out
}

func (s *script) event(ev dogsuspect.Event) {
	for _, a := range s.s.OnEvent(s.now, ev) {
		switch a := a.(type) {
		case dogsuspect.PublishReport:
			fmt.Fprintf(s.out, "  spread kind=%d %s %v\n", a.Report.Kind, a.Report.Death, a.Report.Digests)
		case dogsuspect.Changed:
			s.view()
		case dogsuspect.QuarantineBegun:
			fmt.Fprintf(s.out, "  quarantine %d\n", a.Entry.Digest)
		}
	}
}

func (s *script) view() {
	s.out.WriteString("  view")
	for _, e := range s.s.View().Entries() {
		fmt.Fprintf(s.out, " %d:%v/%d", e.Digest, e.Standing, e.Deaths)
	}
	s.out.WriteString("\n")
}

func (s *script) run(t *testing.T, words []string) {
	t.Helper()
	switch words[0] {
	case "wait":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(d)
		s.event(dogsuspect.Tick{})
	case "heard": // heard ID age digests...
		d, err := time.ParseDuration(words[2])
		if err != nil {
			t.Fatal(err)
		}
		s.event(dogsuspect.ReportArrived{Report: dogsuspect.Report{
			Digests: digests(words[3:]), Service: "rounds", At: s.now.Add(-d), Death: words[1],
		}})
	case "start":
		v := s.g.Start(s.now, s.s.View(), words[1], digests(words[2:])[0])
		if v.Action() == dogwoodford.Run {
			s.out.WriteString("  run\n")
		} else {
			fmt.Fprintf(s.out, "  refuse %s %v\n", v.Reason(), v.RetryAfter())
		}
	case "done":
		if d, cleared := s.g.Done(s.now, s.s.View(), words[1], words[2] == "ok"); cleared {
			s.event(dogsuspect.Completed{Digest: d})
		}
	case "died":
		s.event(dogsuspect.TargetDied{ID: words[1], Service: "rounds", Digests: s.g.RecordDeath()})
	case "release":
		s.event(dogsuspect.Release{Digest: digests(words[1:])[0]})
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}
