// Package dogpeer carries messages between nodes over connect-go.
//
// NewHandler serves the Peer service and passes validated values of the decision
// packages to a Handler. Client makes the calls. Both limit the size of messages,
// the number of concurrent calls and the duration of each call. The peer key of
// the settings is compared in constant time.
//
// # Validation
//
// Names, addresses, states, times and sizes are checked before a message reaches
// the Handler. A message with any malformed part is rejected as a whole, with an
// error that names the fault, so that it changes no state.
//
// # Usage
//
//	path, h := dogpeer.NewHandler(handler, dogpeer.ServerOptions{Key: key})
//	mux.Handle(path, h)
//
//	c := dogpeer.NewClient(dogpeer.ClientOptions{Key: key, Node: name})
//	answer, err := c.Probe(ctx, "127.0.0.1:7103", msg)
//
// The package keeps no membership state and does not retry.
package dogpeer
