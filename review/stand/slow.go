package main

import (
	"bytes"
	"io"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["slow"] = caseSlow }

const (
	// photoBytes is the largest body of an upload in the site file.
	photoBytes = 360000
	// readPause is how long a worker that reads slowly does not read on.
	readPause = 2 * time.Second
)

// caseSlow stops the node at which clients upload, as planned work does, while the workers
// read the bodies slowly.
func caseSlow(e *env) (bool, error) {
	if err := e.open(); err != nil {
		return false, err
	}
	desk := e.add("desk", "za")
	for range 3 {
		e.add("evidence", "za")
	}
	photo := route("/photo/", "upload", "evidence", 1)
	photo["timeout"] = "5000ms"
	e.configure(1, []string{"desk", "evidence"}, photo)
	if err := e.start(func(w *worker) {
		if e.trouble {
			w.readPause = readPause
		}
	}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var t traffic
	body := string(bytes.Repeat([]byte("x"), photoBytes))
	t.start([]*machine{desk}, 200*time.Millisecond, "POST", "/photo/", body, 5*time.Second)
	time.Sleep(4 * time.Second)
	e.rec.say("%s gets SIGTERM", desk.name)
	desk.signal(syscall.SIGTERM)
	term := time.Now()
	// Clients leave the machine after two readiness checks without success.
	time.Sleep(1500 * time.Millisecond)
	t.end()
	if !desk.awaitExit(time.Until(term.Add(6 * time.Second))) {
		desk.kill()
	}

	began := make(map[string]time.Time)
	for _, r := range e.runs.list() {
		began[r.id] = r.at
	}
	broken, complete := 0, 0
	list := t.between(time.Time{}, time.Now())
	for _, a := range list {
		end := a.at.Add(a.took)
		at, ok := began[a.id]
		if end.Before(term) || !ok {
			continue
		}
		if a.status/100 == 2 {
			complete++
			continue
		}
		// Neither the deadline nor the last sixth of the grace period is near.
		if a.seal == "" && a.took < 4*time.Second && end.Before(term.Add(5*time.Second)) {
			broken++
			e.rec.say("broken off after %.3f s, %.3f s after its worker began to work: %v", a.took.Seconds(), end.Sub(at).Seconds(), a)
		}
	}
	e.rec.say("%d requests, %d served; of those that ended after the SIGTERM %d were served and %d broken off at work",
		len(list), served(list), complete, broken)
	if len(began) == 0 {
		return false, errUnfit
	}
	return broken > 0, nil
}

// readBody reads the body of a request to its end. If pause is set, it stops for that long
// after the first part.
func readBody(r *http.Request, pause time.Duration) error {
	if pause > 0 {
		if _, err := io.CopyN(io.Discard, r.Body, 16<<10); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err
}
