// Command dogvalue prints the scores of measured days and their losses.
//
// # Usage
//
//	dogvalue journal/20261204T135312-9dcd32e9.json
//
// It prints a table in Markdown for each journal entry.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford/platform/value"
)

var errUsage = eris.New("no journal entry given")

func main() {
	cmd := &cli.Command{
		Name: "dogvalue", Usage: "print where the worth of measured days went", ArgsUsage: "FILE...",
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dogvalue:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errUsage
	}
	for _, path := range cmd.Args().Slice() {
		if err := printTable(path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

func printTable(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer func() { _ = f.Close() }() // The file was only read.
	e, err := value.Parse(f)
	if err != nil {
		return err
	}
	if err := value.Write(os.Stdout, e); err != nil {
		return err
	}
	fmt.Println()
	return nil
}
