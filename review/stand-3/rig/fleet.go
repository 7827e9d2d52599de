package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Env is what a case is started with.
type Env struct {
	Program string // Path of the node's program.
	Dir     string // Temporary folder.
	Trouble bool   // With the disruption.
	Rec     *Record
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Main runs a case and exits with its result. Its arguments are the program and the record.
func Main(name string, play func(Env) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintf(os.Stderr, "usage: %s PROGRAM RECORD\n", name)
		os.Exit(exitNotRun)
	}
	os.Exit(run(name, play))
}

func run(name string, play func(Env) (bool, error)) int {
	rec, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		KillAll()
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	broken, err := play(Env{Program: os.Args[1], Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", Rec: rec})
	KillAll()
	switch {
	case err != nil:
		rec.Printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, name+":", err)
		return exitNotRun
	case broken:
		rec.Printf("result: the rule was broken")
		return exitBroken
	}
	rec.Printf("result: the rule held")
	return exitHeld
}

// Fleet is a small deployment.
type Fleet struct {
	Store    *Store
	Machines []*Machine
	Workers  []*Worker    // Beside the machines, unless Raw is set.
	Raw      []*RawWorker // In place of Workers.
	rec      *Record
}

// NewFleet returns a deployment with one machine for each of services. Its store runs, and
// Start starts the rest.
func NewFleet(env Env, bounds, contracts string, services ...string) (*Fleet, error) {
	var ips []string
	for i := range services {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	const storeIP = "127.0.0.10"
	ports, err := FreePorts(append(ips, storeIP)...)
	if err != nil {
		return nil, err
	}
	addr := fmt.Sprintf("%s:%d", storeIP, ports.Store)
	f := &Fleet{rec: env.Rec}
	if f.Store, err = StartStore(env.Rec, addr); err != nil {
		return nil, err
	}
	for i, service := range services {
		m := &Machine{
			Name: fmt.Sprintf("sidecar-a-%d", i+1), Service: service, Zone: "a", IP: ips[i], Ports: ports, Store: addr,
			Bounds: bounds, Contracts: contracts, Program: env.Program, Dir: env.Dir, Rec: env.Rec,
		}
		f.Machines = append(f.Machines, m)
		f.Workers = append(f.Workers, &Worker{ID: fmt.Sprintf("i-%016x", 0x7f3a91c2<<8+i), Machine: m, Rec: env.Rec, Slots: 50})
	}
	return f, nil
}

// Start starts the nodes and workers, and waits until they serve.
func (f *Fleet) Start() error {
	for i, m := range f.Machines {
		if err := m.Start(); err != nil {
			return err
		}
		if err := f.worker(i).Start(); err != nil {
			return err
		}
	}
	for _, m := range f.Machines {
		if err := m.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.Store.Count("dogwoodford-targets") == len(f.Machines) {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the nodes have not registered")
}

// Close ends the processes and workers.
func (f *Fleet) Close() {
	for i, m := range f.Machines {
		m.Kill()
		f.worker(i).Close()
	}
}

// worker returns the worker beside a machine.
func (f *Fleet) worker(i int) interface {
	Start() error
	Close()
} {
	if f.Raw != nil {
		return f.Raw[i]
	}
	return f.Workers[i]
}

// Ran sends one request with a key at each machine, and returns how many of them ran.
func (f *Fleet) Ran(key string) int {
	n := 0
	for _, m := range f.Machines {
		id := NewID()
		Do(f.rec, m.Outbound(), Request{ID: id, Method: http.MethodGet, Host: "a.example", Path: "/idem/x", Key: key, Deadline: 3 * time.Second})
		for _, w := range f.Workers {
			for _, r := range w.Runs() {
				if r.ID == id {
					n++
				}
			}
		}
	}
	return n
}
