// Package dogsidecar runs the node of a deployment that keeps all persistent
// state in the platform's store.
//
// The process holds in memory the routing table, a view of the other nodes, the
// state of the target beside it, and counts of retries. A restarted process
// reads the table and the entries of the nodes from the store or, while that is
// unavailable, from the first node that sends a request; it learns the state of
// the target from the next heartbeat and starts new counts.
//
// With Settings.KeyLifetime the node accepts keys only while it knows that its
// configuration was the newest less than this time ago. It follows the store with shorter
// watches, asks other nodes near the end of the time, and tells them how old its own
// knowledge is. Package dogfresh decides this.
//
// The package contains no names of the platform. A Dialect and a
// dogwoodford.Store implement the protocols of callers, targets and the store.
//
// # Usage
//
//	err := dogsidecar.Run(ctx, settings, dialect, store, settingsSource, os.Stdout)
//
// Run returns when ctx has ended and the requests in progress have been
// answered or the grace period is over.
package dogsidecar
