// Package fakecollector provides a fake OpenTelemetry collector.
//
// It receives spans by OTLP over HTTP in the protobuf encoding, keeps a bounded
// number of traces in memory, and prints a trace as a tree.
//
// # Usage
//
//	srv := fakecollector.NewServer()
//	http.ListenAndServe("127.0.0.1:4318", srv)
//
// Endpoints:
//
//	POST /v1/traces           OTLP
//	GET  /control/tree        the trace with the most services, as a tree
//	GET  /control/tree?trace= the trace with this hexadecimal id
//
// Spans are lost when the process ends.
package fakecollector
