package dogroute

import (
	"fmt"
	"testing"
	"time"

	"dogwoodford"
)

// BenchmarkDispatch measures Pick, RecordDispatch and RecordDispatchEnd by the
// number of targets of the service, a sixth of them local, and by whether the
// content is restricted to two targets.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range []int{5, 20, 100} {
		targets := make([]dogwoodford.Target, n)
		for i := range targets {
			dc := fmt.Sprint("dc-", i%6)
			if i%6 == 0 {
				dc = "here"
			}
			targets[i] = target(fmt.Sprint("depot-", i), dc)
		}
		for _, content := range []struct {
			name   string
			digest uint64
		}{{"known", 0}, {"new", 7}} {
			b.Run(fmt.Sprintf("%s/targets=%d", content.name, n), func(b *testing.B) {
				rt, r := newRouter(), request(content.digest)
				load := dogwoodford.Load{Limit: 45}
				b.ReportAllocs()
				for b.Loop() {
					t, reason := rt.Pick(start, r, targets, nil)
					if reason != dogwoodford.ReasonNone {
						b.Fatal(reason)
					}
					rt.RecordDispatch(start, t.Node)
					rt.RecordDispatchEnd(start, t.Node, time.Millisecond, false, &load)
				}
			})
		}
	}
}
