package dogadmit

import (
	"fmt"
	"testing"
	"time"

	"dogwoodford"
)

// benchRequests holds the requests of a benchmark. Those of low priority may
// stay queued until the end, so a request is offered again only after it has
// run.
type benchRequests struct {
	b             *testing.B
	a             *Admission
	free, running []dogwoodford.Request
	byID          map[string]dogwoodford.Request
}

func newBenchRequests(b *testing.B, limit, n int) *benchRequests {
	s := &benchRequests{b: b, a: newAdmission(limit), byID: map[string]dogwoodford.Request{}}
	for i := range n {
		r := request(fmt.Sprint("r", i), i%(dogwoodford.MaxImportance+1), start.Add(time.Hour))
		s.free, s.byID[r.ID()] = append(s.free, r), r
	}
	return s
}

func (s *benchRequests) offer() {
	r := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	switch v, _ := s.a.Offer(start, r); v.Action() {
	case dogwoodford.Run:
		s.running = append(s.running, r)
	case dogwoodford.Refuse:
		s.b.Fatalf("request %s refused: %v", r.ID(), v.Reason())
	}
}

func (s *benchRequests) done() {
	last := len(s.running) - 1
	r := s.running[last]
	s.running, s.free = s.running[:last], append(s.free, r)
	for _, rel := range s.a.Done(start, r.ID(), dogwoodford.Sample{Cancelled: true}) {
		s.running = append(s.running, s.byID[rel.ID])
	}
}

// BenchmarkQueue measures one Offer and one Done at a target that runs as many
// requests as its limit permits, by the limit and the length of the queue.
func BenchmarkQueue(b *testing.B) {
	for _, size := range []struct{ limit, queue int }{{15, 0}, {15, 15}, {45, 0}, {45, 45}, {175, 0}, {175, 175}, {1000, 1000}} {
		b.Run(fmt.Sprintf("limit=%d/queue=%d", size.limit, size.queue), func(b *testing.B) {
			s := newBenchRequests(b, size.limit, size.limit+size.queue+1)
			// Without a queue, one place is left free for the next request.
			for range size.limit + size.queue - 1 {
				s.offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				s.offer()
				s.done()
			}
			if got := s.a.Load(start).Queued; got != max(size.queue-1, 0) {
				b.Fatalf("%d requests wait, want %d", got, size.queue-1)
			}
		})
	}
}
