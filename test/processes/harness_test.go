package processes

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"dogwoodford"
	"dogwoodford/io/process/dogstatus"
)

const (
	// waitTimeout bounds each wait for a condition.
	waitTimeout = 30 * time.Second
	// maxProcesses bounds the number of processes that all tests run at once.
	maxProcesses = 25
	credential   = "firm-1-sample-credential"
)

//go:embed testdata/contract.ini
var contractText string

//go:embed testdata/settings.ini
var settingsText string

var (
	binaryDir        string
	processSemaphore = semaphore.NewWeighted(maxProcesses)
	portMu           sync.Mutex
	// nextPort lies below the ephemeral port range of the system, so that no
	// outgoing connection takes a port between its choice and its use.
	nextPort = 11000 + rand.IntN(14000)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dogwoodford-processes")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "dogwoodford/cmd/dogwoodford", "dogwoodford/cmd/dogfake")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range 1000 {
		nextPort++
		if nextPort > 26000 {
			nextPort = 11000
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if isFree(addr) {
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// isFree reports whether a listener can be opened at addr. No process is started
// meanwhile: until it executes its program it would hold the listener, and addr would be
// in use for a moment longer.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}

// process is a process started by a test.
type process struct {
	name     string
	cmd      *exec.Cmd
	done     chan struct{} // Closed when the process has ended.
	exitCode int           // Exit code; -1 if a signal ended the process.
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("signal %s to %s: %v", s, p.name, err)
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // Fails only if the process has already ended.
	<-p.done
}

// wait waits until the process has ended and returns its exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(2 * waitTimeout):
		t.Fatalf("%s did not end in time", p.name)
	}
	return p.exitCode
}

// worker is a node and the target behind it.
type worker struct {
	name, service, dataCentre               string
	entry, exit, peer, admin, targetAddress string
	childCalls                              string // Child calls of the target, as of dogfake target --calls.
	node, target                            *process
}

// fleet is a platform and the workers that use it.
type fleet struct {
	t               *testing.T
	dir             string
	platformAddress string
	platformProcess *process
	workers         []*worker
	all             []*process
	client          *http.Client
}

// newFleet starts a platform for a test that runs in parallel with others. size
// is the maximum number of processes that the test runs at once.
func newFleet(t *testing.T, size int64) *fleet {
	t.Helper()
	t.Parallel()
	return newSerialFleet(t, size)
}

// newSerialFleet is newFleet without t.Parallel. Tests that call it before
// t.Parallel acquire their processes before the others do and together use up
// maxProcesses, so that the package ends in time.
func newSerialFleet(t *testing.T, size int64) *fleet {
	t.Helper()
	if err := processSemaphore.Acquire(t.Context(), size); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processSemaphore.Release(size) })
	// A new connection for each request, as net/http may repeat requests on reused
	// connections, and each request must be sent once.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	f := &fleet{t: t, dir: t.TempDir(), platformAddress: freeAddress(t), client: client}
	t.Cleanup(f.stop)
	f.platformProcess = f.startProcess("platform", "dogfake", "platform", "--listen", f.platformAddress)
	f.eventually("the platform accepts connections", func() error { return f.get("http://"+f.platformAddress+"/control/counts", new(map[string]int64)) })
	return f
}

// stop kills all processes, reports those whose logs show a panic or a data
// race, and prints the ends of the logs if the test failed.
func (f *fleet) stop() {
	for _, p := range f.all {
		p.kill()
		log, err := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
		if err != nil {
			f.t.Error(err)
		}
		if bytes.Contains(log, []byte("panic")) || bytes.Contains(log, []byte("DATA RACE")) {
			f.t.Errorf("%s panicked or had a data race", p.name)
		}
		if f.t.Failed() {
			lines := strings.Split(strings.TrimSpace(string(log)), "\n")
			f.t.Logf("end of the log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	}
}

func (f *fleet) startProcess(name, binary string, args ...string) *process {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaryDir, binary), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.all = append(f.all, p)
	go func() {
		_ = p.cmd.Wait() // The exit code is checked instead.
		p.exitCode = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	return p
}

// addWorker adds a worker whose processes are started by startTarget and
// startNode.
func (f *fleet) addWorker(name, dataCentre, childCalls string) *worker {
	f.t.Helper()
	service, _, _ := strings.Cut(name, "-")
	w := &worker{
		name: name, service: service, dataCentre: dataCentre, childCalls: childCalls,
		entry: freeAddress(f.t), exit: freeAddress(f.t), peer: freeAddress(f.t), admin: freeAddress(f.t), targetAddress: freeAddress(f.t),
	}
	f.workers = append(f.workers, w)
	return w
}

func (f *fleet) startTarget(w *worker, args ...string) {
	f.t.Helper()
	all := []string{"target", "--listen", w.targetAddress, "--service", w.service, "--slots", "40", "--time", "5ms",
		"--exit", w.exit, "--journal", filepath.Join(f.dir, "journal-"+w.name)}
	if w.childCalls != "" {
		all = append(all, "--calls", w.childCalls)
	}
	w.target = f.startProcess("target-"+w.name, "dogfake", append(all, args...)...)
}

func (f *fleet) startNode(w *worker, seeds ...string) {
	f.t.Helper()
	text := fmt.Sprintf(settingsText, w.name, w.service, w.dataCentre, w.entry, w.exit, w.peer, w.admin, w.targetAddress, f.platformAddress)
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ", ") + "\n"
	}
	w.node = f.startProcess("node-"+w.name, "dogwoodford", "node", "--settings", f.writeFile(w.name+".ini", text))
}

func (f *fleet) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// startAll starts all workers, applies the contract and waits until the fleet
// has converged.
func (f *fleet) startAll() {
	f.t.Helper()
	for _, w := range f.workers {
		f.startTarget(w)
		f.startNode(w)
	}
	f.applyContract(1)
	f.waitConverged(1, f.workers...)
}

// applyContract applies the contract, which gives it the generation.
func (f *fleet) applyContract(generation int) {
	f.t.Helper()
	base := max(1, generation-1) // The file names the generation on which it is based.
	text := strings.Replace(contractText, "generation = 1", fmt.Sprintf("generation = %d", base), 1)
	file := f.writeFile(fmt.Sprintf("contract-%d.ini", generation), text)
	if code, out := f.runCommand("contract", "apply", "--platform", f.platformAddress, file); code != 0 {
		f.t.Fatalf("contract apply: code %d\n%s", code, out)
	}
}

func (f *fleet) readFile(name string) string {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(f.dir, name))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(data)
}

