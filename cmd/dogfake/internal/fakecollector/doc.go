// Package fakecollector is a stand-in for an OpenTelemetry collector.
//
// It takes spans by OTLP over HTTP in the protobuf encoding, keeps a bounded
// number of traces in memory, and prints one as a tree.
//
// # Usage
//
//	srv := fakecollector.NewServer()
//	http.ListenAndServe("127.0.0.1:4318", srv)
//
// Control of the stand-in:
//
//	POST /v1/traces           OTLP
//	GET  /control/tree        the trace that reached the most services, as a tree
//	GET  /control/tree?trace= the trace with this id in hexadecimal digits
//
// It does not store spans beyond the end of the process.
package fakecollector
