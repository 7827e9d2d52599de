package dogquota

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford/internal/dogscript"
)

// TestScripts runs the scripts in testdata, whose comments say what load they simulate and
// which failure they guard against.
func TestScripts(t *testing.T) {
	dogscript.Run(t, func(out *strings.Builder) func(*testing.T, []string) {
		s := &script{out: out}
		return s.run
	})
}

type script struct {
	out *strings.Builder
	f   *fleet
}

func (s *script) run(t *testing.T, w []string) {
	t.Helper()
	arg := func(i int) float64 { return number(t, w[i]) }
	f := s.f
	switch w[0] {
	case "fleet": // Nodes, rate, burst.
		s.f = newFleet(1, int(arg(1)), Limit{Rate: arg(2), Burst: arg(3)})
	case "faults": // Shares of messages that are lost, duplicated and late.
		f.loss, f.duplicate, f.late = arg(1), arg(2), arg(3)
	case "limit": // Rate, burst.
		f.setLimit(Limit{Rate: arg(1), Burst: arg(2)})
	case "kill": // Down time, and "lender" or "all".
		s.kill(t, duration(t, w[1]), w[2])
	case "pause": // Of the lender, noticed by itself only.
		for _, n := range f.nodes {
			if n.up && n.node.ranking(f.workspace).First == n.name {
				n.node.Settle(f.now, SettleTime)
			}
		}
	case "partition": // Nodes that are cut off, and time.
		f.partition(int(arg(1)), duration(t, w[2]))
	case "load": // Requests per second, time, and optionally the first and last node.
		low, high := 0, len(f.nodes)
		if len(w) > 3 {
			low, high = int(arg(3)), int(arg(4))
		}
		s.load(arg(1), duration(t, w[2]), low, high)
	default:
		t.Fatalf("unknown command %q", w[0])
	}
}

// load runs a load and writes its result.
func (s *script) load(rate float64, d time.Duration, low, high int) {
	f := s.f
	ran, refused, fallback, messages, bytes := len(f.runs), f.refused, f.fallback, f.messages, f.bytes
	f.load(rate, d, func() int { return low + f.rand.IntN(high-low) })
	f.advance(d)
	f.advance(200 * time.Millisecond)
	most, bound := f.most()
	verdict := "within the bound"
	if float64(most) > bound {
		verdict = "BOUND BROKEN"
	}
	fmt.Fprintf(s.out, "ran %d, refused %d, fallback %d, messages/s %.0f, bytes/s %.0f\n",
		len(f.runs)-ran, f.refused-refused, f.fallback-fallback,
		float64(f.messages-messages)/d.Seconds(), float64(f.bytes-bytes)/d.Seconds())
	fmt.Fprintf(s.out, "window %d of %.0f: %s\n", most, bound, verdict)
}

func (s *script) kill(t *testing.T, down time.Duration, which string) {
	t.Helper()
	s.f.killWhere(down, func(n *fleetNode) bool {
		return which == "all" || which == "lender" && n.node.ranking(s.f.workspace).First == n.name
	})
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
