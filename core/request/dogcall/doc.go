// Package dogcall parses and formats the headers that carry the identity of a
// request: headers from callers, headers between nodes, headers to a target
// and headers on answers. It bounds what a caller claims by the class of the
// contract, and derives the child call of a request in progress.
//
// Parsing is strict: a header that occurs twice, is empty, or has another form
// than the one that formatting gives is an error that names the header.
//
// # Usage
//
//	claims, err := dogcall.ParseClaims(r.Header)
//	spec := dogcall.Bound(claims, limits, now)
//	dogcall.Peer{Spec: spec}.Format(out.Header, now)
//
// The package does no I/O. It does not check credentials, does not look up
// classes and does not decide whether a request may run.
package dogcall
