package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

var depotRoute = route{
	Name: "stock-count", PathPrefix: "/depot/", Kind: "idempotent", Timeout: "1500ms", TargetLatency: "400ms", Priority: 2,
	Service: "depot", Attempts: 2,
}

// confirmRoute is a route whose requests reach one worker at most in each client attempt.
var confirmRoute = route{
	Name: "collect-confirm", PathPrefix: "/confirm/", Kind: "non_idempotent", Timeout: "1500ms", TargetLatency: "400ms", Priority: 2,
	Service: "depot", Attempts: 2,
}

// fleet holds the present worker of each machine.
type fleet struct {
	mu      sync.Mutex
	started int
	workers map[string]*worker
}

// crashing is a deployment in which one request crashes each worker that begins to run it.
type crashing struct {
	*deployment
	fleet
	back    time.Duration // Time from a crash to the next start of the worker.
	method  string        // Method of the request.
	poison  string        // Path of the request.
	poisons bool          // The request crashes workers now.
	crashes []crash
}

// crash is one crash of a worker.
type crash struct {
	at      time.Time
	attempt string // Attempt-Id of the request that crashed it.
}

// startWorker starts the next worker beside m.
func (c *crashing) startWorker(m *machine) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	w := c.newWorker(m, fmt.Sprintf("i-%08x", 0x7f3a0000+c.started))
	w.crash = c.hit
	if c.workers == nil {
		c.workers = make(map[string]*worker)
	}
	c.workers[m.name] = w
	return w.start()
}

// hit crashes w if r is the request that does so. The worker is back after c.back.
func (c *crashing) hit(w *worker, r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path != c.poison || !c.poisons {
		return false
	}
	c.crashes = append(c.crashes, crash{at: time.Now(), attempt: r.Header.Get("Attempt-Id")})
	c.rec.add("worker", "%s on %s crashes, crash %d", w.id, w.m.name, len(c.crashes))
	go func() {
		w.end()
		time.Sleep(c.back)
		if err := c.startWorker(w.m); err != nil {
			c.rec.add("worker", "no start: %v", err)
		}
	}()
	return true
}

// late returns how often the request was run later than contact after its third crash.
func (c *crashing) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.crashes[min(3, len(c.crashes)):] {
		if x.at.Sub(c.crashes[2].at) > contact {
			n++
		}
	}
	return n
}

// lateRetries returns how many client attempts reached workers later than contact after
// the third crash. An attempt that reached two workers counts once, so that the rule is
// broken whether a retry is an attempt or a send.
func (c *crashing) lateRetries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[string]bool)
	for _, x := range c.crashes[min(3, len(c.crashes)):] {
		if x.at.Sub(c.crashes[2].at) > contact {
			seen[x.attempt] = true
		}
	}
	return len(seen)
}

// sendPoison sends the request that crashes its workers.
func (c *crashing) sendPoison(m *machine) {
	send(c.rec, m, c.method, c.poison, 1500*time.Millisecond)
}

// check records how often the request came late, and reports whether the rule was broken.
func (c *crashing) check() bool {
	retries := c.lateRetries()
	c.rec.add("check", "%d crashes, %d of them later than %v after the third, in %d retries; 3 are allowed", c.count(), c.late(), contact, retries)
	return retries > 3
}

// count returns the number of crashes so far.
func (c *crashing) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

func (c *crashing) endWorkers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.end()
	}
}

