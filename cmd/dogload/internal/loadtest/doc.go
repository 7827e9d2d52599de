// Package loadtest measures the latency of several ways to the same target in
// one run.
//
// Arrivals are open loop: each request of a way is due at a fixed time,
// regardless of the latency of earlier answers, and its own latency counts from
// that time. This avoids coordinated omission, in which a slow answer delays
// requests whose wait is then not measured. Requests alternate between the ways,
// so that other load on the machine affects all of them equally.
//
// # Usage
//
//	rep := loadtest.Run(ctx, loadtest.Config{
//		Ways:     []loadtest.Way{{Name: "direct", URL: "http://127.0.0.1:7105/sheets/1"}, ...},
//		Rate:     500,
//		Duration: 20 * time.Second,
//	})
//	rep.WriteTable(os.Stdout)
//
// The package starts no servers. The latencies include the overhead of its own
// client, which is the same for all ways.
package loadtest
