package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dogwoodford/core/process/dogreplay"
)

const trace = `run 5s
data-centres a
delay client 1ms
service s workers 1 slots 10 time 10ms
class c importance 7 deadline 1s idempotent yes
tree c s
rate c 0s 50
expect ours goodput all >= 99% of demand from 0s to 5s
expect none goodput all < 50% of demand from 0s to 5s
`

// run executes the command on a file with the given text.
func run(t *testing.T, text string, args ...string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "t.trace")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := command(&out).Run(context.Background(), append(append([]string{"dogreplay"}, args...), file))
	return out.String(), err
}

// TestCommand guards against a failed expectation that passes unnoticed, output that
// differs between runs, and errors that do not name the line.
func TestCommand(t *testing.T) {
	out, err := run(t, trace)
	if err != nil || !strings.Contains(out, "pass  line 8") || strings.Contains(out, "line 9") {
		t.Errorf("ours: error %v, output:\n%s", err, out)
	}
	out, err = run(t, trace, "-policy", "none", "-seed", "3")
	if !errors.Is(err, errFailed) || !strings.Contains(out, "FAIL  line 9") {
		t.Errorf("none: error %v, want a failed expectation; output:\n%s", err, out)
	}
	first, err := run(t, trace, "-json")
	again, _ := run(t, trace, "-json")
	var results []dogreplay.Result
	if uerr := json.Unmarshal([]byte(first), &results); err != nil || uerr != nil || first != again {
		t.Errorf("JSON: errors %v and %v, same bytes: %t", err, uerr, first == again)
	}
	if _, err = run(t, "run 5s\nbogus\n"); err == nil || !strings.Contains(err.Error(), "t.trace:2:") {
		t.Errorf("invalid trace: error %v, want one that names t.trace:2", err)
	}
}
