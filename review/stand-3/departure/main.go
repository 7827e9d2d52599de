// Command departure shows that a worker that has left is used again after all nodes were killed,
// if the platform's store came back from a copy before, in a drill.
//
// With TROUBLE=kill there is a kill only. With TROUBLE=outage the store loses nothing, but is away
// from before the leave until just before the nodes start again.
package main

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"dogwoodford/review/stand-3/rig"
)

const (
	// drain and contact are bounds of the rule.
	drain, contact = 2 * time.Second, 3 * time.Second
	// untilDrill and untilAgain are the times from the leave to the drill, and from there to the
	// repeated leave. untilKill is the time from the last leave to the kill, and untilHeartbeat
	// that from the start of the nodes to the late heartbeat.
	untilDrill, untilAgain, untilKill = 500 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond
	untilHeartbeat                    = 3200 * time.Millisecond
	// work is the time that a request takes, that of round-sheet on the site.
	work = 160 * time.Millisecond
	// away is the time for which the store is away in a drill, and down that for which the
	// nodes are. untilLeave is the time from the beginning of an outage to the leave.
	away, down, untilLeave = 200 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond
	// untilCopy is the time from the copy to the leave.
	untilCopy = 1500 * time.Millisecond
	// watched is the time behind the heartbeat for which the worker goes on to serve.
	watched = 8 * time.Second
	every   = 10 * time.Millisecond // Time between two requests.
)

func main() { rig.Main("departure", play) }

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, rig.DefaultBounds, "base,drain,config,cost,retry,recover,pressure,platform", "rounds", "billing", "rounds")
	if err != nil {
		return false, err
	}
	defer f.Close()
	for _, w := range f.Workers {
		w.Work = work
	}
	routes := []rig.Route{{Name: "r1", Host: "a.example", Prefix: "/idem/", Kind: "idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2}}
	f.Store.Write("config", "main", rig.Config(5, []string{"rounds", "billing"}, routes, nil))
	if err := f.Start(); err != nil {
		return false, err
	}
	c := &callers{f: f, env: env, sent: make(map[string]time.Time)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.run(stop) })
	kept := f.Store.Take()
	time.Sleep(untilCopy)
	w := f.Workers[0]
	mode := os.Getenv("TROUBLE")
	outage := mode == "outage"
	drill := env.Trouble && !outage && mode != "kill"
	if outage {
		f.Store.Leave()
		time.Sleep(untilLeave)
	}
	late := w.Prepare()
	if !w.Leave() {
		return false, errors.New("the leave was not acknowledged")
	}
	acknowledged := time.Now()
	if drill {
		time.Sleep(untilDrill)
		f.Store.Leave()
		time.Sleep(away)
		f.Store.Restore(kept)
		time.Sleep(untilAgain)
		if !w.Leave() { // What the workers wrote is written again.
			return false, errors.New("the second leave was not acknowledged")
		}
	}
	time.Sleep(untilKill)
	if env.Trouble {
		if err := restart(f, outage); err != nil {
			return false, err
		}
	}
	started := time.Now()
	time.Sleep(untilHeartbeat)
	w.Deliver(late)
	time.Sleep(watched)
	close(stop)
	wg.Wait()
	n := 0
	for _, r := range w.Runs() {
		sent := c.sent[r.ID]
		if sent.After(acknowledged.Add(drain)) && sent.After(started.Add(contact)) {
			n++
		}
	}
	env.Rec.Printf("%d requests, sent later than %v after the acknowledgement by machines in touch, ran at %s", n, drain, w.ID)
	if n > 0 {
		env.Rec.Printf("BROKEN")
	}
	return n > 0, nil
}

// restart kills all nodes and starts them again. The store is back just before.
func restart(f *rig.Fleet, outage bool) error {
	for _, m := range f.Machines {
		m.Kill()
	}
	time.Sleep(down)
	if outage {
		f.Store.Return()
	}
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// callers send requests at the second machine, whose worker belongs to another service.
type callers struct {
	f   *rig.Fleet
	env rig.Env

	mu   sync.Mutex
	sent map[string]time.Time
}

func (c *callers) run(stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		wg.Go(func() {
			id := rig.NewID()
			c.mu.Lock()
			c.sent[id] = time.Now()
			c.mu.Unlock()
			rig.Do(c.env.Rec, c.f.Machines[1].Outbound(), rig.Request{ID: id, Method: http.MethodGet, Host: "a.example", Path: "/idem/x", Deadline: 3 * time.Second})
		})
	}
}
