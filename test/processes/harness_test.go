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
	// limit bounds each wait for a condition.
	limit = 30 * time.Second
	// mostProcesses bounds the processes of all tests that run at once.
	mostProcesses = 25
	credential    = "firm-1-sample-credential"
)

//go:embed testdata/contract.ini
var contractText string

//go:embed testdata/settings.ini
var settingsText string

var (
	binaries  string
	processes = semaphore.NewWeighted(mostProcesses)
	portMu    sync.Mutex
	// Ports below the range from which the system takes those of outgoing
	// connections, so that none is taken between its choice and its use.
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
	binaries = dir
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "dogwoodford/cmd/dogwoodford", "dogwoodford/cmd/dogfake")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func freePort(t *testing.T) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range 1000 {
		nextPort++
		if nextPort > 26000 {
			nextPort = 11000
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is one process that the test started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // Closed when it has ended.
	code int           // Exit code, -1 after a signal.
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("signal %s to %s: %v", s, p.name, err)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // An error means that it has ended.
	<-p.done
}

// wait returns the exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(2 * limit):
		t.Fatalf("%s does not end", p.name)
	}
	return p.code
}

// worker is a node and its target.
type worker struct {
	name, service, place              string
	entry, exit, peer, admin, address string
	calls                             string // Child calls of the target.
	node, target                      *process
}

// fleet is a platform and workers.
type fleet struct {
	t        *testing.T
	dir      string
	platform string
	server   *process
	workers  []*worker
	all      []*process
	client   *http.Client
}

// newFleet starts a platform. size is the number of processes that the test
// has at once.
func newFleet(t *testing.T, size int64) *fleet {
	t.Helper()
	t.Parallel()
	return newFirstFleet(t, size)
}

// newFirstFleet is newFleet for tests that get their processes before the
// others and fill the bound, so that the package ends in time.
func newFirstFleet(t *testing.T, size int64) *fleet {
	t.Helper()
	if err := processes.Acquire(t.Context(), size); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processes.Release(size) })
	// A new connection for each request: the HTTP library must not repeat any.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	f := &fleet{t: t, dir: t.TempDir(), platform: freePort(t), client: client}
	t.Cleanup(f.stop)
	f.server = f.start("platform", "dogfake", "platform", "--listen", f.platform)
	f.eventually("the platform listens", func() error { return f.get("http://"+f.platform+"/control/counts", new(map[string]int64)) })
	return f
}

// stop ends each process that was started, and shows the logs after a failure.
func (f *fleet) stop() {
	for _, p := range f.all {
		p.kill()
		log, err := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
		if err != nil {
			f.t.Error(err)
		}
		if bytes.Contains(log, []byte("panic")) || bytes.Contains(log, []byte("DATA RACE")) {
			f.t.Errorf("%s panicked", p.name)
		}
		if f.t.Failed() {
			lines := strings.Split(strings.TrimSpace(string(log)), "\n")
			f.t.Logf("end of the log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	}
}

func (f *fleet) start(name, binary string, args ...string) *process {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, binary), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.all = append(f.all, p)
	go func() {
		_ = p.cmd.Wait() // The exit code tells.
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	return p
}

// add describes a worker; its processes are started by startTarget and
// startNode.
func (f *fleet) add(name, place, calls string) *worker {
	f.t.Helper()
	service, _, _ := strings.Cut(name, "-")
	w := &worker{
		name: name, service: service, place: place, calls: calls,
		entry: freePort(f.t), exit: freePort(f.t), peer: freePort(f.t), admin: freePort(f.t), address: freePort(f.t),
	}
	f.workers = append(f.workers, w)
	return w
}

func (f *fleet) startTarget(w *worker, args ...string) {
	f.t.Helper()
	all := []string{"target", "--listen", w.address, "--service", w.service, "--slots", "40", "--time", "5ms",
		"--exit", w.exit, "--journal", filepath.Join(f.dir, "journal-"+w.name)}
	if w.calls != "" {
		all = append(all, "--calls", w.calls)
	}
	w.target = f.start("target-"+w.name, "dogfake", append(all, args...)...)
}

func (f *fleet) startNode(w *worker, seeds ...string) {
	f.t.Helper()
	text := fmt.Sprintf(settingsText, w.name, w.service, w.place, w.entry, w.exit, w.peer, w.admin, w.address, f.platform)
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ", ") + "\n"
	}
	w.node = f.start("node-"+w.name, "dogwoodford", "node", "--settings", f.write(w.name+".ini", text))
}

func (f *fleet) write(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run starts all workers, applies the contract and waits until the fleet is
// settled.
func (f *fleet) run() {
	f.t.Helper()
	for _, w := range f.workers {
		f.startTarget(w)
		f.startNode(w)
	}
	f.apply(1)
	f.settled(1, f.workers...)
}

// apply brings the next generation of the contract into force.
func (f *fleet) apply(generation int) {
	f.t.Helper()
	base := max(1, generation-1) // The file is built on the generation before.
	text := strings.Replace(contractText, "generation = 1", fmt.Sprintf("generation = %d", base), 1)
	file := f.write(fmt.Sprintf("contract-%d.ini", generation), text)
	if code, out := f.command("contract", "apply", "--platform", f.platform, file); code != 0 {
		f.t.Fatalf("contract apply: code %d\n%s", code, out)
	}
}

func (f *fleet) read(name string) string {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(f.dir, name))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(data)
}

// command runs an operator command.
func (f *fleet) command(args ...string) (int, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, "dogwoodford"), args...)
	out, _ := cmd.CombinedOutput() // The code tells.
	return cmd.ProcessState.ExitCode(), string(out)
}

// settled waits until all workers see each other ready, have the generation in
// force, and every key range has an owner among them whose window has begun.
func (f *fleet) settled(generation int64, workers ...*worker) {
	f.t.Helper()
	names, nodes := make(map[string]bool), make(map[string]int)
	for _, w := range workers {
		names[w.name] = true
		nodes[w.service]++
	}
	for _, w := range workers {
		f.eventually(w.name+" is settled", func() error {
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

// ownedRanges returns the number of ranges with an owner and, if asked, a
// witness among names, and a window that has begun.
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

// eventually polls check until it returns nil.
func (f *fleet) eventually(what string, check func() error) {
	f.t.Helper()
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	f.t.Fatalf("not in time: %s: %v", what, err)
}

func (f *fleet) get(url string, v any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// control posts to the control of a stand-in.
func (f *fleet) control(address, path, body string) {
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

// ran returns how often each key was started at the targets, by their journals,
// which outlast a kill. Targets that live must agree by GET /control/ran.
func (f *fleet) ran() map[string]int {
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
		if err := f.get("http://"+w.address+"/control/ran", &live); err != nil {
			continue // It has ended.
		}
		for key, n := range live.Keys {
			if keys[key] < n.Started {
				f.t.Errorf("%s started key %s %d times, its journal has %d", w.name, key, n.Started, keys[key])
			}
		}
	}
	return keys
}
