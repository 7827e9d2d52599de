// Package dogcli holds the commands of the dogwoodford binary.
//
// The commands are stateless: they read files, the platform's object service
// and the status of nodes, and keep nothing. Each takes --json for output that
// programs read. docs/operators.md describes the commands and their exit
// codes.
//
// # Usage
//
//	os.Exit(dogcli.Main(ctx, os.Args, dogcli.Options{
//		Stdout:   os.Stdout,
//		Stderr:   os.Stderr,
//		Platform: dial, // Makes a dogwoodford.Platform.
//		Run:      run,  // Runs a node.
//	}))
//
// The package does not run a node itself. It changes what nodes do through
// contracts, and otherwise only by a drain mark, the release of a key range
// whose owner and witness are lost, and the release of quarantined content.
package dogcli
