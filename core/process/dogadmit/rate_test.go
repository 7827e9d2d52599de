package dogadmit

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/internal/dogscript"
)

// TestRates guards against a target that gets more requests than the rate that it takes,
// and against one that gets none or keeps callers waiting although others have room.
// Each line of testdata/rates.txtar has the time in milliseconds, a step, and the result.
func TestRates(t *testing.T) {
	dogscript.RunLines(t, "testdata/rates.txtar", func() func(*testing.T, []string) string {
		s := &rateScript{admission: New(Options{Slots: 100, Rand: rand.New(rand.NewPCG(1, 1)), ExemptChildCalls: true})}
		return s.run
	})
}

type rateScript struct {
	admission *Admission
	offered   int
}

// run takes one step: "rate N" sets the rate; "offer N" offers N requests that end at
// once; "flood N for D" offers N per second and ends each after 20 ms; "load" returns
// the load.
func (s *rateScript) run(t *testing.T, w []string) string {
	t.Helper()
	ms, err := strconv.Atoi(w[0])
	if err != nil {
		t.Fatal(err)
	}
	switch w[1] {
	case "rate":
		s.admission.SetRate(at(ms), number(t, w[2]))
	case "offer":
		started := 0
		for range int(number(t, w[2])) {
			if id, ok := s.offer(at(ms)); ok {
				started++
				s.admission.Done(at(ms), id, dogwoodford.Sample{Latency: time.Millisecond})
			}
		}
		return fmt.Sprintf("%d started", started)
	case "flood":
		return s.flood(ms, int(number(t, w[2])), int(number(t, w[4])))
	case "load":
		l := s.admission.Load(at(ms))
		return fmt.Sprintf("%d of %d", l.InFlight, l.Limit)
	default:
		t.Fatalf("unknown step %v", w)
	}
	return ""
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (s *rateScript) offer(now time.Time) (string, bool) {
	s.offered++
	id := fmt.Sprint("r", s.offered)
	v, _ := s.admission.Offer(now, request(id, 3, now.Add(time.Second)))
	return id, v.Action() == dogwoodford.Run
}

// flood offers perSecond requests for some seconds, in steps of 5 ms, and returns the
// largest number that started in any 4 s.
func (s *rateScript) flood(from, perSecond, seconds int) string {
	const stepMs = 5
	var starts []int
	ends := make(map[int][]string)
	start := func(id string, now int) {
		starts = append(starts, now)
		ends[now+20] = append(ends[now+20], id)
	}
	for now, sent := from, 0; now < from+1000*seconds; now += stepMs {
		released := s.admission.Expire(at(now))
		for _, id := range ends[now] {
			released = append(released, s.admission.Done(at(now), id, dogwoodford.Sample{Latency: 20 * time.Millisecond})...)
		}
		for _, d := range released {
			if d.Verdict.Action() == dogwoodford.Run {
				start(d.ID, now)
			}
		}
		for ; sent*1000 < perSecond*(now-from); sent++ {
			if id, ok := s.offer(at(now)); ok {
				start(id, now)
			}
		}
	}
	most := 0
	for i := range starts {
		n := 0
		for n < len(starts)-i && starts[i+n] < starts[i]+4000 {
			n++
		}
		most = max(most, n)
	}
	return fmt.Sprintf("%d in 4 s", most)
}
