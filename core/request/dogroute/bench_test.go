package dogroute

import (
	"fmt"
	"testing"

	"dogwoodford"
)

// The sizes are a service of the Consortium, one of the largest services at the
// two-year size, and all workers at that size.
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

// BenchmarkPickSample measures the same with a sample of the targets.
func BenchmarkPickSample(b *testing.B) {
	for _, size := range []int{4, 60, 590} {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			rt, list, r := newSampling(8), fleet(size, 6), request(0)
			b.ReportAllocs()
			for b.Loop() {
				rt.Pick(start, r, list, nil)
			}
		})
	}
}
