// Command stand2 plays the cases of the second review: it starts the nodes of a small
// deployment as processes, with stand-ins for the platform's store, the workers and the
// clients, and checks one rule. It runs in the root of the repository.
//
// Usage:
//
//	target/stand2 CASE RECORD TROUBLE
//
// With 0 for TROUBLE the disruption is left out, with 1 it is played. The exit code is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "hulo84.example"

// Bounds of the small sites.
const (
	contact  = 3 * time.Second
	drain    = 2 * time.Second
	recovery = 15 * time.Second
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time

	trouble bool // The disruption is played.
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s: %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// route is one route of the configuration.
type route struct {
	Name          string `json:"name"`
	PathPrefix    string `json:"pathPrefix"`
	Kind          string `json:"kind"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"targetLatency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	Attempts      int    `json:"attempts"`
}

// deployment is a small deployment with its stand-ins.
type deployment struct {
	rec      *record
	trouble  bool
	dir      string
	store    *store
	machines []*machine
	runs     runs
}

// config returns a configuration with these routes.
func config(version int, routes ...route) json.RawMessage {
	var services []map[string]any
	seen := make(map[string]bool)
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "healthPath": "/health", "maxConnections": 400})
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "services": services,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []any{map[string]any{"hostname": host, "paths": routes}},
	})
	return data
}

// deploy starts the store and one node for each service in services.
func deploy(rec *record, services []string, routes ...route) (*deployment, error) {
	d := &deployment{rec: rec, trouble: rec.trouble}
	var err error
	if d.dir, err = os.MkdirTemp("", "stand2-"); err != nil {
		return nil, err
	}
	if d.store, err = startStore("127.0.0.1"); err != nil {
		return nil, err
	}
	d.store.write("config", "main", config(7, routes...))
	if d.machines, err = newMachines(d.dir, d.store.addr, services); err != nil {
		return nil, err
	}
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			d.close()
			return nil, err
		}
		rec.add("platform", "starts the node of %s beside a worker of %s", m.name, m.service)
	}
	return d, nil
}

// awaitReady waits until all nodes are ready and have an entry in the store.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := len(d.store.names(entryKind)) >= len(d.machines)
		for _, m := range d.machines {
			ready = ready && m.ready()
		}
		if ready {
			d.rec.add("platform", "all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after 10 s")
}

// entryKind is the kind of the store's objects in which the nodes describe themselves.
const entryKind = "dogwoodford-targets"

// newWorker returns a worker for m that was not started yet.
func (d *deployment) newWorker(m *machine, id string) *worker {
	return &worker{id: id, m: m, born: time.Now().UnixMilli(), work: 40 * time.Millisecond, runs: &d.runs, rec: d.rec, quiet: true}
}

// load sends a request to the depot at each interval, by turns at these machines, until the
// result is called.
func (d *deployment) load(interval time.Duration, at []*machine) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopped:
				return
			case <-time.After(interval):
				wg.Go(func() { send(d.rec, at[n%len(at)], "GET", fmt.Sprintf("/depot/ok%d", n), 1500*time.Millisecond) })
			}
		}
	})
	return func() {
		close(stopped)
		wg.Wait()
	}
}

// killAndStart kills nodes at once and starts them again 0.5 s later.
func (d *deployment) killAndStart(machines ...*machine) error {
	for _, m := range machines {
		m.kill()
		d.rec.add("platform", "the node of %s is killed", m.name)
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
		d.rec.add("platform", "the node of %s is started again", m.name)
	}
	return nil
}

// close ends all processes and keeps no files, unless KEEP is set.
func (d *deployment) close() {
	var wg sync.WaitGroup
	for _, m := range d.machines {
		wg.Go(m.close)
	}
	wg.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println(d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*record) (bool, error){
	"crash": playCrash, "born": playBorn, "seal": playSeal, "garbage": playGarbage, "completed": playCompleted, "leave": playLeave, "killed": playKilled, "stops": playStops,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "0" && os.Args[3] != "1" {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD TROUBLE")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{out: out, began: time.Now(), trouble: os.Args[3] == "1"}
	rec.add("case", "%s, TROUBLE=%s", os.Args[1], os.Args[3])
	broken, err := cases[os.Args[1]](rec)
	switch {
	case err != nil:
		rec.add("result", "could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		rec.add("result", "broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	rec.add("result", "held")
	fmt.Println("held")
}
