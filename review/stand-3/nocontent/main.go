// Command nocontent shows that a connection is closed without an answer, although its request
// has run, if the worker answers with a status that has no body.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodford/review/stand-3/rig"
)

const (
	length = 8 * time.Second
	// clients is the number of clients of each machine, and pause the longest time between
	// two requests of a client.
	clients = 4
	pause   = 200 * time.Millisecond
	work    = 30 * time.Millisecond
	// deadline is the time for which a client waits.
	deadline = 3 * time.Second
	// allowed is the number of lost requests at one machine that the rule allows.
	allowed = 3
)

func main() { rig.Main("nocontent", play) }

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, rig.DefaultBounds, "base,drain,config,cost,retry,recover,pressure,platform", "rounds", "billing", "rounds")
	if err != nil {
		return false, err
	}
	defer f.Close()
	for _, w := range f.Workers {
		w.Work = work
		w.Answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Attempt-Id")
			switch {
			case r.Method != http.MethodPost:
				w.Sealed(rw, id, http.StatusOK, "answer to "+id+"\n")
			case env.Trouble:
				rw.Header().Set("Response-Seal", rig.Seal(id, http.StatusNoContent, ""))
				rw.WriteHeader(http.StatusNoContent)
			default:
				w.Sealed(rw, id, http.StatusOK, "")
			}
		}
	}
	routes := []rig.Route{
		{Name: "r1", Host: "a.example", Prefix: "/idem/", Kind: "idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2},
		{Name: "r2", Host: "a.example", Prefix: "/post/", Kind: "non_idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2},
	}
	f.Store.Write("config", "main", rig.Config(5, []string{"rounds", "billing"}, routes, nil))
	if err := f.Start(); err != nil {
		return false, err
	}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	all := make([]*client, 0, len(f.Machines)*clients)
	for i, m := range f.Machines {
		for range clients {
			c := &client{rec: env.Rec, machine: i, addr: m.Outbound()}
			all = append(all, c)
			wg.Go(func() { c.run(end) })
		}
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return judge(env.Rec, f, all), nil
}

// judge counts the requests that ran, by machine and by what their clients got.
func judge(rec *rig.Record, f *rig.Fleet, all []*client) (broken bool) {
	ran := make(map[string]bool)
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			ran[r.ID] = true
		}
	}
	for i, m := range f.Machines {
		var answered, failed, lost int
		for _, c := range all {
			if c.machine != i {
				continue
			}
			for id, status := range c.posts {
				switch {
				case !ran[id]:
				case status == 0:
					lost++
				case status/100 == 2:
					answered++
				default:
					failed++
				}
			}
		}
		rec.Printf("%s: of the non_idempotent requests that ran, %d were answered 2xx, %d were answered otherwise, %d had their kept connection closed without an answer",
			m.Name, answered, failed, lost)
		if lost > allowed {
			rec.Printf("BROKEN: LOST at %s", m.Name)
			broken = true
		}
	}
	return broken
}

// client sends requests over one connection after the other.
type client struct {
	rec     *rig.Record
	machine int
	addr    string
	posts   map[string]int // Status by id, 0 if there was no answer.
}

func (c *client) run(end time.Time) {
	c.posts = make(map[string]int)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			c.rec.Printf("client: %v", err)
			time.Sleep(pause)
			continue
		}
		c.use(conn, end)
		conn.Close()
	}
}

// use sends a GET, and then a POST again and again, until the connection ends.
func (c *client) use(conn net.Conn, end time.Time) {
	r := bufio.NewReader(conn)
	if status, open := c.send(conn, r, rig.NewID(), http.MethodGet, "/idem/x", ""); status != http.StatusOK || !open {
		return
	}
	for time.Now().Before(end) {
		time.Sleep(rand.N(pause))
		id := rig.NewID()
		status, open := c.send(conn, r, id, http.MethodPost, "/post/x", "collected")
		c.posts[id] = status
		if !open {
			return
		}
	}
}

// send sends one request and returns the status of its answer, 0 if there was none, and
// whether the connection is still open.
func (c *client) send(conn net.Conn, r *bufio.Reader, id, method, path, body string) (status int, open bool) {
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, deadline.Milliseconds(), len(body), body)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(r, &http.Request{Method: method}); err == nil {
			status, open = resp.StatusCode, !resp.Close
			if _, err = io.Copy(io.Discard, resp.Body); err != nil {
				status, open = 0, false
			}
		}
	}
	c.rec.Printf("client: %s %s %s at machine %d: %d %v", id, method, path, c.machine+1, status, err)
	return status, open
}
