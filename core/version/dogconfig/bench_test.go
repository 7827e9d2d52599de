package dogconfig_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/core/version/dogcontract"
)

// contractText returns a contract with the given number of classes.
func contractText(customer string, generation, classes int) []byte {
	var s strings.Builder
	fmt.Fprintf(&s, "[contract]\ncustomer = %s\ngeneration = %d\ncredential = sha256:%s\nresend_percent = 10\nresend_burst = 20\n", customer, generation, strings.Repeat("0a", 32))
	s.WriteString("[service rounds]\nworkers = 4\nslots = 45\nconnections = 360\n")
	for i := range classes {
		fmt.Fprintf(&s, "[class c%d]\nservice = rounds\nmethod = GET\npath = /area%d/sheets/\nimportance = 7\n"+
			"idempotent = yes\ndeadline = 2s\nretries = 2\nmax_body = 64KiB\n", i, i)
	}
	return []byte(s.String())
}

func parseContract(text []byte) (dogconfig.Parsed[*dogcontract.Contract], error) {
	c, err := dogcontract.Parse("contract", text)
	if err != nil {
		return dogconfig.Parsed[*dogcontract.Contract]{}, err
	}
	return dogconfig.Parsed[*dogcontract.Contract]{Customer: c.Customer(), Generation: c.Generation(), Contract: c}, nil
}

// BenchmarkChange measures the time to put a new generation of one contract in
// force, and the memory per contract, by the number of customers and of classes
// per contract.
func BenchmarkChange(b *testing.B) {
	for _, size := range []struct{ customers, classes int }{{5, 10}, {50, 10}, {500, 10}, {50, 40}, {50, 160}} {
		b.Run(fmt.Sprintf("customers=%d/classes=%d", size.customers, size.classes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := dogconfig.New(dogconfig.Options[*dogcontract.Contract]{
				Parse: parseContract, Rand: rand.New(rand.NewPCG(1, 1)), Node: "n",
			})
			now := time.Unix(1e6, 0)
			see := func(i, generation int) {
				customer := fmt.Sprint("firm-", i)
				c.OnEvent(now, dogconfig.ObjectSeen{Object: dogwoodford.Object{
					Name: dogconfig.ObjectName(customer), Version: int64(generation),
					Value: contractText(customer, generation, size.classes),
				}})
			}
			for i := range size.customers {
				see(i, 1)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			if len(c.Snapshot()) != size.customers {
				b.Fatalf("%d contracts in force", len(c.Snapshot()))
			}
			b.ReportAllocs()
			generation := 1
			for b.Loop() {
				generation++
				see(0, generation)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.customers), "B/contract")
			b.ReportMetric(float64(len(contractText("firm-0", 1, size.classes))), "text-B")
			runtime.KeepAlive(c)
		})
	}
}
