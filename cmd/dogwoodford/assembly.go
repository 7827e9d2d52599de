package main

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/io/process/dogsettings"
)

// errNotAssembled is returned where a part is not connected yet.
var errNotAssembled = eris.New("this part is not connected to the binary yet")

// dialPlatform makes the client of the object service. It is the one place
// where the binary chooses an implementation of dogwoodford.Platform.
func dialPlatform(address string) (dogwoodford.Platform, error) {
	return nil, fmt.Errorf("object service at %s: %w", address, errNotAssembled)
}

// runNode runs a node until ctx ends. It is the one place where the binary
// chooses an implementation of the node.
func runNode(_ context.Context, s dogsettings.Settings) error {
	return fmt.Errorf("node %s: %w", s.Node.Name, errNotAssembled)
}
