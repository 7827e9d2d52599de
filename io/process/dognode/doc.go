// Package dognode assembles a node: the listeners, the control loop and the
// clients, under one supervisor.
//
// One goroutine, the control loop, owns the control state: membership, the
// contracts in force, key ranges and suspects. It feeds events to the decision
// packages, carries their actions out, and publishes an immutable snapshot.
// Traffic goroutines load the snapshot and never wait for the control loop.
//
// # Files
//
//   - node.go builds the parts, starts and stops them.
//   - control.go is the control loop; member.go, config.go, ranges.go and
//     suspects.go carry out the actions of one decision package each.
//   - compare.go repairs what gossip did not bring.
//   - snapshot.go is what traffic goroutines see.
//   - peers.go answers other nodes, target.go watches the target, watch.go
//     holds the watches of the platform, drain.go ends a node without cutting
//     requests, admin.go and observe.go show what happens.
//
// # Usage
//
//	settings, err := dogsettings.Load("rounds-1.ini")
//	if err != nil {
//		return err
//	}
//	return dognode.Run(ctx, settings, os.Stderr) // Until ctx ends, then drains.
//
// The package decides nothing about requests, members or ranges.
package dognode
