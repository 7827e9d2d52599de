package main

import (
	"fmt"
	"time"
)

func init() { cases["reuse"] = caseReuse }

// caseReuse lets workers crash for good, with the machines beside which they run. Their
// addresses go to machines of another service.
func caseReuse(e *env) (bool, error) {
	if err := e.open(); err != nil {
		return false, err
	}
	var desks, gone []*machine
	for range 2 {
		desks = append(desks, e.add("desk", "za"))
	}
	for i := range 12 {
		m := e.add("archive", []string{"za", "zb", "zc"}[i%3])
		if m.zone == "za" {
			gone = append(gone, m)
		}
	}
	e.configure(1, []string{"desk", "archive"}, route("/claims/", "idempotent", "archive", 1))
	if err := e.start(nil); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var t traffic
	t.start(desks, 500*time.Millisecond, "GET", "/claims/", "", 3*time.Second)
	time.Sleep(8 * time.Second)
	before := t.between(time.Time{}, time.Now().Add(-time.Second))

	e.rec.say("%d of 12 workers of the service crash for good, with their machines", len(gone))
	for _, m := range gone {
		m.kill()
		m.worker.stop()
	}
	time.Sleep(3 * time.Second)
	if e.trouble {
		for i, old := range gone {
			if err := e.reuseAddress(old, 20+i); err != nil {
				return false, err
			}
		}
		e.rec.say("their addresses have gone to workers of another service")
	}
	back := time.Now()
	time.Sleep(15*time.Second + 25*time.Second)
	t.end()
	after := t.between(back.Add(15*time.Second), time.Now())
	e.rec.say("before: %d of %d requests served", served(before), len(before))
	e.rec.say("later than 15 s after the machines are back: %d of %d requests served", served(after), len(after))
	if 4*served(before) < len(before) || len(after) == 0 {
		return false, errUnfit
	}
	return 4*served(after) < len(after), nil
}

// reuseAddress starts a machine of the service desk at the address of one that is gone.
func (e *env) reuseAddress(old *machine, n int) error {
	fresh := &machine{
		name: fmt.Sprintf("desk-%d", n), service: "desk", zone: old.zone, ip: old.ip, p: old.p, dir: old.dir,
		rec: old.rec, storeAddr: old.storeAddr,
	}
	e.machines = append(e.machines, fresh)
	if err := fresh.startNode(); err != nil {
		return err
	}
	if err := fresh.awaitListening(); err != nil {
		return err
	}
	fresh.worker = e.newWorker(fresh, fmt.Sprintf("i-%04d", n), nil)
	return fresh.worker.start()
}
