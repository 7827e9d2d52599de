// Package dognode assembles a node: it builds the listeners, the control loop
// and the clients, and runs them under one supervisor.
//
// One goroutine, the control loop, owns the control state: membership, the
// contracts in force, key ranges and suspects. It feeds events to the decision
// packages, carries out the actions that they return, and publishes an
// immutable snapshot. Goroutines that serve requests load the snapshot and never
// wait for the control loop.
//
// # Files
//
//   - node.go builds, starts and stops the parts.
//   - control.go is the control loop; member.go, config.go, ranges.go and
//     suspects.go carry out the actions of one decision package each.
//   - antientropy.go pulls updates that gossip did not deliver.
//   - snapshot.go is the view of the control state that requests use.
//   - pressure.go adapts early refusals and suspects for the request path.
//   - peers.go answers other nodes, target.go monitors the target, and watch.go
//     watches objects of the platform.
//   - drain.go stops a node without aborting requests.
//   - admin.go serves the status pages; observe.go logs, counts and traces.
//
// # Usage
//
//	settings, err := dogsettings.Load("rounds-1.ini")
//	if err != nil {
//		return err
//	}
//	return dognode.Run(ctx, settings, os.Stderr) // Drains when ctx ends.
//
// The package makes no decisions about requests, members or key ranges: those
// are up to the decision packages.
package dognode
