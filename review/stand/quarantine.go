package main

import (
	"fmt"
	"time"
)

func init() { cases["quarantine"] = caseQuarantine }

const (
	// upTime and downTime are how long a worker that goes down and up by turns is there, and
	// is not.
	upTime   = 500 * time.Millisecond
	downTime = 700 * time.Millisecond
	flaps    = 5
)

// caseQuarantine lets all workers of a service go down and up by turns. They are sound
// afterwards. The clients ask for one popular page.
func caseQuarantine(e *env) (bool, error) {
	if err := e.open(); err != nil {
		return false, err
	}
	var desks, archives []*machine
	for range 2 {
		desks = append(desks, e.add("desk", "za"))
	}
	for range 3 {
		archives = append(archives, e.add("archive", "za"))
	}
	e.configure(1, []string{"desk", "archive"}, route("/claims/", "idempotent", "archive", 1))
	slow := func(w *worker) { w.work = 900 * time.Millisecond }
	if err := e.start(slow); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	t := traffic{samePath: true}
	t.start(desks, 100*time.Millisecond, "GET", "/claims/today", "", 3*time.Second)
	time.Sleep(5 * time.Second)
	before := t.between(time.Time{}, time.Now().Add(-2*time.Second))
	if e.trouble {
		e.rec.say("the workers of the service go down and up %d times", flaps)
		for n := range flaps {
			for _, m := range archives {
				m.worker.stop()
			}
			time.Sleep(downTime)
			for i, m := range archives {
				m.worker = e.newWorker(m, fmt.Sprintf("i-%04d-%d", len(desks)+i+1, n), slow)
				if err := m.worker.start(); err != nil {
					return false, err
				}
			}
			time.Sleep(upTime)
		}
		e.rec.say("they stay up and are sound")
	}
	back := time.Now()
	time.Sleep(15*time.Second + 45*time.Second)
	t.end()
	after := t.between(back.Add(15*time.Second), time.Now())
	e.rec.say("before: %d of %d requests served", served(before), len(before))
	e.rec.say("from 15 s to 60 s after the workers are back: %d of %d requests served", served(after), len(after))
	if 4*served(before) < len(before) || len(after) == 0 {
		return false, errUnfit
	}
	return 4*served(after) < len(after), nil
}
