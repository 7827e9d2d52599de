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

// runSidecar runs the node of a deployment on the platform until ctx ends. It reads the
// settings file again at each SIGHUP.
func runSidecar(ctx context.Context) error {
	limitProcessors(os.Getenv)
	path := os.Getenv(platform.SettingsVariable)
	file, err := platform.ReadSettings(path)
	if err != nil {
		return fmt.Errorf("run sidecar: %w", err)
	}
	store := platform.NewStore(file.Store)
	if file.Sidecar.KeyLifetime > 0 {
		kind, _ := platform.Dialect{}.ConfigObject()
		store.SeparateReads(kind)
	}
	source := dogsidecar.SettingsSource{Signal: hangupSignals(ctx), Read: func() (dogsidecar.Settings, error) {
		f, err := platform.ReadSettings(path)
		if err == nil {
			store.SetAddress(f.Store)
		}
		return f.Sidecar, err
	}}
	if err := dogsidecar.Run(ctx, file.Sidecar, platform.Dialect{}, store, source, os.Stdout); err != nil {
		return fmt.Errorf("run sidecar: %w", err)
	}
	return nil
}

// hangupSignals returns a channel that receives a value for each SIGHUP until ctx ends.
// Without a handler, the signal would end the process.
func hangupSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		// SIGHUP must not end a node that is stopping either.
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
