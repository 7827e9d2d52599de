// Package fakeplatform is a stand-in for the platform's object service.
//
// It speaks the protocol of section 8.3 of docs/design.md, keeps everything in
// memory, counts each call and produces faults on demand.
//
// # Usage
//
//	srv := fakeplatform.NewServer(fakeplatform.NewStore())
//	http.ListenAndServe("127.0.0.1:7000", srv)
//
// Control of the stand-in:
//
//	GET  /control/counts     calls by kind; DELETE sets them to zero
//	POST /control/fault      {"kind":"down"|"slow"|"lose_answer"|"none","ms","count"}
//	POST /control/snapshot   {"name"} keeps the present objects
//	POST /control/restore    {"name","rewind"} brings a snapshot back
//
// The stand-in does not limit the rate of calls and has no access control.
package fakeplatform
