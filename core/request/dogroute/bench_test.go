package dogroute

import (
	"fmt"
	"testing"
	"time"

	"dogwoodford"
)

// BenchmarkPick measures Pick without sampling. The sizes are those of
// a service of the Consortium, of one of the largest services at the two-year
// size, and of all workers at that size.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{4, 60, 590} {
		for _, digest := range []uint64{0, 7} {
			b.Run(fmt.Sprintf("targets=%d/known=%t", size, digest == 0), func(b *testing.B) {
				rt := newRouter()
				var list []dogwoodford.Target
				for i := range size {
					list = append(list, target(fmt.Sprint("n", i), fmt.Sprint("dc", i%6)))
				}
				r := request(digest)
				b.ReportAllocs()
				for b.Loop() {
					rt.Pick(start, r, list, nil)
				}
			})
		}
	}
}

// BenchmarkPickSample measures Pick at the same sizes with a sample of the
// targets, which have reported their loads, and by how targets are compared.
func BenchmarkPickSample(b *testing.B) {
	for _, size := range []int{4, 60, 590} {
		for _, byCompletion := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/completion=%t", size, byCompletion), func(b *testing.B) {
				rt, list, r := newSamplingRouter(8), fleet(size, 6), request(0)
				rt.opts.ByCompletion = byCompletion
				for i := range list {
					rt.RecordDispatchEnd(start, list[i].Node, 0, false, &dogwoodford.Load{Limit: 10, ServiceTime: time.Millisecond})
				}
				b.ReportAllocs()
				for b.Loop() {
					rt.Pick(start, r, list, nil)
				}
			})
		}
	}
}
