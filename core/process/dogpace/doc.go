// Package dogpace decides how often the nodes of a fleet poll the platform's
// store for changes.
//
// A poll is a watch call, which returns at the first change or after a given
// wait. A watch can stall: the store loses its history, and the call neither
// reports changes nor returns. Each watch call is therefore bounded in time.
// Nodes that exchange requests notify each other of newer configurations, so
// that polls of different nodes can take turns: the poll interval of one node
// grows with the number of nodes, while the rate of all nodes together does
// not. A node that receives few messages from others relies on its own watch
// and polls often.
//
// # Usage
//
//	p := dogpace.New(dogpace.Options{MinWait: 1500 * time.Millisecond, Rand: rng})
//	p.RecordMessage() // For each request or answer of another node.
//	wait := p.Wait(now, nodes)
//	pause := dogpace.Pause(nodes) // After a change.
//
// The package makes no calls and starts no timers.
package dogpace
