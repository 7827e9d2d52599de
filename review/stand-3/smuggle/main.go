// Command smuggle shows that a node runs a request that a client sent as the body of another
// one, if the header that frames the body has a blank before its colon.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"dogwoodford/review/stand-3/rig"
)

func main() { rig.Main("smuggle", play) }

// rounds is the number of requests that are sent in each form.
const rounds = 5

// outer is a request whose body is another one.
type outer struct {
	id, inner string
	body      string
}

func newOuter() outer {
	o := outer{id: rig.NewID(), inner: rig.NewID()}
	o.body = "POST /post/inner HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + o.inner + "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
	return o
}

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, rig.DefaultBounds, "base,drain,config,cost,retry,recover,pressure,platform", "rounds", "billing", "rounds")
	if err != nil {
		return false, err
	}
	defer f.Close()
	routes := []rig.Route{
		{Name: "r1", Host: "a.example", Prefix: "/idem/", Kind: "idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2},
		{Name: "r2", Host: "a.example", Prefix: "/post/", Kind: "non_idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2},
	}
	f.Store.Write("config", "main", rig.Config(5, []string{"rounds", "billing"}, routes, nil))
	if err := f.Start(); err != nil {
		return false, err
	}
	blank := ""
	if env.Trouble {
		blank = " "
	}
	served := 0
	for i := range rounds {
		m := f.Machines[i%len(f.Machines)]
		length, chunks := newOuter(), newOuter()
		served += send(env.Rec, m, length, fmt.Sprintf("Content-Length%s: %d\r\n\r\n%s", blank, len(length.body), length.body))
		served += send(env.Rec, m, chunks, fmt.Sprintf("Transfer-Encoding%s: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", blank, len(chunks.body), chunks.body))
		for _, o := range []outer{length, chunks} {
			broken = judge(env.Rec, f, o) || broken
		}
	}
	if !env.Trouble && served != 2*rounds {
		return false, fmt.Errorf("%d of %d requests were served", served, 2*rounds)
	}
	return broken, nil
}

// send sends one request on a connection of its own, and returns 1 if it is served.
func send(rec *rig.Record, m *rig.Machine, o outer, rest string) int {
	c, err := net.DialTimeout("tcp", m.Outbound(), time.Second)
	if err != nil {
		rec.Printf("client: %s: %v", o.id, err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	text := "POST /post/outer HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + o.id + "\r\nDeadline-Ms: 3000\r\n" + rest
	rec.Printf("client: sends %q", text)
	_, _ = io.WriteString(c, text)
	r := bufio.NewReader(c)
	n := 0
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		body, err := io.ReadAll(resp.Body)
		rec.Printf("client: answer %d %q %v", resp.StatusCode, body, err)
		if resp.StatusCode == http.StatusOK && resp.Header.Get("Attempt-Id") == o.id {
			n = 1
		}
	}
}

// judge reports whether a worker has run the inner request, or the outer one with another body.
func judge(rec *rig.Record, f *rig.Fleet, o outer) (broken bool) {
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			switch {
			case r.ID == o.inner:
				rec.Printf("BROKEN: worker %s ran %s %s %s, which was sent only inside the body of %s", w.ID, r.ID, r.Method, r.Path, o.id)
				broken = true
			case r.ID == o.id && !strings.Contains(r.Body, o.inner):
				rec.Printf("BROKEN: worker %s ran %s with a body of %d bytes, of %d that were sent", w.ID, r.ID, len(r.Body), len(o.body))
				broken = true
			}
		}
	}
	return broken
}
