// Package dogfresh decides until when a node trusts the keys of its configuration.
//
// A node may accept the keys of a version only while it knows that this version was the
// newest at a moment less than a lifetime ago. A Tracker keeps the version in force
// together with the latest such moment. Two kinds of observation prove a moment:
//
//   - An answer of the store proves the moment before the question was sent, because every
//     write that was acknowledged before is part of the answer.
//   - An answer of another node with the same version proves the moment before the question
//     was sent, less the age that the answer states.
//
// Moments are readings of a clock that counts the time in which the process or the machine
// was suspended, such as CLOCK_BOOTTIME. Moments of different machines are never compared:
// only ages travel.
//
// An observation renews only the version that it is about. One of a newer version is kept
// until that version comes into force. A request that was routed by the version before is
// judged by the last moment of that version, which is not renewed any more.
//
// Next tells what the node should ask to keep its knowledge young: other nodes once it is
// older than usual, and the store and several nodes at a time near the end of the lifetime.
//
// # Usage
//
//	t := dogfresh.New(dogfresh.Options{Lifetime: 4750 * time.Millisecond, Rand: rng})
//	asked := now()                 // Before the question is sent.
//	t.Observe(7, asked)            // An answer of the store with version 7.
//	t.Adopt(7)                     // Version 7 is in force.
//	t.Observe(7, asked-age)        // An answer of another node.
//	ok := t.Trusted(7, now())      // For a request that is routed by version 7.
//	version, age, ok := t.Age(now()) // For an answer to another node.
//	action := t.Next(now(), nodes) // What to ask, and when to call Next again.
//
// The package makes no calls and starts no timers.
package dogfresh
