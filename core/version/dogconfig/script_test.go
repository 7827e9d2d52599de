package dogconfig_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/internal/dogscript"
)

// parse parses texts of the form "customer generation note". The note "bad" makes
// it fail.
func parse(text []byte) (dogconfig.Parsed[string], error) {
	f := strings.Fields(string(text))
	if len(f) != 3 || f[2] == "bad" {
		return dogconfig.Parsed[string]{}, errors.New("bad text")
	}
	n, err := strconv.ParseInt(f[1], 10, 64)
	return dogconfig.Parsed[string]{Customer: f[0], Generation: n, Contract: f[2]}, err
}

func newConfig(seed uint64) *dogconfig.Config[string] {
	return dogconfig.New(dogconfig.Options[string]{Parse: parse, Rand: rand.New(rand.NewPCG(seed, 1)), Node: "n"})
}

func text(customer, number, note string) []byte {
	return []byte(customer + " " + number + " " + note)
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	dogscript.Run(t, func(out *strings.Builder) func(t *testing.T, words []string) {
		s := &script{now: time.Unix(1e6, 0), c: newConfig(1), out: out}
		return s.run
	})
}

type script struct {
	now time.Time
	c   *dogconfig.Config[string]
	out *strings.Builder
}

func (s *script) event(ev dogconfig.Event) {
	for _, a := range s.c.OnEvent(s.now, ev) {
		switch a := a.(type) {
		case dogconfig.InForce:
			e := s.c.Snapshot()[a.Generation.Customer]
			fmt.Fprintf(s.out, "  in force %s %d %s\n", e.Customer, e.Number, e.Contract)
		case dogconfig.Report:
			fmt.Fprintf(s.out, "  report %v %s have %d got %d from %s\n",
				a.Kind, a.Customer, a.Have.Number, a.Got.Number, a.Source)
		case dogconfig.WriteBack:
			fmt.Fprintf(s.out, "  write back %s expecting %d: %s\n", a.Customer, a.Expected, a.Text)
		default:
			fmt.Fprintf(s.out, "  %T %v\n", a, a)
		}
	}
}

// run executes one command: wait D; watcher BOOL; seen VERSION TEXT; listed; heard
// PEER TEXT; answer PEER [TEXT]; failed PEER; differs PEER; wrote CUSTOMER
// ok|conflict|lost. TEXT is "customer generation note".
func (s *script) run(t *testing.T, w []string) {
	t.Helper()
	switch w[0] {
	case "wait":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			t.Fatal(err)
		}
		for range d / (100 * time.Millisecond) {
			s.now = s.now.Add(100 * time.Millisecond)
			s.event(dogconfig.Tick{})
		}
	case "watcher":
		s.event(dogconfig.WatcherChanged{Watcher: w[1] == "true"})
	case "seen":
		v, _ := strconv.ParseInt(w[1], 10, 64)
		s.event(dogconfig.ObjectSeen{Object: dogwoodford.Object{
			Name: "contract/" + w[2], Version: v, Value: text(w[2], w[3], w[4]),
		}})
	case "listed":
		s.event(dogconfig.Listed{})
	case "heard":
		n, _ := strconv.ParseInt(w[3], 10, 64)
		s.event(dogconfig.GenerationHeard{Peer: w[1], Generation: dogconfig.Generation{
			Customer: w[2], Number: n, Hash: dogconfig.HashText(text(w[2], w[3], w[4])),
		}})
	case "answer":
		ev := dogconfig.PullAnswered{Peer: w[1]}
		if len(w) > 2 {
			ev.Texts = []dogconfig.Text{{
				Generation: dogconfig.Generation{Customer: w[2]}, Text: text(w[2], w[3], w[4]),
			}}
		}
		s.event(ev)
	case "failed":
		s.event(dogconfig.PullFailed{Peer: w[1]})
	case "differs":
		s.event(dogconfig.PeerDiffers{Peer: w[1]})
	case "wrote":
		err := map[string]error{"conflict": dogwoodford.ErrConflict, "lost": dogwoodford.ErrUnavailable}[w[2]]
		s.event(dogconfig.WrittenBack{Customer: w[1], Err: err})
	default:
		t.Fatalf("unknown command %q", w[0])
	}
}

// TestOrder guards against nodes that end with different generations in force
// because the texts, some of them with the same generation, arrived in a
// different order, and against a generation that decreases.
func TestOrder(t *testing.T) {
	texts := [][]byte{text("a", "1", "x"), text("a", "2", "x"), text("a", "3", "x"), text("a", "3", "y"), text("a", "2", "y")}
	var want dogconfig.Generation
	for seed := range uint64(50) {
		c := newConfig(seed)
		rnd := rand.New(rand.NewPCG(seed, 2))
		now := time.Unix(1e6, 0)
		high := int64(0)
		for range 20 {
			body := texts[rnd.IntN(len(texts))]
			c.OnEvent(now, dogconfig.ObjectSeen{Object: dogwoodford.Object{Name: "contract/a", Version: 1, Value: body}})
			if n := c.Snapshot()["a"].Number; n < high {
				t.Fatalf("seed %d: generation went from %d to %d", seed, high, n)
			} else {
				high = n
			}
		}
		for _, body := range texts {
			c.OnEvent(now, dogconfig.PullAnswered{Peer: "p", Texts: []dogconfig.Text{
				{Generation: dogconfig.Generation{Customer: "a"}, Text: body},
			}})
		}
		got := c.Snapshot()["a"].Generation
		if seed == 0 {
			want = got
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("seed %d: generations differ (-first +this):\n%s", seed, diff)
		}
	}
}
