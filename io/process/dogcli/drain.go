package dogcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogini"
)

// DrainPrefix is the prefix of the platform's objects that hold the drain marks of
// nodes.
const DrainPrefix = "drain/"

// errWriteUncertain means that a write may or may not have taken effect.
var errWriteUncertain = eris.New("it is not known whether the write took effect")

func (a *app) drainCommand() *cli.Command {
	return a.newCommand("drain", "mark a node as draining, so that it takes no new work and leaves", "NODE", 1, 1,
		append(platformFlags(), &cli.BoolFlag{Name: "withdraw", Usage: "withdraw the mark; a node that is already draining continues to drain"}),
		a.drain)
}

// drainResult is the result of drain.
type drainResult struct {
	Node     string `json:"node"`
	Marked   bool   `json:"marked"`  // Whether the platform now holds a mark.
	Changed  bool   `json:"changed"` // Whether this command wrote the object.
	AtMillis int64  `json:"at_ms"`   // Unix time in ms; applies to processes started at or before it. 0 without a mark.
}

func (a *app) drain(ctx context.Context, cmd *cli.Command) error {
	node := cmd.Args().First()
	if !dogini.ValidName(node) {
		return usagef("%q is not the name of a node", node)
	}
	p, err := a.platform(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	mark := dogmember.DrainMark{AtMillis: time.Now().UnixMilli()}
	if cmd.Bool("withdraw") {
		mark.AtMillis = 0
	}
	changed, err := writeDrainMark(ctx, p, DrainPrefix+node, mark)
	if err != nil {
		return err
	}
	res := drainResult{Node: node, Marked: mark.AtMillis != 0, Changed: changed, AtMillis: mark.AtMillis}
	return a.print(res, func(w io.Writer) {
		switch {
		case res.Marked:
			fmt.Fprintf(w, "node %s is marked as draining\n", node)
		case res.Changed:
			fmt.Fprintf(w, "the mark of node %s is withdrawn; a node that drains already goes on to leave\n", node)
		default:
			fmt.Fprintf(w, "node %s has no mark; nothing was changed\n", node)
		}
	})
}

// writeDrainMark replaces the content of the object by mark and reports whether it
// wrote. Operators who mark the same node at the same time want the same, so a
// conflict is retried.
func writeDrainMark(ctx context.Context, p dogwoodford.Platform, name string, mark dogmember.DrainMark) (bool, error) {
	value, err := json.Marshal(mark)
	if err != nil {
		return false, fmt.Errorf("encode drain mark: %w", err)
	}
	for {
		o, err := getObject(ctx, p, name)
		if err != nil {
			return false, err
		}
		var old dogmember.DrainMark
		readable := json.Unmarshal(o.Value, &old) == nil
		if mark.AtMillis == 0 && (o.Version == 0 || readable && old.AtMillis == 0) {
			return false, nil
		}
		_, err = updateObject(ctx, p, o, value)
		var coded *codedError
		if errors.As(err, &coded) && coded.code == CodeConflict && sleep(ctx, retryInterval) {
			continue
		}
		return err == nil, err
	}
}
