// Package dogsidecar runs the node of a deployment that keeps all lasting
// state in the platform's store.
//
// The process holds the routing table, a view of the other nodes, what it
// knows of the target beside it, and counts of further attempts. All of it is
// read again after a restart: the table and the entries of the nodes from the
// store or, while that is down, from the first node that sends a request; the
// target from its next heartbeat.
//
// The package knows no names of the platform. What callers, targets and the
// store speak comes through a Dialect and a dogwoodford.Store.
//
// # Usage
//
//	err := dogsidecar.Run(ctx, settings, dialect, store, reload, os.Stdout)
//
// Run returns when ctx has ended and the requests in progress are answered.
package dogsidecar
