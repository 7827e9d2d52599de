package dogadmit

import (
	"fmt"
	"testing"
	"time"

	"dogwoodford"
)

// The sizes are the slots of the smallest and largest workers of
// docs/design.md, 1.1.
func BenchmarkOfferDone(b *testing.B) {
	for _, slots := range []int{15, 175} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			a := newAdmission(slots)
			for i := range slots - 1 {
				a.Offer(start, request(fmt.Sprint("r", i), 3, start.Add(time.Hour)))
			}
			r := request("last", 3, start.Add(time.Hour))
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				a.Offer(now, r)
				a.Done(now, "last", dogwoodford.Sample{Latency: 20 * time.Millisecond})
			}
		})
	}
}
