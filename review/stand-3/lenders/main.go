// Command lenders shows that the tokens of a tenant are lent twice while a machine is cut off,
// if the node that lends them sends no requests to that machine.
package main

import (
	"net/http"
	"sync"
	"time"

	"dogwoodford/review/stand-3/rig"
)

const (
	bounds = rig.DefaultBounds + ",strictRevocation=false,quotaWindow=5s,quotaOverage=0.1,quotaSlack=20"
	// rate and burst are the quota of the tenant, and window, overage and slack those of the
	// rule.
	rate, burst    = 160, 100
	window         = 5 * time.Second
	overage, slack = 0.1, 20
	// The tenant sends callsA and callsB requests a second at the first two machines.
	callsA, callsB = 220, 110
	length         = 26 * time.Second
	cutAt, cutFor  = 8 * time.Second, 12 * time.Second
	key            = "28m82thhkmgjqnirth5m"
	// tenant is a name whose tokens the node of the third machine lends.
	tenant = "echo"
)

func main() { rig.Main("lenders", play) }

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, bounds, "base,drain,config,cost,retry,recover,health,pool,pressure,tenants,quota,platform", "rounds", "rounds", "billing")
	if err != nil {
		return false, err
	}
	defer f.Close()
	// Each machine has a zone of its own. Fewer than half of the zone's nodes are in when its
	// only one isn't, so that its clients go on to send while it says that it isn't ready.
	for i, zone := range []string{"a", "b", "c"} {
		f.Machines[i].Zone = zone
	}
	net, err := rig.NewNetwork(env.Rec, f.Machines)
	if err != nil {
		return false, err
	}
	routes := []rig.Route{{Name: "r1", Host: "a.example", Prefix: "/idem/", Kind: "idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2}}
	tenants := []rig.Tenant{{Name: tenant, Keys: []string{key}, Rate: rate, Burst: burst}}
	f.Store.Write("config", "main", rig.Config(5, []string{"rounds", "billing"}, routes, tenants))
	if err := f.Start(); err != nil {
		return false, err
	}
	start := time.Now()
	if env.Trouble {
		time.AfterFunc(cutAt, func() { net.Cut(1) })
		time.AfterFunc(cutAt+cutFor, net.Heal)
	}
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, perSecond := range []int{callsA, callsB} {
		wg.Go(func() {
			var calls sync.WaitGroup
			for at := time.Duration(0); at < length; at += time.Second / time.Duration(perSecond) {
				time.Sleep(time.Until(start.Add(at)))
				calls.Go(func() {
					id := rig.NewID()
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					rig.Do(env.Rec, f.Machines[i].Outbound(), rig.Request{ID: id, Method: http.MethodGet, Host: "a.example", Path: "/idem/x", Key: key, Deadline: 3 * time.Second})
				})
			}
			calls.Wait()
		})
	}
	wg.Wait()
	return judge(env.Rec, f, sent, start), nil
}

// judge looks for the window with most requests that were sent in it and arrived in it.
func judge(rec *rig.Record, f *rig.Fleet, sent map[string]time.Time, start time.Time) (broken bool) {
	arrived := make(map[string]time.Time) // First run of each.
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			if at, ok := arrived[r.ID]; r.Workspace == tenant && (!ok || r.At.Before(at)) {
				arrived[r.ID] = r.At
			}
		}
	}
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	most, when := 0, time.Duration(0)
	for from := time.Duration(0); from+window <= length; from += 100 * time.Millisecond {
		n := 0
		for id, at := range arrived {
			if sent[id].Sub(start) >= from && at.Sub(start) < from+window {
				n++
			}
		}
		rec.Printf("window from %v: %d requests ran", from, n)
		if n > most {
			most, when = n, from
		}
	}
	rec.Printf("most in a window: %d, from %v; allowed are %.0f", most, when, allowed)
	if float64(most) > allowed {
		rec.Printf("BROKEN: %d requests of %s ran in %v", most, tenant, window)
		return true
	}
	return false
}
