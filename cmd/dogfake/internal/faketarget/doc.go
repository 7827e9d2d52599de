// Package faketarget provides a fake target: one worker of a service.
//
// It runs a bounded number of requests concurrently, each for the service time,
// makes child calls through the exit of its node, and produces the faults that
// nodes must tolerate: slowness, cold starts, crashes, and health and load
// endpoints that report a false state.
//
// # Usage
//
//	t := faketarget.New(faketarget.Config{Service: "rounds", Slots: 45, ServiceTime: 20 * time.Millisecond})
//	http.ListenAndServe("127.0.0.1:7105", t)
//
// Requests to any path run, except for these endpoints:
//
//	GET  /health          200 ready, 503 starting or draining
//	GET  /load            {"slots","in_flight"}
//	GET  /control/ran     how often each key and id started and completed
//	POST /control/slow    {"ms"} sets the service time; 0 restores it
//	POST /control/health  {"health":"honest|ready|failing|stale","load":"honest|idle|full","ms"}
//	POST /control/drain   {"exit"} reports draining; with exit, also stops as on SIGTERM
//	POST /control/crash   ends the process at once
//
// A path that contains /stream is answered with ?bytes=N bytes of a known
// pattern, and one that contains /upload with the size and SHA-256 of the body.
//
// The value of the header Dogfake-Id is counted, echoed in the answer and
// propagated to child calls.
package faketarget
