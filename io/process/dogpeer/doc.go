// Package dogpeer carries messages between nodes over connect-go.
//
// NewHandler serves the Peer service and hands validated values of the decision
// packages to a Handler. Client makes the calls. Both bound the size of
// messages, the number of calls at once and the time of each call. The peer key
// of the settings is compared in constant time.
//
// # Validation
//
// Everything received is checked before it reaches a decision package: names,
// addresses, states, times and sizes. A malformed message is refused as a whole
// with a clear error, so that it changes nothing.
//
// # Usage
//
//	path, h := dogpeer.NewHandler(handler, dogpeer.ServerOptions{Key: key})
//	mux.Handle(path, h)
//
//	c := dogpeer.NewClient(dogpeer.ClientOptions{Key: key, Node: name})
//	answer, err := c.Probe(ctx, "127.0.0.1:7103", msg)
//
// The package holds no membership and does not retry.
package dogpeer
