// Package dogplatform is the client of the platform's object service.
//
// Client implements dogwoodford.Platform over HTTP and JSON. Each call has a
// deadline. A bounded number of calls run at once; further ones wait within
// their deadline. Reads are tried again after a jittered pause; writes are not,
// as a write whose answer was lost may have taken effect.
//
// After several failures in a row the circuit opens: calls fail at once, and
// single trial calls are let through at jittered, growing intervals. When a
// trial succeeds the rate of calls grows step by step, so that the end of an
// outage causes no stampede.
//
// # Usage
//
//	c := dogplatform.New(dogplatform.Options{Address: "127.0.0.1:7000", Rand: rnd})
//	obj, err := c.Get(ctx, "contract/firm-1")
//
// The package keeps no copy of objects.
package dogplatform
