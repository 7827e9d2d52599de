// Package dogmetric counts what a node does, as expvar variables.
//
// All metrics stand in one table, metrics.go; docs/metrics.md lists them, and
// a test compares the two in both directions. A Set holds the values of one
// node, so that several nodes can live in one process during tests.
//
// # Usage
//
//	m := dogmetric.NewSet()
//	m.Add(dogmetric.PeerMessages, 1)
//	m.AddTo(dogmetric.Requests, "ran", 1)
//	m.Observe(dogmetric.TargetLatency, d)
//	mux.Handle("GET /debug/vars", m.Handler())
//
// To add a metric, add a variable to the table and a row to docs/metrics.md.
//
// Values live in memory and start at zero with the process. The package does
// not send them anywhere.
package dogmetric
