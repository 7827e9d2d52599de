// Package dogpace decides how often the nodes of a fleet ask the platform's
// store for changes.
//
// A watch answers at the first change, but it can go deaf: the store forgets
// its history, and the watch hears of no change and does not end. A watch is
// therefore made anew after some time. Nodes that exchange requests tell each
// other of newer configurations, so that it is enough if one of them asks at a
// time: the time between two questions of one node grows with the number of
// nodes, and the calls of all nodes together do not. A node that hears little
// of others relies on its own watch and asks often.
//
// # Usage
//
//	p := dogpace.New(dogpace.Options{Least: 1500 * time.Millisecond, Rand: rng})
//	p.Heard() // For each request or answer of another node.
//	wait := p.Wait(now, nodes)
//	pause := dogpace.Pause(nodes) // After a change.
//
// The package makes no calls and starts no timers.
package dogpace
