// Command stand holds the stand-ins of the review's cases, and runs one case. Its exit code is
// 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
//
//	stand CASE RECORD
//
// It is started in the root of the repository. With TROUBLE=0 in the environment the case runs
// without its disruption.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// env is what a case needs to run.
type env struct {
	rec      *record
	dir      string // Temporary folder.
	trouble  bool
	store    *store
	machines []*machine
	runs     *runs
	p        ports
	subnet   int
}

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*env) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// stopOnSignal ends the run, with all that it started, if it is told to end.
func stopOnSignal(e *env) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	for _, m := range e.machines {
		m.kill()
	}
	os.Exit(2)
}

func runCase(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" { // The logs of the nodes are in the folder.
		defer os.RemoveAll(dir)
	}
	e := &env{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", runs: &runs{}}
	defer e.close()
	go stopOnSignal(e)
	broken, err := cases[name](e)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("result: the rule was broken")
		return 1
	}
	rec.say("result: the rule held")
	return 0
}

// open chooses addresses and starts the store.
func (e *env) open() error {
	for range 20 {
		e.subnet = 16 + rand.IntN(200)
		base := 20000 + 16*rand.IntN(700)
		e.p = ports{inbound: base, app: base + 1, ready: base + 2, outbound: base + 3, control: base + 4, first: base + 6, last: base + 9}
		if s, err := newStore(fmt.Sprintf("127.%d.0.1:%d", e.subnet, base+5), e.rec); err == nil {
			e.store = s
			return nil
		}
	}
	return errors.New("no free port for the store")
}

// add adds a machine with a node and a worker of a service. Neither is started.
func (e *env) add(service, zone string) *machine {
	n := len(e.machines) + 1
	m := &machine{
		name: fmt.Sprintf("%s-%d", service, n), service: service, zone: zone, ip: fmt.Sprintf("127.%d.1.%d", e.subnet, n),
		p: e.p, dir: e.dir, rec: e.rec, storeAddr: e.store.addr,
	}
	e.machines = append(e.machines, m)
	return m
}

// start starts all nodes and then all workers.
func (e *env) start(configure func(*worker)) error {
	for _, m := range e.machines {
		for _, port := range []int{e.p.inbound, e.p.app, e.p.ready, e.p.outbound, e.p.control, e.p.last} {
			ln, err := net.Listen("tcp", m.at(port))
			if err != nil {
				return fmt.Errorf("port in use: %w", err)
			}
			_ = ln.Close()
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for i, m := range e.machines {
		if err := m.awaitListening(); err != nil {
			return err
		}
		m.worker = e.newWorker(m, fmt.Sprintf("i-%04d", i+1), configure)
		if err := m.worker.start(); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) newWorker(m *machine, id string, configure func(*worker)) *worker {
	w := &worker{m: m, id: id, slots: 32, work: 20 * time.Millisecond, runs: e.runs}
	if configure != nil {
		configure(w)
	}
	return w
}

// close ends all processes and workers.
func (e *env) close() {
	for _, m := range e.machines {
		if m.worker != nil {
			m.worker.stop()
		}
		m.kill()
	}
	if e.store != nil {
		close(e.store.gone)
	}
	logs, _ := filepath.Glob(filepath.Join(e.dir, "*.log"))
	for _, l := range logs {
		if data, err := os.ReadFile(l); err == nil && len(data) > 0 {
			e.rec.log("log    %s has %d bytes", filepath.Base(l), len(data))
		}
	}
}

// route returns a route of the configuration.
func route(prefix, kind, service string, priority int) map[string]any {
	return map[string]any{
		"name": "r-" + service + "-" + kind, "pathPrefix": prefix, "kind": kind, "timeout": "1200ms", "targetLatency": "800ms",
		"priority": priority, "service": service, "attempts": 2,
	}
}

// configure writes the configuration.
func (e *env) configure(version int, services []string, routes ...map[string]any) {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 508, "protocol": "h1", "tls": false})
	}
	e.store.write("config", "main", map[string]any{
		"version": version, "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"hostname": "desk.example", "paths": routes}},
	})
}

// errUnfit means that the run did not come to the point that the case checks.
var errUnfit = errors.New("what precedes the disruption did not work")
