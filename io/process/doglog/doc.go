// Package doglog logs numbered events through log/slog.
//
// Every log line of a node is an Event with a number, a name and a level. All
// events are defined in one table, events.go, and described in docs/events.md. A
// test fails if either lacks an event of the other.
//
// # Usage
//
//	log := doglog.New(os.Stderr, slog.LevelInfo, doglog.JSON)
//	doglog.Log(ctx, log, doglog.TargetDied, slog.String("target", addr))
//
// To add an event, add a variable to the table in events.go with the next free
// number of its block, and a row to docs/events.md. Numbers are never reused.
//
// The package does not rotate or ship logs, and Log does not limit their rate.
// Use a Limiter for events that can occur for each request.
package doglog
