package dogpressure

import (
	"fmt"
	"testing"

	"dogwoodford"
)

// BenchmarkTable measures the calls of one hop by the number of nodes that
// report for a service, and of classes for which they do.
func BenchmarkTable(b *testing.B) {
	for _, nodes := range []int{5, 20, 100} {
		tab := newTable()
		rep := Report{Own: 2 * dogwoodford.RankCount, Below: dogwoodford.RankCount}
		names := make([]string, nodes)
		for i := range names {
			names[i] = fmt.Sprint("depot-", i)
		}
		reqs := make([]dogwoodford.Request, 20)
		for i := range reqs {
			reqs[i] = request("depot", fmt.Sprint("class-", i), 7, 0)
			for _, n := range names {
				tab.Reported(start, reqs[i], n, rep)
			}
		}
		for name, f := range map[string]func(i int){
			"Admit":    func(i int) { tab.Admit(start, reqs[i%len(reqs)]) },
			"Reported": func(i int) { tab.Reported(start, reqs[i%len(reqs)], names[i%nodes], rep) },
			"Upstream": func(i int) { tab.Upstream(start, reqs[i%len(reqs)], rep.Own) },
		} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, nodes), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					f(i)
				}
			})
		}
	}
}
