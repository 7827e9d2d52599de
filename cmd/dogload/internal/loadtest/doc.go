// Package loadtest measures the latency of several ways to the same target in
// one run.
//
// Arrivals are open loop: request i of a way is due at a fixed time, whatever
// the answers before it took, and its latency counts from that time. A slow
// answer is thus not hidden by requests that were not sent (coordinated
// omission). The ways take turns request by request, so that whatever else
// happens on the machine meets all of them alike.
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
// The package starts no servers. Its figures include the cost of its own
// client, which is the same for all ways.
package loadtest
