// Package dogcall parses and formats the headers that carry the identity of a
// request: headers from callers, headers between nodes, headers to a target
// and headers of responses. It limits the claims of a caller to what the class
// of the contract allows, and derives child calls from a request in progress.
//
// Parsing is strict: a header that occurs twice, is empty, or differs from the
// form that formatting produces is an error that names the header. The standard
// headers Retry-After and Traceparent are exceptions: invalid values are
// ignored.
//
// # Usage
//
//	claims, err := dogcall.ParseClaims(r.Header)
//	spec := dogcall.EntrySpec(claims, limits, now)
//	dogcall.Peer{Spec: spec}.Format(out.Header, now)
//
// The package does no I/O. It does not check credentials, does not look up
// classes and does not decide whether a request may run.
package dogcall
