package main

import (
	"context"
	"fmt"
	"os"

	"dogwoodford/io/process/dogsidecar"
	"dogwoodford/platform"
)

// runSidecar runs the node of a deployment on the platform until ctx ends.
func runSidecar(ctx context.Context) error {
	file, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return fmt.Errorf("run sidecar: %w", err)
	}
	store := platform.NewStore(file.Store)
	if err := dogsidecar.Run(ctx, file.Sidecar, platform.Dialect{}, store, os.Stdout); err != nil {
		return fmt.Errorf("run sidecar: %w", err)
	}
	return nil
}
