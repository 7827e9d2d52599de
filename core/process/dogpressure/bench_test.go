package dogpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"
)

// BenchmarkTable measures the calls for one hop by the number of nodes that
// report for a service, with 20 classes.
func BenchmarkTable(b *testing.B) {
	for _, nodes := range []int{5, 20, 100} {
		tab := newTable()
		rep := Report{Own: 2 * dogwoodford.RankCount, Downstream: dogwoodford.RankCount}
		refreshed := New(Options{Rand: rand.New(rand.NewPCG(1, 1)), Refresh: 20 * time.Millisecond})
		names, reqs := addReports(nodes, rep, tab, refreshed)
		for name, f := range map[string]func(i int){
			"AdmitRefreshed": func(i int) {
				refreshed.Admit(start.Add(time.Duration(i)*time.Millisecond), reqs[i%len(reqs)])
			},
			"Admit":    func(i int) { tab.Admit(start, reqs[i%len(reqs)]) },
			"Reported": func(i int) { tab.AddReport(start, reqs[i%len(reqs)], names[i%nodes], rep) },
			"Upstream": func(i int) { tab.UpstreamReport(start, reqs[i%len(reqs)], rep.Own) },
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

// addReports adds reports of the given number of nodes on 20 classes to the
// tables. It returns the names of the nodes and a request of each class.
func addReports(nodes int, rep Report, tables ...*Table) ([]string, []dogwoodford.Request) {
	names := make([]string, nodes)
	for i := range names {
		names[i] = fmt.Sprint("depot-", i)
	}
	reqs := make([]dogwoodford.Request, 20)
	for i := range reqs {
		reqs[i] = request("depot", fmt.Sprint("class-", i), 7, 0)
		for _, n := range names {
			for _, t := range tables {
				t.AddReport(start, reqs[i], n, rep)
			}
		}
	}
	return names, reqs
}
