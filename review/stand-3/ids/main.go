// Command ids shows that a node asks for neither a key nor a token if the id of a request begins
// with that of another one that runs beside it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dogwoodford/review/stand-3/rig"
)

const (
	bounds = rig.DefaultBounds + ",strictRevocation=true,revoke=5000ms,quotaWindow=5s,quotaOverage=0.1,quotaSlack=20"
	// rate and burst are the quota of the tenant, and window, overage and slack those of the
	// rule. The tenant sends a multiple of its usual rate, which is the quota by 1.6.
	rate, burst    = 20, 20
	window         = 5 * time.Second
	overage, slack = 0.1, 20
	hot            = 90
	length         = 8 * time.Second
	// long is how long the request runs that the others refer to.
	long, between = 3 * time.Second, 2500 * time.Millisecond
	tenant        = "crew"
	key           = "28m82thhkmgjqnirth5m"
	unknownKey    = "qqqqqqqqqqqqqqqqqqqq"
	unknown       = 5 // Requests with the unknown key.
)

func main() { rig.Main("ids", play) }

// clients send requests at one machine.
type clients struct {
	env rig.Env
	m   *rig.Machine

	mu     sync.Mutex
	parent string // ID of the long request that runs.
	n      int
	sent   map[string]time.Time
	keys   map[string]string
}

// newID returns an id that no other attempt has.
func (c *clients) newID(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := rig.NewID()
	if c.env.Trouble {
		c.n++
		id = fmt.Sprintf("%s.%d", c.parent, c.n)
	}
	c.sent[id], c.keys[id] = time.Now(), key
	return id
}

func (c *clients) send(id, path, key string) rig.Reply {
	return rig.Do(c.env.Rec, c.m.Outbound(), rig.Request{ID: id, Method: http.MethodGet, Host: "a.example", Path: path, Key: key, Deadline: 4 * time.Second})
}

// keepLong keeps a long request of the tenant running.
func (c *clients) keepLong(wg *sync.WaitGroup, until time.Time) {
	for time.Now().Before(until) {
		id := rig.NewID()
		c.mu.Lock()
		c.sent[id], c.keys[id] = time.Now(), key
		c.mu.Unlock()
		wg.Go(func() { c.send(id, "/idem/long", key) })
		time.Sleep(200 * time.Millisecond) // It runs by now.
		c.mu.Lock()
		c.parent = id
		c.mu.Unlock()
		time.Sleep(between)
	}
}

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, bounds, "base,drain,config,cost,retry,recover,health,pool,pressure,tenants,quota,platform", "rounds", "billing", "billing")
	if err != nil {
		return false, err
	}
	defer f.Close()
	w := f.Workers[0]
	w.Answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
		if r.URL.Path == "/idem/long" {
			time.Sleep(long)
		}
		id := r.Header.Get("Attempt-Id")
		w.Sealed(rw, id, http.StatusOK, "answer to "+id+"\n")
	}
	routes := []rig.Route{{Name: "r1", Host: "a.example", Prefix: "/idem/", Kind: "idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2}}
	tenants := []rig.Tenant{{Name: tenant, Keys: []string{key}, Rate: rate, Burst: burst}}
	f.Store.Write("config", "main", rig.Config(5, []string{"rounds", "billing"}, routes, tenants))
	if err := f.Start(); err != nil {
		return false, err
	}
	c := &clients{env: env, m: f.Machines[0], sent: make(map[string]time.Time), keys: make(map[string]string)}
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { c.keepLong(&wg, start.Add(length)) })
	time.Sleep(500 * time.Millisecond)
	for range unknown {
		c.send(c.newID(unknownKey), "/idem/x", unknownKey)
	}
	for at := 500 * time.Millisecond; at < length; at += time.Second / hot {
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() { c.send(c.newID(key), "/idem/x", key) })
	}
	wg.Wait()
	return c.judge(w.Runs(), start), nil
}

func (c *clients) judge(runs []rig.Run, start time.Time) (broken bool) {
	own := 0
	for _, r := range runs {
		switch c.keys[r.ID] {
		case unknownKey:
			c.env.Rec.Printf("BROKEN, ROUTE: %s ran, whose key no configuration ever held, as of tenant %q", r.ID, r.Workspace)
			broken = true
		case key:
			own++
		}
	}
	most, allowed := 0, (rate*window.Seconds()+burst)*(1+overage)+slack
	for from := time.Duration(0); from+window <= length+time.Second; from += 100 * time.Millisecond {
		n := 0
		for _, r := range runs {
			if c.keys[r.ID] == key && c.sent[r.ID].Sub(start) >= from && r.At.Sub(start) < from+window {
				n++
			}
		}
		most = max(most, n)
	}
	c.env.Rec.Printf("%d requests of the tenant ran, at most %d in %v; allowed are %.0f", own, most, window, allowed)
	if float64(most) > allowed {
		c.env.Rec.Printf("BROKEN, QUOTA: %d requests in %v", most, window)
		broken = true
	}
	return broken
}
