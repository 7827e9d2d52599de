package main

import "runtime"

// sidecarProcessors is the number of processors that run Go code of a sidecar at the same
// time. Its VM has less than one core, which threads that the runtime wakes for further
// processors would only share.
const sidecarProcessors = 1

// limitProcessors applies sidecarProcessors, unless the environment sets GOMAXPROCS.
func limitProcessors(getenv func(string) string) {
	if getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(sidecarProcessors)
	}
}
