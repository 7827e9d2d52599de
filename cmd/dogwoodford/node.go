package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"

	"dogwoodford"
	"dogwoodford/io/process/dognode"
	"dogwoodford/io/process/dogplatform"
	"dogwoodford/io/process/dogsettings"
)

// newPlatform returns a client of the object service at address. It is the only place
// where the commands choose an implementation of dogwoodford.Platform.
func newPlatform(address string) (dogwoodford.Platform, error) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return dogplatform.New(dogplatform.Options{Address: address, Rand: rnd}), nil
}

// runNode runs a node until ctx ends, and then drains it.
func runNode(ctx context.Context, s dogsettings.Settings) error {
	if err := dognode.Run(ctx, s, os.Stderr); err != nil {
		return fmt.Errorf("run node: %w", err)
	}
	return nil
}
