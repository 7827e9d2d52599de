// Package dogcli holds the commands of the dogwoodford binary.
//
// The commands are stateless: they read files, the platform's object service
// and the status of nodes. Each accepts --json for machine-readable output.
// docs/operators.md describes the commands and their exit codes.
//
// # Usage
//
//	os.Exit(dogcli.Main(ctx, os.Args, dogcli.Options{
//		Stdout:       os.Stdout,
//		Stderr:       os.Stderr,
//		DialPlatform: dial,       // Returns a dogwoodford.Platform.
//		RunNode:      run,        // Runs a node.
//		RunSidecar:   runSidecar, // Runs a node with the settings of the platform.
//	}))
//
// The package does not run a node itself. The commands affect running nodes only
// through contracts, drain marks, the release of a key range whose owner and
// witness are lost, and the release of quarantined content.
package dogcli
