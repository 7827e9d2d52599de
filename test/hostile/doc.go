// Package hostile tests the program against clients that do not keep its limits.
//
// Each test starts one process of `dogwoodford sidecar` with lowered limits, beside
// stand-ins of the store and of a target, and lets a small crowd of clients misbehave at
// all its listeners. It checks that the process lives, that its memory and its open
// descriptors stay under bounds that follow from the settings, and that ordinary requests
// are answered while the crowd keeps its connections open. It checks no times and no share
// of served requests.
//
// # Usage
//
//	go test ./test/hostile
package hostile
