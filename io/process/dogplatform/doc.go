// Package dogplatform is the client of the platform's object service.
//
// Client implements dogwoodford.Platform over HTTP and JSON. Each call has a
// deadline. A limited number of calls run at once; further ones wait within
// their deadline. Reads are retried with jittered exponential backoff; writes
// are not, as a write whose response was lost may have taken effect.
//
// After several consecutive failures the circuit breaker opens: calls fail
// immediately, except for single trial calls after a jittered exponential
// backoff. When a trial succeeds, the circuit closes and the permitted call
// rate grows gradually, so that clients do not overload the service at the end
// of an outage.
//
// # Usage
//
//	c := dogplatform.New(dogplatform.Options{Address: "127.0.0.1:7000", Rand: rnd})
//	obj, err := c.Get(ctx, "contract/firm-1")
//
// The package does not cache objects.
package dogplatform
