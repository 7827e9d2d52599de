// Package fakeplatform provides a fake of the platform's object service.
//
// It implements the protocol of section 8.3 of docs/design.md, keeps all
// objects in memory, counts each call and injects faults on request.
//
// # Usage
//
//	srv := fakeplatform.NewServer(fakeplatform.NewStore())
//	http.ListenAndServe("127.0.0.1:7000", srv)
//
// Control endpoints:
//
//	GET  /control/counts     calls by kind; DELETE resets them to zero
//	POST /control/fault      {"kind":"down"|"slow"|"lose_answer"|"none","ms","count"}
//	POST /control/snapshot   {"name"} saves the current objects
//	POST /control/restore    {"name","rewind"} restores a snapshot
//
// The fake does not limit the rate of calls and has no access control.
package fakeplatform
