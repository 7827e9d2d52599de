package main

import (
	"bytes"
	"net/http"
	"strings"
	"time"
)

func init() { cases["cut"] = caseCut }

// longAnswer is the length of the answers of the service archive in bytes.
const longAnswer = 2 << 20

// caseCut moves the route of a request that must not run twice to a service whose answers are
// long, and back after 2 s.
func caseCut(e *env) (bool, error) {
	if err := e.open(); err != nil {
		return false, err
	}
	desk := e.add("desk", "za")
	for range 2 {
		e.add("verdicts", "za")
		e.add("archive", "za")
	}
	services := []string{"desk", "verdicts", "archive"}
	reads := route("/read/", "idempotent", "archive", 1)
	e.configure(3, services, route("/publish/", "non_idempotent", "verdicts", 0), reads)
	long := bytes.Repeat([]byte("x"), longAnswer)
	if err := e.start(func(w *worker) {
		if w.m.service == "archive" {
			w.answer = func(w *worker, rw http.ResponseWriter, _ *http.Request, id string) {
				w.reply(rw, id, http.StatusOK, long)
			}
		}
	}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var t traffic
	t.start([]*machine{desk}, 100*time.Millisecond, "POST", "/publish/", "verdict", 3*time.Second)
	t.start([]*machine{desk}, 200*time.Millisecond, "GET", "/read/", "", 3*time.Second)
	time.Sleep(5 * time.Second)
	changed := time.Now()
	if e.trouble {
		e.rec.say("the configuration moves a route to another service")
		e.configure(7, services, route("/publish/", "non_idempotent", "archive", 0), reads)
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.rec.say("the configuration moves it back")
		e.configure(8, services, route("/publish/", "non_idempotent", "verdicts", 0), reads)
	}
	time.Sleep(7 * time.Second)
	t.end()

	ran := make(map[string]bool)
	for _, r := range e.runs.list() {
		ran[r.id] = true
	}
	planned := func(a attempt) bool {
		end := a.at.Add(a.took)
		return end.After(changed) && end.Before(changed.Add(3*time.Second))
	}
	cutThen, cutElse, readsServed := 0, 0, 0
	list := t.between(time.Time{}, time.Now())
	for _, a := range list {
		switch {
		case a.status == 200 && strings.HasPrefix(a.path, "/read/"):
			readsServed++
		case a.status == 0 && ran[a.id] && a.took < 2*time.Second && planned(a):
			cutThen++
			e.rec.say("cut after %d bytes and %.3f s, though it has run: %v", a.partial, a.took.Seconds(), a)
		case a.status == 0 && ran[a.id]:
			cutElse++
			e.rec.say("cut at another time: %v", a)
		}
	}
	e.rec.say("%d requests, %d served, %d of them with answers of %d bytes", len(list), served(list), readsServed, longAnswer)
	e.rec.say("cut from the change to config + 1 s after it: %d; at other times: %d", cutThen, cutElse)
	if readsServed == 0 {
		return false, errUnfit
	}
	// The span is 3 s of 14 s: more than three times as often as at other times.
	return cutThen > 3 && float64(cutThen)/3 > 3*float64(cutElse)/11, nil
}
