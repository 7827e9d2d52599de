// Command misdirected shows that a request that must not run twice does, if its worker has
// written further bytes behind an earlier answer, which look like a 421.
package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford/review/stand-3/rig"
)

func main() { rig.Main("misdirected", play) }

const (
	// perSecond is the number of requests a second, and length the time for which they come.
	perSecond = 150
	length    = 12 * time.Second
	// faulty is the machine whose worker spoils answers, one of two of its service. troubleAt
	// and troubleFor are when it does, and spoiled is the share of its answers.
	faulty                = 0
	troubleAt, troubleFor = 3 * time.Second, 5 * time.Second
	spoiled               = 0.03
	work                  = 100 * time.Millisecond
)

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, rig.DefaultBounds, "base,drain,config,cost,retry,recover,pressure,platform", "rounds", "billing", "rounds")
	if err != nil {
		return false, err
	}
	defer f.Close()
	var trouble atomic.Bool
	for i, m := range f.Machines {
		w := &rig.RawWorker{Worker: rig.Worker{ID: f.Workers[i].ID, Machine: m, Rec: env.Rec, Slots: 50}, Work: work}
		w.Extra = func() (string, time.Duration) {
			if m != f.Machines[faulty] || !trouble.Load() || rand.Float64() >= spoiled {
				return "", 0
			}
			return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.ID + "\r\nContent-Length: 0\r\n\r\n", 10*time.Millisecond + rand.N(50*time.Millisecond)
		}
		f.Raw = append(f.Raw, w)
	}
	f.Workers = nil
	routes := []rig.Route{
		{Name: "r2", Host: "a.example", Prefix: "/post/", Kind: "non_idempotent", Service: "rounds", Timeout: 4 * time.Second, Attempts: 2},
	}
	f.Store.Write("config", "main", rig.Config(5, []string{"rounds", "billing"}, routes, nil))
	if err := f.Start(); err != nil {
		return false, err
	}
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	replies := make(map[string]rig.Reply)
	for at := time.Duration(0); at < length; at += time.Second / perSecond {
		time.Sleep(time.Until(start.Add(at)))
		trouble.Store(env.Trouble && at >= troubleAt && at < troubleAt+troubleFor)
		m := f.Machines[rand.N(len(f.Machines))]
		wg.Go(func() {
			id := rig.NewID()
			r := rig.Do(env.Rec, m.Outbound(), rig.Request{ID: id, Method: http.MethodPost, Host: "a.example", Path: "/post/x", Body: "charge", Deadline: 3 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			replies[id] = r
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return judge(env.Rec, f, replies), nil
}

// judge compares what ran with what clients were answered.
func judge(rec *rig.Record, f *rig.Fleet, replies map[string]rig.Reply) (broken bool) {
	runs := make(map[string]int)
	for _, w := range f.Raw {
		for _, r := range w.Runs() {
			runs[r.ID]++
		}
	}
	served := 0
	for id, r := range replies {
		if r.Status == http.StatusOK {
			served++
		}
		if runs[id] > 1 {
			rec.Printf("BROKEN, TWICE: %s ran %d times, answer %d", id, runs[id], r.Status)
			broken = true
		}
		if runs[id] > 0 && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) {
			rec.Printf("BROKEN, REFUSED: %s ran and was answered %d", id, r.Status)
			broken = true
		}
	}
	rec.Printf("%d of %d requests were served", served, len(replies))
	return broken
}