func deployCrashing(rec *record, back time.Duration) (*crashing, error) {
	d, err := deploy(rec, []string{"rounds", "rounds", "depot", "depot", "depot"}, depotRoute, confirmRoute,
		route{Name: "round-sheet", PathPrefix: "/rounds/", Kind: "idempotent", Timeout: "1500ms", TargetLatency: "1500ms", Priority: 2, Service: "rounds", Attempts: 2})
	if err != nil {
		return nil, err
	}
	c := &crashing{deployment: d, back: back, method: http.MethodGet, poison: "/depot/7c1"}
	for _, m := range d.machines {
		if err := c.startWorker(m); err != nil {
			d.close()
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		d.close()
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return c, nil
}

// playCrash sends a request that crashes its workers every 8 s. A crashed worker is back
// after 6 s.
func playCrash(rec *record) (bool, error) {
	c, err := deployCrashing(rec, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer c.close()
	defer c.endWorkers()
	c.poisons = c.trouble
	for n := range 9 {
		m := c.machines[n%2]
		for k := range 2 {
			send(rec, c.machines[k], "GET", fmt.Sprintf("/depot/ok%d%d", n, k), 1500*time.Millisecond)
			send(rec, c.machines[k], "GET", fmt.Sprintf("/rounds/ok%d%d", n, k), 1500*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		c.sendPoison(m)
		time.Sleep(7 * time.Second)
	}
	return c.check(), nil
}

// playCompleted lets a content complete before it crashes workers.
func playCompleted(rec *record) (bool, error) {
	c, err := deployCrashing(rec, 2*time.Second)
	if err != nil {
		return false, err
	}
	defer c.close()
	defer c.endWorkers()
	for n := range 12 {
		send(rec, c.machines[n%2], "GET", c.poison, 1500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	c.poisons = c.trouble
	c.mu.Unlock()
	for n := range 14 {
		for k := range 10 {
			send(rec, c.machines[k%2], "GET", fmt.Sprintf("/depot/ok%d%d", n, k), 1500*time.Millisecond)
			time.Sleep(250 * time.Millisecond)
		}
		send(rec, c.machines[n%2], "GET", c.poison, 1500*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
	}
	rec.add("check", "%d crashes, %d of them later than %v after the third; 3 are allowed", len(c.crashes), c.late(), contact)
	return c.late() > 3, nil
}

// playBorn lets a worker start again under its id while the clock of its machine is back
// by 2.4 s, and drain later.
func playBorn(rec *record) (bool, error) {
	d, err := deploy(rec, []string{"rounds", "depot", "depot"}, depotRoute)
	if err != nil {
		return false, err
	}
	defer d.close()
	front := d.newWorker(d.machines[0], "i-7f3a0001")
	stays := d.newWorker(d.machines[1], "i-7f3a0002")
	for _, w := range []*worker{front, stays} {
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.end()
	}
	first := d.newWorker(d.machines[2], "i-7f3a0003")
	if err := first.start(); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	rec.add("worker", "%s crashes", first.id)
	first.end()
	time.Sleep(200 * time.Millisecond)
	second := d.newWorker(d.machines[2], first.id)
	second.quiet = false
	if d.trouble {
		rec.add("platform", "the time of day of %s jumps back by 2.4 s", second.m.name)
		second.born -= 2400
	}
	if err := second.start(); err != nil {
		return false, err
	}
	defer second.end()
	time.Sleep(500 * time.Millisecond)
	load := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
			go send(rec, d.machines[0], "GET", fmt.Sprintf("/depot/%d", time.Now().UnixNano()%10000), 1500*time.Millisecond)
		}
	}
	load(10 * time.Second)
	second.drain()
	load(9 * time.Second)
	acked := second.ackedAt()
	if acked.IsZero() {
		return false, fmt.Errorf("the drain was not acknowledged")
	}
	late := d.runs.late(second.id, acked, acked)
	rec.add("check", "drain acknowledged at %.3f; %d requests reached %s later than %v after it", acked.Sub(rec.began).Seconds(), late, second.id, drain)
	return late > 0, nil
}

// playSeal lets a worker fail part of its requests with a status that clients take for a
// promise.
func playSeal(rec *record) (bool, error) {
	d, err := deploy(rec, []string{"rounds", "depot", "depot"}, depotRoute)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	n := 0
	for i, m := range d.machines {
		w := d.newWorker(m, fmt.Sprintf("i-7f3a000%d", i))
		w.answer = func(*http.Request) int {
			mu.Lock()
			defer mu.Unlock()
			if n++; d.trouble && n%2 == 0 {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	mixed := 0
	for i := range 60 {
		a := send(rec, d.machines[0], "GET", fmt.Sprintf("/depot/%d", i), 1500*time.Millisecond)
		if a.status/100 != 2 && a.seal != "" && a.seal != seal(a.id, a.status, a.body) {
			mixed++
		}
	}
	rec.add("check", "%d failures bear a seal of a worker that gave another status", mixed)
	return mixed > 0, nil
}

// playGarbage lets another writer replace entries by bytes that can't be read, before all
// processes are killed.
func playGarbage(rec *record) (bool, error) {
	d, err := deploy(rec, []string{"rounds", "rounds", "depot", "depot"}, depotRoute)
	if err != nil {
		return false, err
	}
	defer d.close()
	for i, m := range d.machines {
		w := d.newWorker(m, fmt.Sprintf("i-7f3a000%d", i))
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	load := func(length time.Duration) (served, all int) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			all++
			if send(rec, d.machines[all%2], "GET", fmt.Sprintf("/depot/%d", all), 1500*time.Millisecond).served() {
				served++
			}
		}
		return served, all
	}
	before, allBefore := load(5 * time.Second)
	if d.trouble {
		for _, m := range d.machines[2:] {
			spec, _ := json.Marshal(map[string]any{"node": 7})
			rec.add("platform", "another writer replaces the entry %s by %s", m.name, spec)
			d.store.write(entryKind, m.name, spec)
		}
	}
	during, allDuring := load(3 * time.Second)
	if err := d.killAndStart(d.machines...); err != nil {
		return false, err
	}
	load(recovery)
	after, allAfter := load(15 * time.Second)
	rec.add("check", "served before %d of %d, with the entries replaced %d of %d, later than %v after the start %d of %d",
		before, allBefore, during, allDuring, recovery, after, allAfter)
	return 4*after < allAfter && 4*before >= allBefore, nil
}

// playLeave lets a worker leave while the store is silent, kills its node after it has
// acknowledged that, and delivers a heartbeat from before the leave late.
func playLeave(rec *record) (bool, error) {
	d, err := deploy(rec, []string{"rounds", "depot", "depot"}, depotRoute)
	if err != nil {
		return false, err
	}
	defer d.close()
	var workers []*worker
	for i, m := range d.machines {
		w := d.newWorker(m, fmt.Sprintf("i-7f3a000%d", i))
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.end()
		workers = append(workers, w)
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	leaving := workers[2]
	leaving.quiet = false
	stop := d.load(100*time.Millisecond, d.machines[:1])
	time.Sleep(3 * time.Second)
	if d.trouble {
		rec.add("platform", "the store is silent")
		d.store.setAway(true)
	}
	began := time.Now()
	late := leaving.lateBeat()
	time.Sleep(300 * time.Millisecond)
	leaving.leave()
	if d.trouble {
		if err := d.killAndStart(leaving.m); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(4500 * time.Millisecond)))
	if d.trouble {
		rec.add("platform", "the store answers again")
		d.store.setAway(false)
	}
	time.Sleep(time.Until(began.Add(5500 * time.Millisecond)))
	late()
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(began.Add(15 * time.Second)))
	stop()
	acked := leaving.ackedAt()
	if acked.IsZero() {
		return false, fmt.Errorf("the leave was not acknowledged")
	}
	n := d.runs.late(leaving.id, acked, inTouch)
	rec.add("check", "leave acknowledged at %.3f; %d requests reached %s later than %v after it, with all machines in touch",
		acked.Sub(rec.began).Seconds(), n, leaving.id, drain)
	return n > 0, nil
}

// playKilled kills all nodes after the third crash of a request that crashes its workers. A
// crashed worker is back after 4 s.
func playKilled(rec *record) (bool, error) {
	c, err := deployCrashing(rec, 4*time.Second)
	if err != nil {
		return false, err
	}
	defer c.close()
	defer c.endWorkers()
	c.mu.Lock()
	c.method, c.poison = http.MethodPost, "/confirm/7c1"
	c.poisons = true
	c.mu.Unlock()
	stop := c.load(250*time.Millisecond, c.machines[:2])
	for n := 0; c.count() < 3; n++ {
		if n == 10 {
			return false, fmt.Errorf("%d crashes after %d sends", c.count(), n)
		}
		c.sendPoison(c.machines[n%2])
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if c.trouble {
		if err := c.killAndStart(c.machines...); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contact)
	for n := range 12 {
		c.sendPoison(c.machines[n%2])
		time.Sleep(5 * time.Second)
	}
	stop()
	return c.check(), nil
}

// playStops stops two machines 1.3 s apart. Requests that must not run twice are sent at the
// second one and run beside the first one.
func playStops(rec *record) (bool, error) {
	r := route{Name: "invoice-run", PathPrefix: "/billing/", Kind: "non_idempotent", Timeout: "5000ms", TargetLatency: "1500ms", Service: "billing", Attempts: 2}
	d, err := deploy(rec, []string{"rounds", "billing", "billing"}, r)
	if err != nil {
		return false, err
	}
	defer d.close()
	for i, m := range d.machines {
		w := d.newWorker(m, fmt.Sprintf("i-7f3a000%d", i))
		w.work = 3300 * time.Millisecond
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	if d.trouble {
		rec.add("platform", "SIGTERM to the node of %s", d.machines[1].name)
		d.machines[1].terminate()
	}
	time.Sleep(1300 * time.Millisecond)
	rec.add("platform", "SIGTERM to the node of %s", d.machines[0].name)
	d.machines[0].terminate()
	signalled := time.Now()
	time.Sleep(800 * time.Millisecond)
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost := 0
	for i := range 16 {
		wg.Go(func() {
			a := send(rec, d.machines[0], "POST", fmt.Sprintf("/billing/%d", i), 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			for _, x := range d.runs.list() {
				// In the last sixth of the grace time it may be broken off.
				if x.id == a.id && !a.served() && time.Since(signalled) < 5*time.Second {
					lost++
					rec.add("check", "%s was broken off %.3f s after the signal of its machine, its worker at work", a.id, time.Since(signalled).Seconds())
				}
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	rec.add("check", "%d requests broken off", lost)
	return lost > 0, nil
}
