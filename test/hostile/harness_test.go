package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodford/platform"
	"dogwoodford/platform/standin"
)

// Lowered limits of the settings and the bounds that follow from them.
const (
	// memoryMb is limits.memoryMb: the memory at which the platform kills the process.
	// It is therefore the bound on resident memory.
	memoryMb = 96
	// maxFds is limits.maxFds, the descriptors that the platform permits to the process.
	maxFds = 600
	// reservedFds of them are set aside for files, so that the rest is the bound on open
	// descriptors.
	reservedFds = 200
	// maxHeaderBytes is the limit that the configuration sets for header sections.
	maxHeaderBytes = 4096
)

// Ports of the process. Its address differs from those of other packages' tests.
const (
	nodeIP       = "127.0.91.1"
	portInbound  = 18400
	portOutbound = 18404
	portReady    = 18402
	portControl  = 18406
	portMetrics  = 18435
	portTarget   = 18401
)

const (
	// answerTimeout bounds the wait for an ordinary answer. It exceeds by far what any
	// machine needs.
	answerTimeout = 30 * time.Second
	// sampleInterval is the interval at which the open descriptors are counted.
	sampleInterval = 20 * time.Millisecond
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dogwoodford-hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "dogwoodford")
	if out, err := exec.Command("go", "build", "-o", program, "dogwoodford/cmd/dogwoodford").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// at returns the address of a port of the process.
func at(port int) string { return net.JoinHostPort(nodeIP, strconv.Itoa(port)) }

// settings returns the contents of the settings file.
func settings(store string) string {
	return fmt.Sprintf(`nodeName=node-1
service=sheets
zone=z1
ip=%s
listen.outbound=%s
listen.inbound=%s
listen.readinessAddress=%s
listen.control=%s
portRange=%d,%d
limits.memoryMb=%d
limits.maxFds=%d
heartbeat=500ms
appAddr=%s
platform.address=%s
bounds=grace=6s,retryBudgetRatio=0.2,budgetWindow=10s,budgetSlack=48
`, nodeIP, at(portOutbound), at(portInbound), at(portReady), at(portControl), portMetrics, portMetrics, memoryMb, maxFds,
		at(portTarget), store)
}

// configuration returns the configuration in the store.
func configuration(t *testing.T) json.RawMessage {
	t.Helper()
	value, err := json.Marshal(map[string]any{
		"version":  1,
		"services": []any{map[string]any{"name": "sheets"}},
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 1 << 20, "headerTimeout": "1s", "idleTimeout": "2s",
		},
		"virtualHosts": []any{map[string]any{"hostname": "h", "paths": []any{map[string]any{
			"name": "r", "pathPrefix": "/a/", "kind": "idempotent", "timeout": "5s", "targetLatency": "1s", "service": "sheets",
		}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// node is the process under test.
type node struct {
	cmd    *exec.Cmd
	exited chan struct{} // Closed when the process has ended.
	log    string        // Path of its output.

	mu      sync.Mutex
	mostFds int // Most open descriptors that were counted.
}

// startNode starts the stand-ins and the process, and waits until it answers an ordinary
// request.
func startNode(t *testing.T) *node {
	t.Helper()
	store := standin.NewStore()
	store.Write("config", "main", configuration(t))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.conf")
	if err := os.WriteFile(path, []byte(settings(strings.TrimPrefix(srv.URL, "http://"))), 0o600); err != nil {
		t.Fatal(err)
	}
	n := &node{exited: make(chan struct{}), log: filepath.Join(dir, "log")}
	out, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	n.cmd = exec.Command(program, "sidecar")
	n.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.cmd.Wait() // A killed process gives an error, which is expected.
		_ = out.Close()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill() // It may have ended already.
		<-n.exited
	})
	target, err := standin.StartTarget(standin.TargetOptions{
		ID: "sheets-1", Service: "sheets", Address: at(portTarget), Control: at(portControl), Outbound: at(portOutbound),
		Slots: 16, Work: time.Millisecond, Heartbeat: 200 * time.Millisecond, Runs: new(standin.Runs),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Stop(true) })
	n.checkAnswers(t)
	return n
}

// status returns the value in kilobytes of a line of /proc/PID/status.
func (n *node) status(t *testing.T, field string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v\n%s", err, n.logEnd())
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		if name != field {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		if err != nil {
			t.Fatal(err)
		}
		return kb
	}
	t.Fatalf("no %s in the status of the process, which may have ended\n%s", field, n.logEnd())
	return 0
}

// countFds counts the open descriptors until ctx ends.
func (n *node) countFds(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err == nil {
			n.mu.Lock()
			n.mostFds = max(n.mostFds, len(entries))
			n.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// check checks that the process lives, has kept its bounds, and answers.
func (n *node) check(t *testing.T) {
	t.Helper()
	select {
	case <-n.exited:
		t.Fatalf("the process has ended\n%s", n.logEnd())
	default:
	}
	n.checkAnswers(t)
	n.mu.Lock()
	fds := n.mostFds
	n.mu.Unlock()
	peak := n.status(t, "VmHWM")
	t.Logf("peak resident memory %d MB of %d, now %d MB; at most %d descriptors of %d", peak>>10, memoryMb,
		n.status(t, "VmRSS")>>10, fds, maxFds-reservedFds)
	if peak>>10 >= memoryMb {
		t.Errorf("peak resident memory is %d MB, want less than %d", peak>>10, memoryMb)
	}
	if fds > maxFds-reservedFds {
		t.Errorf("%d open descriptors, want at most %d", fds, maxFds-reservedFds)
	}
}

// checkAnswers checks that each listener answers an ordinary request. A client may be
// rejected while a crowd holds its connections, and then tries again.
func (n *node) checkAnswers(t *testing.T) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	end := time.Now().Add(answerTimeout)
	for i := 0; ; i++ {
		a := standin.Send(t.Context(), client, at(portOutbound), standin.Attempt{
			ID: fmt.Sprintf("ordinary-%d", i), Method: http.MethodGet, Host: "h", Path: "/a/x", Deadline: 5 * time.Second,
		})
		if a.Status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("an ordinary request is answered %d (%v)\n%s", a.Status, a.Err, n.logEnd())
		}
		time.Sleep(sampleInterval)
	}
	for _, url := range []string{
		"http://" + at(portReady) + "/dogwoodford/ready", "http://" + at(portMetrics) + "/", "http://" + at(portInbound) + "/",
		"http://" + at(portControl) + "/",
	} {
		for {
			resp, err := client.Get(url)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode < http.StatusInternalServerError {
					break
				}
			}
			if time.Now().After(end) {
				t.Fatalf("GET %s: %v\n%s", url, err, n.logEnd())
			}
			time.Sleep(sampleInterval)
		}
	}
}

// logEnd returns the last lines of the output of the process.
func (n *node) logEnd() string {
	const lastBytes = 2000
	data, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-lastBytes):])
}
