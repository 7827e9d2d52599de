package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dogwoodford/io/process/dogsidecar"
	"dogwoodford/platform"
)

// runSidecar runs the node of a deployment on the platform until ctx ends.
func runSidecar(ctx context.Context) error {
	path := os.Getenv(platform.SettingsVariable)
	file, err := platform.ReadSettings(path)
	if err != nil {
		return fmt.Errorf("run sidecar: %w", err)
	}
	again := dogsidecar.SettingsSource{Signal: hangups(ctx), Read: func() (dogsidecar.Settings, error) {
		f, err := platform.ReadSettings(path)
		return f.Sidecar, err
	}}
	store := platform.NewStore(file.Store)
	if err := dogsidecar.Run(ctx, file.Sidecar, platform.Dialect{}, store, again, os.Stdout); err != nil {
		return fmt.Errorf("run sidecar: %w", err)
	}
	return nil
}

// hangups returns a channel that gets a value at each SIGHUP until ctx ends.
// Without a handler, the signal would end the process.
func hangups(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		// A node that is stopping must not end for a SIGHUP either.
		defer signal.Ignore(syscall.SIGHUP)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				out <- struct{}{}
			}
		}
	}()
	return out
}
