// Package dogmetric keeps the metrics of a node as expvar variables.
//
// All metrics are defined in one table, metrics.go, and described in
// docs/metrics.md. A test fails if either lacks a metric of the other. A Set
// holds the values of one node, so that tests can run several nodes in one
// process.
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
// Values are kept in memory only and start at zero. The package does not send
// them anywhere.
package dogmetric
