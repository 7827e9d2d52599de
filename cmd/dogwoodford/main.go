package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodford/io/process/dogcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := dogcli.Main(ctx, os.Args, dogcli.Options{
		Stdout:       os.Stdout,
		Stderr:       os.Stderr,
		DialPlatform: newPlatform,
		RunNode:      runNode,
		RunSidecar:   runSidecar,
	})
	stop()
	os.Exit(code)
}
