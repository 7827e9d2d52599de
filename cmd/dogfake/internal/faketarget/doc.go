// Package faketarget is a stand-in for a target: one worker of a service.
//
// It runs a bounded number of requests at once, each for a service time, makes
// child calls through the exit of its node, and shows the faults that nodes
// must withstand: slowness, cold starts, crashes, and health and load
// endpoints that mislead.
//
// # Usage
//
//	t := faketarget.New(faketarget.Config{Service: "rounds", Slots: 45, Time: 20 * time.Millisecond})
//	http.ListenAndServe("127.0.0.1:7105", t)
//
// Every path runs as a request but for these:
//
//	GET  /health          200 ready, 503 starting or draining
//	GET  /load            {"slots","in_flight"}
//	GET  /control/ran     which keys and ids ran, how often
//	POST /control/slow    {"ms"} sets the service time; 0 restores it
//	POST /control/health  {"health":"honest|ready|failing|stale","load":"honest|idle|full","ms"}
//	POST /control/drain   {"exit"} shows a drain; with exit, also ends as on SIGTERM
//	POST /control/crash   ends the process at once
//
// Paths that contain /stream answer with ?bytes=N bytes of a known pattern,
// and those that contain /upload with the size and SHA-256 of the body.
//
// The header Dogfake-Id is recorded, echoed, and passed to child calls.
package faketarget