// runCommand runs an operator command and returns its exit code and output.
func (f *fleet) runCommand(args ...string) (int, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaryDir, "dogwoodford"), args...)
	out, _ := cmd.CombinedOutput() // The exit code is checked instead.
	return cmd.ProcessState.ExitCode(), string(out)
}

// waitConverged waits until all workers see each other as ready, have the
// generation in force, and see for every key range an owner among them whose
// window has begun.
func (f *fleet) waitConverged(generation int64, workers ...*worker) {
	f.t.Helper()
	names, nodes := make(map[string]bool), make(map[string]int)
	for _, w := range workers {
		names[w.name] = true
		nodes[w.service]++
	}
	for _, w := range workers {
		f.eventually(w.name+" has converged", func() error {
			s, err := f.status(w)
			if err != nil {
				return err
			}
			ready := 0
			for _, m := range s.Members {
				if names[m.Node] && m.State == "ready" {
					ready++
				}
			}
			owned := ownedRanges(s, names, nodes[w.service] > 1)
			if ready != len(workers) || owned != dogwoodford.KeyRanges || s.Generation("firm-1") != generation {
				return fmt.Errorf("%d members ready, %d ranges owned, generation %d", ready, owned, s.Generation("firm-1"))
			}
			return nil
		})
	}
}

// ownedRanges returns the number of ranges that have an owner and, with witness
// set, also a witness among names, and whose window has begun.
func ownedRanges(s dogstatus.Status, names map[string]bool, witness bool) int {
	n := 0
	for _, r := range s.Ranges {
		if names[r.Owner] && (!witness || names[r.Witness]) && !r.Start.After(time.Now()) {
			n++
		}
	}
	return n
}

func (f *fleet) status(w *worker) (dogstatus.Status, error) {
	return dogstatus.Fetch(f.t.Context(), f.client, w.admin)
}

// eventually polls check until it returns nil, and fails the test after
// waitTimeout.
func (f *fleet) eventually(what string, check func() error) {
	f.t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	f.t.Fatalf("timed out: %s: %v", what, err)
}

func (f *fleet) get(url string, v any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// postControl posts body to a control endpoint of a stand-in.
func (f *fleet) postControl(address, path, body string) {
	f.t.Helper()
	resp, err := f.client.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		f.t.Fatalf("%s: status %d: %s", path, resp.StatusCode, b)
	}
}

// startCounts returns how often the targets started each key according to their
// journals, which survive a kill. It reports an error if a running target counts
// more starts by GET /control/ran than its journal holds.
func (f *fleet) startCounts() map[string]int {
	f.t.Helper()
	keys := make(map[string]int)
	for _, w := range f.workers {
		data, err := os.ReadFile(filepath.Join(f.dir, "journal-"+w.name))
		if err != nil && !os.IsNotExist(err) {
			f.t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var key, id string
			if _, err := fmt.Sscanf(string(line), "%q %q", &key, &id); err != nil {
				f.t.Fatalf("journal of %s: %q: %v", w.name, line, err)
			}
			if key != "" {
				keys[key]++
			}
		}
		var live struct {
			Keys map[string]struct {
				Started int `json:"started"`
			} `json:"keys"`
		}
		if err := f.get("http://"+w.targetAddress+"/control/ran", &live); err != nil {
			continue // The target has ended.
		}
		for key, n := range live.Keys {
			if keys[key] < n.Started {
				f.t.Errorf("%s started key %s %d times, but its journal holds %d starts", w.name, key, n.Started, keys[key])
			}
		}
	}
	return keys
}
